#include "FollowDecision.h"

#include <algorithm>

namespace hyssopwick {

namespace {
    // The others notice a lost one well within the bound of a change, and each call to the
    // store is paid for.
    constexpr std::size_t designatedPerRegion = 1;
    // Peers that are tried before the store.
    constexpr std::size_t maxPeerSources = 3;
    // A follower of the store waits up to 1 s for a change, then asks anew.
    constexpr Milliseconds maxSourceAge { 1200 };
    // A process that fell back to another source looks at its preferred one again.
    constexpr Milliseconds preferredRetryPeriod { 3000 };
    constexpr Milliseconds unknownAge { 3600000 };
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

    // Entries follow a designated one. Agents follow any entry of their region, spread
    // over them; each has its own order.
    std::vector<std::string> candidates(order.begin(), m_isEntry ? designatedEnd : order.end());
    candidates = rendezvousOrder(m_self.id, candidates);
    std::vector<std::string> others;
    for (const auto& [id, entry] : byId) {
        if (std::find(candidates.begin(), candidates.end(), id) == candidates.end() && id != m_self.id)
            others.push_back(id);
    }
    for (const auto& id : rendezvousOrder(m_self.id, others))
        candidates.push_back(id);
    candidates.erase(std::remove(candidates.begin(), candidates.end(), m_self.id), candidates.end());
    candidates.resize(std::min(candidates.size(), maxPeerSources));

    const auto current = m_sources.empty() ? FollowSource(FollowStore {}) : source();
    m_sources.clear();
    if (m_isDesignated)
        m_sources.push_back(FollowStore {});
    for (const auto& id : candidates)
        m_sources.push_back(FollowPeer { id, byId[id].address });
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

Milliseconds FollowDecision::age(TimePoint now) const
{
    if (!m_hasAnswer)
        return unknownAge;
    return std::chrono::duration_cast<Milliseconds>(now - m_knownAt);
}

}
