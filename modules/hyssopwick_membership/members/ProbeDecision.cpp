#include "ProbeDecision.h"

#include <algorithm>

namespace hyssopwick {

namespace {
    constexpr Milliseconds probePeriod { 400 };
    constexpr Milliseconds pingTimeout { 300 };
    constexpr Milliseconds indirectTimeout { 450 };
    constexpr Milliseconds pauseThreshold { 800 };
    constexpr Milliseconds deadProbePeriod { 1000 };
    constexpr std::size_t helperCount = 3;
    constexpr std::size_t maxSuspectPings = 3;
}

ProbeDecision::ProbeDecision(std::string self, std::uint64_t seed, TimePoint now)
    : m_self(std::move(self))
    , m_random(seed)
    , m_nextProbeAt(now)
    , m_nextDeadProbeAt(now)
    , m_lastRoundAt(now)
{
}

std::vector<ProbeAction> ProbeDecision::advance(const MemberTable& members, TimePoint now)
{
    std::vector<ProbeAction> actions;
    if (now < m_nextProbeAt)
        return actions;
    m_nextProbeAt = now + probePeriod;
    if (m_position >= m_order.size()) {
        m_order = members.liveEntries(true);
        m_order.erase(std::remove(m_order.begin(), m_order.end(), m_self), m_order.end());
        for (std::size_t i = m_order.size(); i > 1; --i)
            std::swap(m_order[i - 1], m_order[m_random.below(i)]);
        m_position = 0;
    }
    while (m_position < m_order.size()) {
        const auto vm = m_order[m_position++];
        const auto* member = members.find(vm);
        if (!member || member->state == MemberState::Dead)
            continue;
        m_unanswered.insert(vm);
        actions.push_back(SendPing { vm, now + pingTimeout });
        break;
    }
    if (now >= m_nextDeadProbeAt) {
        // After a partition each side considers the other dead until one answer refutes it.
        m_nextDeadProbeAt = now + deadProbePeriod;
        const auto dead = members.deadEntries();
        if (!dead.empty())
            actions.push_back(SendPing { dead[m_random.below(dead.size())], now + pingTimeout });
    }
    std::size_t suspects = 0;
    for (const auto& member : members.live()) {
        if (member.state != MemberState::Suspect || member.vm.kind != "entry" || suspects >= maxSuspectPings)
            continue;
        ++suspects;
        actions.push_back(SendPing { member.vm.id, now + pingTimeout });
    }
    return actions;
}

void ProbeDecision::recordAnswer(const std::string& vm) { m_unanswered.erase(vm); }

std::vector<ProbeAction> ProbeDecision::recordPingFailure(const std::string& vm, const MemberTable& members, TimePoint now)
{
    std::vector<ProbeAction> actions;
    if (m_unanswered.count(vm) == 0)
        return actions;
    auto candidates = members.liveEntries(false);
    candidates.erase(std::remove_if(candidates.begin(), candidates.end(), [&](const std::string& id) { return id == m_self || id == vm; }), candidates.end());
    SendIndirectPing indirect { vm, {}, now + indirectTimeout };
    std::set<std::string> usedDomains;
    for (int pass = 0; pass < 2; ++pass) {
        for (std::size_t i = 0; i < candidates.size() && indirect.helpers.size() < helperCount; ++i) {
            std::swap(candidates[i], candidates[i + m_random.below(candidates.size() - i)]);
            const auto& helper = candidates[i];
            const bool isNewDomain = usedDomains.insert(members.find(helper)->vm.failureDomain).second;
            const bool isUsed = std::find(indirect.helpers.begin(), indirect.helpers.end(), helper) != indirect.helpers.end();
            if (!isUsed && (isNewDomain || pass == 1))
                indirect.helpers.push_back(helper);
        }
    }
    actions.push_back(indirect);
    return actions;
}

bool ProbeDecision::recordIndirectFailure(const std::string& vm) { return m_unanswered.erase(vm) != 0; }

bool ProbeDecision::detectPause(TimePoint now)
{
    const bool wasPaused = now > m_lastRoundAt + pauseThreshold;
    m_lastRoundAt = now;
    if (wasPaused)
        m_unanswered.clear();
    return wasPaused;
}

}
