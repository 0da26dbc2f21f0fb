#include "ViewSourceDecision.h"

#include <algorithm>

namespace hyssopwick {

namespace {
    // One is enough: the others detect its loss well within the time in which a change must
    // take effect, and each call to the store is charged.
    constexpr std::size_t designatedPerRegion = 1;
    // The first entry VM of the region's order and its substitute.
    constexpr std::size_t maxRegionalSources = 2;
    // Between two processes that leave the region for the store or another region. It leaves
    // time for an answer, so that the second process can follow the first one instead.
    constexpr Milliseconds leaveRegionInterval { 400 };
    // Number of processes at the start of the order that have a slot of their own for leaving
    // the region. Later ones and all agents are spread over the same number of further slots.
    constexpr std::size_t individualLeaveSlots = 10;
    // A process that follows the store waits up to 1 s for a change before it asks again.
    constexpr Milliseconds maxSourceAge { 1200 };
    // Time after which a process that fell back to another source tries its preferred one again.
    constexpr Milliseconds preferredRetryPeriod { 3000 };
    constexpr Milliseconds unknownAge { 3600000 };
    // A process that follows the store waits 1 s for a change; an answer may take 0.6 s.
    constexpr Milliseconds maxNormalAge { 1600 };
    // A suspension of this process fails the one call that is pending meanwhile.
    constexpr unsigned failuresCausedBySuspension = 1;
}

ViewSourceDecision::ViewSourceDecision(VmIdentity self, bool isEntry, std::vector<std::string> seeds)
    : m_self(std::move(self))
    , m_isEntry(isEntry)
    , m_isDesignated(isEntry && seeds.empty())
    , m_seeds(std::move(seeds))
{
    rankSources();
}

// Until its first answer a process knows no entry VM. It asks the seeds, so that not all
// processes read the whole store when a deployment starts. Seeds may be starting or down.
void ViewSourceDecision::rankSeeds()
{
    m_sources.clear();
    for (const auto& address : rendezvousOrder(m_self.id, m_seeds))
        m_sources.push_back(PeerSource { address, address });
    m_regionalSources = m_sources.size();
    m_sources.push_back(StoreSource {});
    m_leaveSlot = 1 + static_cast<std::size_t>(stableHash(m_self.id) % individualLeaveSlots);
    m_position = 0;
}

void ViewSourceDecision::setEntries(const std::vector<VmIdentity>& entries)
{
    if (entries == m_entries)
        return;
    m_entries = entries;
    rankSources();
}

void ViewSourceDecision::rankSources()
{
    if (!m_hasAnswer && !m_seeds.empty()) {
        if (m_sources.empty())
            rankSeeds();
        return;
    }
    std::map<std::string, VmIdentity> byId;
    std::vector<std::string> regionEntries;
    for (const auto& entry : m_entries) {
        byId[entry.id] = entry;
        if (entry.region == m_self.region)
            regionEntries.push_back(entry.id);
    }
    if (m_isEntry)
        regionEntries.push_back(m_self.id);
    const auto order = rendezvousOrder("store-followers/" + m_self.region, regionEntries);
    const auto designatedEnd = order.begin() + static_cast<std::ptrdiff_t>(std::min(designatedPerRegion, order.size()));
    m_isDesignated = m_isEntry && std::find(order.begin(), designatedEnd, m_self.id) != designatedEnd;

    const auto self = std::find(order.begin(), order.end(), m_self.id);
    m_leaveSlot = static_cast<std::size_t>(self - order.begin());
    if (!m_isEntry || m_leaveSlot > individualLeaveSlots)
        m_leaveSlot = std::min(m_leaveSlot, individualLeaveSlots) + static_cast<std::size_t>(stableHash(m_self.id) % individualLeaveSlots);
    // Agents are spread over the entry VMs of their region.
    auto peers = m_isEntry ? std::vector<std::string>(order.begin(), self) : rendezvousOrder(m_self.id, order);
    peers.resize(std::min(peers.size(), maxRegionalSources));
    std::map<std::string, std::vector<std::string>> otherRegions;
    for (const auto& entry : m_entries) {
        if (entry.region != m_self.region)
            otherRegions[entry.region].push_back(entry.id);
    }
    std::vector<std::string> designatedInOtherRegions;
    for (const auto& [region, ids] : otherRegions)
        designatedInOtherRegions.push_back(rendezvousFirst("store-followers/" + region, ids));
    const auto fallback = rendezvousFirst(m_self.id, designatedInOtherRegions);

    const auto current = m_sources.empty() ? ViewSource(StoreSource {}) : source();
    m_sources.clear();
    const auto addPeer = [this, &byId](const std::string& id) {
        if (!id.empty())
            m_sources.push_back(PeerSource { id, byId[id].address });
    };
    // After a broken watch the store is tried once more before a peer is asked.
    if (m_isDesignated) {
        m_sources.push_back(StoreSource {});
        m_sources.push_back(StoreSource {});
    }
    for (const auto& id : peers)
        addPeer(id);
    m_regionalSources = m_sources.size();
    addPeer(fallback);
    if (!m_isDesignated)
        m_sources.push_back(StoreSource {});
    const auto currentPosition = std::find(m_sources.begin(), m_sources.end(), current);
    m_position = currentPosition == m_sources.end() || !m_hasAnswer ? 0 : static_cast<std::size_t>(currentPosition - m_sources.begin());
}

ViewSource ViewSourceDecision::source() const { return m_sources[m_position]; }

bool ViewSourceDecision::mayLeaveRegion(TimePoint now) const
{
    // A region whose sources do not answer at all cannot become current, so its processes do
    // not wait for their slots. The second process of the order replaces the first at once.
    const auto slotsBefore = static_cast<int>(m_leaveSlot < 2 ? 0 : m_leaveSlot - 1);
    const bool isStarting = !m_hasAnswer && !m_seeds.empty();
    return (!m_isRegionAnswering && !isStarting) || (m_staleSince && now >= *m_staleSince + leaveRegionInterval * slotsBefore);
}

void ViewSourceDecision::advance(TimePoint now)
{
    const bool wasOutside = m_position >= m_regionalSources;
    m_position = (m_position + 1) % m_sources.size();
    const bool isOutside = m_position >= m_regionalSources;
    if (isOutside && !wasOutside) {
        if (!mayLeaveRegion(now))
            m_position = 0;
        else
            m_staleSince = now; // the next attempt waits for its slot again
        m_isRegionAnswering = false;
    }
}

void ViewSourceDecision::recordAnswer(const ViewSource& source, Milliseconds age, TimePoint now)
{
    if (!m_hasAnswer || now - age > m_currentAsOf)
        m_currentAsOf = now - age;
    m_failures = 0;
    const bool isFirst = !m_hasAnswer;
    m_hasAnswer = true;
    if (isFirst && !m_seeds.empty()) {
        m_staleSince.reset();
        return rankSources();
    }
    if (!(source == this->source()))
        return;
    if (age > maxSourceAge)
        return recordLag(source, now);
    m_staleSince.reset();
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
    m_isRegionAnswering = m_isRegionAnswering || m_position < m_regionalSources;
    m_staleSince = m_staleSince.value_or(now);
    advance(now);
}

void ViewSourceDecision::recordFailure(const ViewSource& source, TimePoint now)
{
    ++m_failures;
    if (!(source == this->source()))
        return;
    if (m_position == 0)
        m_preferredRetryAt = now + preferredRetryPeriod;
    m_staleSince = m_staleSince.value_or(now);
    advance(now);
}

bool ViewSourceDecision::isTooOld(Milliseconds age) { return age > maxSourceAge; }

TimePoint ViewSourceDecision::earliestChangeTime(TimePoint now) const
{
    const auto dataAge = age(now);
    const bool wasStoreUnreachable = m_hasAnswer && m_failures > failuresCausedBySuspension;
    return dataAge <= maxNormalAge || wasStoreUnreachable ? now : now - dataAge;
}

Milliseconds ViewSourceDecision::age(TimePoint now) const
{
    if (!m_hasAnswer)
        return unknownAge;
    return std::chrono::duration_cast<Milliseconds>(now - m_currentAsOf);
}

}
