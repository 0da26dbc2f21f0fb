#include "CommonOrigin.h"

#include <algorithm>

namespace hyssopwick {

namespace {
    // Origins differ by the time that messages take.
    constexpr Milliseconds tolerance { 20 };
    // Origins further apart than this put entry VMs out of step.
    constexpr Milliseconds maxDifference { 200 };
    // The earliest origin reaches 62 entry VMs that start together within 2 s: each tells one other
    // each 0.4 s, and is answered with an earlier one.
    constexpr Milliseconds settlingTime { 2000 };
    constexpr std::size_t minAgreements = 3;
    // Clocks that differ by 100 parts per million are 60 ms apart after this.
    constexpr Milliseconds agreementLifetime { 600000 };
}

CommonOrigin::CommonOrigin(TimePoint start)
    : m_origin(start)
    , m_unchangedSince(start)
{
}

bool CommonOrigin::merge(TimePoint theirs, TimePoint now)
{
    if (theirs > m_origin + maxDifference)
        return true;
    const bool isChange = theirs + maxDifference < m_origin;
    if (theirs + tolerance < m_origin)
        m_origin = theirs;
    if (isChange) {
        m_unchangedSince = now;
        m_agreements = 0;
    }
    ++m_agreements;
    m_lastAgreement = now;
    return false;
}

bool CommonOrigin::isAgreed(TimePoint now) const
{
    if (now < m_unchangedSince + settlingTime)
        return false;
    return m_entryCount <= 1 || (m_agreements >= std::min(minAgreements, m_entryCount - 1) && now <= m_lastAgreement + agreementLifetime);
}

}
