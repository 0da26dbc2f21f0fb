#include "LeaseDecision.h"

namespace hyssopwick {

namespace {
    constexpr Milliseconds safetyMargin { 1500 };
    constexpr Milliseconds renewPeriod { 2000 };
    constexpr Milliseconds retryPeriod { 700 };
}

LeaseDecision::LeaseDecision(std::string holder)
    : m_holder(std::move(holder))
{
}

LeaseStep LeaseDecision::step(TimePoint now) const
{
    if (now < m_nextTryAt)
        return LeaseStep::Wait;
    if (!m_isWanted)
        return isHeld(now) ? LeaseStep::Release : LeaseStep::Wait;
    if (!isHeld(now))
        return LeaseStep::Acquire;
    return now >= m_renewAt ? LeaseStep::Renew : LeaseStep::Wait;
}

void LeaseDecision::recordWritten(std::uint64_t revision, TimePoint sentAt)
{
    m_revision = revision;
    m_validUntil = sentAt + timeToLive - safetyMargin;
    m_renewAt = sentAt + renewPeriod;
}

void LeaseDecision::recordLost(TimePoint now)
{
    m_validUntil = now;
    m_nextTryAt = now + retryPeriod;
}

void LeaseDecision::recordFailure(TimePoint now) { m_nextTryAt = now + retryPeriod; }

void LeaseDecision::recordReleased(TimePoint now) { m_validUntil = now; }

}
