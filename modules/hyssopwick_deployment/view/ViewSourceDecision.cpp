#include "ViewSourceDecision.h"

#include <algorithm>

namespace hyssopwick {

namespace {
    // The others notice a lost one well within the bound of a change, and each call to the
    // store is paid for.
    constexpr std::size_t designatedPerRegion = 1;
    // The first of the region's order, and the one that stands in for it.
    constexpr std::size_t maxRegionalSources = 2;
    // Between two processes of a region that turn to the store or another region: time for an
    // answer, so that the next one follows the one before instead.
    constexpr Milliseconds crossingStep { 400 };
    // Processes after this place, and all agents, are spread over as many turns again.
    constexpr std::size_t lastCrossingPlace = 10;
    // A follower of the store waits up to 1 s for a change, then asks anew.
    constexpr Milliseconds maxSourceAge { 1200 };
    // A process that fell back to another source looks at its preferred one again.
    constexpr Milliseconds preferredRetryPeriod { 3000 };
    constexpr Milliseconds unknownAge { 3600000 };
    // A follower of the store waits 1 s for a change, and an answer may take 0.6 s.
    constexpr Milliseconds longestOrdinaryAge { 1600 };
    // A process that was suspended loses the call that waited meanwhile, and no other.
    constexpr unsigned failuresOfSuspension = 1;
}

ViewSourceDecision::ViewSourceDecision(VmIdentity self, bool isEntry, std::vector<std::string> seeds)
    : m_self(std::move(self))
    , m_isEntry(isEntry)
    , m_isDesignated(isEntry && seeds.empty())
    , m_seeds(std::move(seeds))
{
    rank();
}

// Before the first answer this process knows no other and all would read the whole store
// when a deployment starts, so it asks the seeds. These may be starting too, or be down.
void ViewSourceDecision::rankSeeds()
{
    m_sources.clear();
    for (const auto& address : rendezvousOrder(m_self.id, m_seeds))
        m_sources.push_back(PeerSource { address, address });
    m_inRegion = m_sources.size();
    m_sources.push_back(StoreSource {});
    m_place = 1 + static_cast<std::size_t>(stableHash(m_self.id) % lastCrossingPlace);
    m_position = 0;
}

void ViewSourceDecision::setEntries(const std::vector<VmIdentity>& entries)
{
    if (entries == m_entries)
        return;
    m_entries = entries;
    rank();
}

void ViewSourceDecision::rank()
{
    if (!m_hasAnswer && !m_seeds.empty()) {
        if (m_sources.empty())
            rankSeeds();
        return;
    }
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

    // Agents are spread over the entries of their region.
    const auto self = std::find(order.begin(), order.end(), m_self.id);
    m_place = static_cast<std::size_t>(self - order.begin());
    if (!m_isEntry || m_place > lastCrossingPlace)
        m_place = std::min(m_place, lastCrossingPlace) + static_cast<std::size_t>(stableHash(m_self.id) % lastCrossingPlace);
    auto peers = m_isEntry ? std::vector<std::string>(order.begin(), self) : rendezvousOrder(m_self.id, order);
    peers.resize(std::min(peers.size(), maxRegionalSources));
    std::map<std::string, std::vector<std::string>> elsewhere;
    for (const auto& entry : m_entries) {
        if (entry.region != m_self.region)
            elsewhere[entry.region].push_back(entry.id);
    }
    std::vector<std::string> designatedElsewhere;
    for (const auto& [region, ids] : elsewhere)
        designatedElsewhere.push_back(rendezvousFirst("store-followers/" + region, ids));
    const auto fallback = rendezvousFirst(m_self.id, designatedElsewhere);

    const auto current = m_sources.empty() ? ViewSource(StoreSource {}) : source();
    m_sources.clear();
    const auto addPeer = [this, &byId](const std::string& id) {
        if (!id.empty())
            m_sources.push_back(PeerSource { id, byId[id].address });
    };
    // A watch that is cut is begun anew before anybody else is asked.
    if (m_isDesignated) {
        m_sources.push_back(StoreSource {});
        m_sources.push_back(StoreSource {});
    }
    for (const auto& id : peers)
        addPeer(id);
    m_inRegion = m_sources.size();
    addPeer(fallback);
    if (!m_isDesignated)
        m_sources.push_back(StoreSource {});
    const auto kept = std::find(m_sources.begin(), m_sources.end(), current);
    m_position = kept == m_sources.end() || !m_hasAnswer ? 0 : static_cast<std::size_t>(kept - m_sources.begin());
}

ViewSource ViewSourceDecision::source() const { return m_sources[m_position]; }

bool ViewSourceDecision::mayCross(TimePoint now) const
{
    // Those that do not answer at all cannot become current either. The second of the order
    // stands in for the first at once.
    const auto before = static_cast<int>(m_place < 2 ? 0 : m_place - 1);
    const bool isStarting = !m_hasAnswer && !m_seeds.empty();
    return (!m_isRegionAnswering && !isStarting) || (m_lostAt && now >= *m_lostAt + crossingStep * before);
}

void ViewSourceDecision::advance(TimePoint now)
{
    const bool wasOutside = m_position >= m_inRegion;
    m_position = (m_position + 1) % m_sources.size();
    const bool isOutside = m_position >= m_inRegion;
    if (isOutside && !wasOutside) {
        if (!mayCross(now))
            m_position = 0;
        else
            m_lostAt = now; // the next time is a turn later
        m_isRegionAnswering = false;
    }
}

void ViewSourceDecision::recordAnswer(const ViewSource& source, Milliseconds age, TimePoint now)
{
    if (!m_hasAnswer || now - age > m_knownAt)
        m_knownAt = now - age;
    m_failures = 0;
    const bool isFirst = !m_hasAnswer;
    m_hasAnswer = true;
    if (isFirst && !m_seeds.empty()) {
        m_lostAt.reset();
        return rank();
    }
    if (!(source == this->source()))
        return;
    if (age > maxSourceAge)
        return recordLag(source, now);
    m_lostAt.reset();
    m_isRegionAnswering = false;
    if (m_position == 0) {
        m_preferredRetryAt = now + preferredRetryPeriod;
        return;
    }
    if (now >= m_preferredRetryAt) {
        m_position = 0;
        m_preferredRetryAt = now + preferredRetryPeriod;
    }
}

void ViewSourceDecision::recordLag(const ViewSource& source, TimePoint now)
{
    if (!(source == this->source()))
        return;
    m_isRegionAnswering = m_isRegionAnswering || m_position < m_inRegion;
    m_lostAt = m_lostAt.value_or(now);
    advance(now);
}

void ViewSourceDecision::recordFailure(const ViewSource& source, TimePoint now)
{
    ++m_failures;
    if (!(source == this->source()))
        return;
    if (m_position == 0)
        m_preferredRetryAt = now + preferredRetryPeriod;
    m_lostAt = m_lostAt.value_or(now);
    advance(now);
}

bool ViewSourceDecision::isTooOld(Milliseconds age) { return age > maxSourceAge; }

TimePoint ViewSourceDecision::earliestChangeTime(TimePoint now) const
{
    const auto knownFor = age(now);
    const bool wasStoreAway = m_hasAnswer && m_failures > failuresOfSuspension;
    return knownFor <= longestOrdinaryAge || wasStoreAway ? now : now - knownFor;
}

Milliseconds ViewSourceDecision::age(TimePoint now) const
{
    if (!m_hasAnswer)
        return unknownAge;
    return std::chrono::duration_cast<Milliseconds>(now - m_knownAt);
}

}
