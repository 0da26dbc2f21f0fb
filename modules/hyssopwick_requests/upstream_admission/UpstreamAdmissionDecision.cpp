#include "UpstreamAdmissionDecision.h"

#include <algorithm>

namespace hyssopwick {

namespace {
    constexpr Milliseconds retryAfterBusy { 100 };
    constexpr std::size_t maxRememberedIdentities = 200'000;
}

UpstreamAdmissionDecision::UpstreamAdmissionDecision(std::int64_t capacity)
    : m_capacity(capacity)
{
}

std::optional<Refusal> UpstreamAdmissionDecision::admit(const UpstreamCall& call, TimePoint now)
{
    if (m_isLeaving)
        return Refusal { RefusalReason::UpstreamLeaving, RunState::NotRun, retryAfterBusy, "this upstream is leaving", {} };
    if (now >= call.deadline)
        return Refusal { RefusalReason::DeadlinePassed, RunState::NotRun, Milliseconds(0), "the deadline passed before the upstream", {} };
    if (!call.placement.empty()) {
        const auto serving = m_serving.find(call.placement);
        if (serving == m_serving.end() || serving->second != call.version)
            return Refusal { RefusalReason::VersionNotServed, RunState::NotRun, retryAfterBusy, "version " + call.version + " is not in service here", {} };
    }
    const bool runsExclusiveCall = std::any_of(m_inFlight.begin(), m_inFlight.end(), [](const auto& item) { return item.second.mustRunAlone; });
    if (inFlight() >= m_capacity || runsExclusiveCall || (call.mustRunAlone && !m_inFlight.empty()))
        return Refusal { RefusalReason::UpstreamBusy, RunState::NotRun, retryAfterBusy, "all slots are taken", {} };
    if (m_inFlight.count(call.attempt) != 0)
        return Refusal { RefusalReason::Malformed, RunState::NotRun, Milliseconds(0), "attempt id was used before", {} };
    if (!call.identity.empty()) {
        if (m_sentIdentities.size() >= maxRememberedIdentities)
            m_sentIdentities.clear();
        if (!m_sentIdentities.insert(call.identity).second)
            return Refusal { RefusalReason::OutcomeUnknown, RunState::Unknown, Milliseconds(0), "the call was handed over here before", {} };
    }
    m_inFlight.emplace(call.attempt, call);
    return std::nullopt;
}

void UpstreamAdmissionDecision::finish(const std::string& attempt, bool wasRun)
{
    const auto call = m_inFlight.find(attempt);
    if (call == m_inFlight.end())
        return;
    if (!wasRun)
        m_sentIdentities.erase(call->second.identity);
    m_inFlight.erase(call);
}

std::int64_t UpstreamAdmissionDecision::inFlightOn(const std::string& placement) const
{
    return std::count_if(m_inFlight.begin(), m_inFlight.end(), [&](const auto& item) { return item.second.placement == placement; });
}

}
