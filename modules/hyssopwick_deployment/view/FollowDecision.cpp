#include "FollowDecision.h"

#include <algorithm>

namespace hyssopwick {

namespace {
    // The others notice a lost one well within the bound of a change, and each call to the
    // store is paid for.
    constexpr std::size_t designatedPerRegion = 1;
    constexpr std::size_t maxRegionalSources = 2;
    // A follower of the store waits up to 1 s for a change, then asks anew.
    constexpr Milliseconds maxSourceAge { 1200 };
    // A process that fell back to another source looks at its preferred one again.
    constexpr Milliseconds preferredRetryPeriod { 3000 };
    constexpr Milliseconds unknownAge { 3600000 };
    // Longest age without a gap: a follower of the store waits 1 s, entries and agents behind
    // it 0.5 s each, and an answer may take 0.3 s.
    constexpr Milliseconds longestOrdinaryAge { 2300 };
}

FollowDecision::FollowDecision(VmIdentity self, bool isEntry)
    : m_self(std::move(self))
    , m_isEntry(isEntry)
    , m_isDesignated(isEntry)
{
    rank();
}

void FollowDecision::setEntries(const std::vector<VmIdentity>& entries)
{
    if (entries == m_entries)
        return;
    m_entries = entries;
    rank();
}

void FollowDecision::rank()
{
    std::map<std::string, VmIdentity> byId;
    std::vector<std::string> regional;
    for (const auto& entry : m_entries) {
        byId[entry.id] = entry;
        if (entry.region == m_self.region)
            regional.push_back(entry.id);
    }
    if (m_isEntry)
        regional.push_back(m_self.id);
    const auto order = rendezvousOrder("store-followers/" + m_self.region, regional);
    const auto designatedEnd = order.begin() + static_cast<std::ptrdiff_t>(std::min(designatedPerRegion, order.size()));
    m_isDesignated = m_isEntry && std::find(order.begin(), designatedEnd, m_self.id) != designatedEnd;

    // Entries follow the designated one of their region, agents any entry of it, spread
    // over them. What is left is the designated one of another region and the store: other
    // peers follow somebody themselves and would be followed in circles.
    std::vector<std::string> peers;
    for (const auto& id : m_isEntry ? std::vector<std::string>(order.begin(), designatedEnd) : rendezvousOrder(m_self.id, order)) {
        if (peers.size() < maxRegionalSources && id != m_self.id)
            peers.push_back(id);
    }
    std::map<std::string, std::vector<std::string>> elsewhere;
    for (const auto& entry : m_entries) {
        if (entry.region != m_self.region)
            elsewhere[entry.region].push_back(entry.id);
    }
    std::vector<std::string> designatedElsewhere;
    for (const auto& [region, ids] : elsewhere)
        designatedElsewhere.push_back(rendezvousFirst("store-followers/" + region, ids));
    const auto fallback = rendezvousFirst(m_self.id, designatedElsewhere);

    const auto current = m_sources.empty() ? FollowSource(FollowStore {}) : source();
    m_sources.clear();
    const auto addPeer = [this, &byId](const std::string& id) {
        if (!id.empty())
            m_sources.push_back(FollowPeer { id, byId[id].address });
    };
    // A watch that is cut is begun anew before anybody else is asked.
    if (m_isDesignated) {
        m_sources.push_back(FollowStore {});
        m_sources.push_back(FollowStore {});
    }
    for (const auto& id : peers)
        addPeer(id);
    addPeer(fallback);
    if (!m_isDesignated)
        m_sources.push_back(FollowStore {});
    const auto kept = std::find(m_sources.begin(), m_sources.end(), current);
    m_position = kept == m_sources.end() || !m_hasAnswer ? 0 : static_cast<std::size_t>(kept - m_sources.begin());
}

FollowSource FollowDecision::source() const { return m_sources[m_position]; }

void FollowDecision::advance() { m_position = (m_position + 1) % m_sources.size(); }

void FollowDecision::recordAnswer(const FollowSource& source, Milliseconds age, TimePoint now)
{
    if (!m_hasAnswer || now - age > m_knownAt)
        m_knownAt = now - age;
    m_hasAnswer = true;
    if (!(source == this->source()))
        return;
    if (age > maxSourceAge) {
        advance();
        return;
    }
    if (m_position == 0) {
        m_preferredRetryAt = now + preferredRetryPeriod;
        return;
    }
    if (now >= m_preferredRetryAt) {
        m_position = 0;
        m_preferredRetryAt = now + preferredRetryPeriod;
    }
}

void FollowDecision::recordFailure(const FollowSource& source, TimePoint now)
{
    if (!(source == this->source()))
        return;
    if (m_position == 0)
        m_preferredRetryAt = now + preferredRetryPeriod;
    advance();
}

bool FollowDecision::isTooOld(Milliseconds age) { return age > maxSourceAge; }

TimePoint FollowDecision::changesSince(TimePoint now) const
{
    const auto knownFor = age(now);
    return knownFor <= longestOrdinaryAge ? now : now - knownFor;
}

Milliseconds FollowDecision::age(TimePoint now) const
{
    if (!m_hasAnswer)
        return unknownAge;
    return std::chrono::duration_cast<Milliseconds>(now - m_knownAt);
}

}
