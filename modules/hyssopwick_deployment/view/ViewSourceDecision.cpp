#include "ViewSourceDecision.h"

#include <algorithm>

namespace hyssopwick {

namespace {
    // One is enough: the others detect its loss well within the time in which a change must
    // take effect, and each call to the store is charged.
    constexpr std::size_t designatedPerRegion = 1;
    // Between two groups of processes that leave the region for the store or another region. It
    // leaves time for an answer, so that the second group can follow the first one instead.
    constexpr Milliseconds leaveRegionInterval { 400 };
    // The processes at the start of the order leave in groups that double, since several in a
    // row may be turned away. Later ones and all agents are spread over further slots.
    constexpr std::size_t groupedLeaveRanks = 16;
    constexpr std::size_t firstSpreadSlot = 10;
    constexpr std::size_t spreadLeaveSlots = 10;

    // Ranks 0 and 1 have slot 0, then 2, 3 to 4, 5 to 8, 9 to 16.
    std::size_t groupSlot(std::size_t rank)
    {
        std::size_t slot = 0;
        for (std::size_t before = 1; rank > before; before *= 2)
            ++slot;
        return slot;
    }
    // A process that follows the store waits up to 0.7 s for a change before it asks again.
    constexpr Milliseconds maxStoreFollowerAge { 900 };
    // One that follows another entry VM waits up to 0.5 s for a change, in addition.
    constexpr Milliseconds maxEntryFollowerAge = maxStoreFollowerAge + Milliseconds(500);
    // Time after which a process that fell back to another source tries its preferred one again.
    constexpr Milliseconds preferredRetryPeriod { 3000 };
    constexpr Milliseconds unknownAge { 3600000 };
    // Cut watches or lost packets may fail two calls in a row for less than this.
    constexpr Milliseconds minOutage { 2000 };
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
    m_roaming.clear();
    for (const auto& address : rendezvousOrder(m_self.id, m_seeds))
        m_sources.push_back(PeerSource { address, address });
    m_regionalSources = m_sources.size();
    m_sources.push_back(StoreSource {});
    m_leaveSlot = static_cast<std::size_t>(stableHash(m_self.id) % spreadLeaveSlots);
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
    const auto rank = static_cast<std::size_t>(self - order.begin());
    m_leaveSlot = m_isEntry && rank <= groupedLeaveRanks ? groupSlot(rank) : firstSpreadSlot + static_cast<std::size_t>(stableHash(m_self.id) % spreadLeaveSlots);
    // Agents are spread over the entry VMs of their region.
    const auto peers = m_isEntry ? std::vector<std::string>(order.begin(), self) : rendezvousOrder(m_self.id, order);
    std::map<std::string, std::vector<std::string>> otherRegions;
    for (const auto& entry : m_entries) {
        if (entry.region != m_self.region)
            otherRegions[entry.region].push_back(entry.id);
    }
    std::vector<std::string> designatedInOtherRegions;
    std::vector<std::string> othersOutside;
    for (const auto& [region, ids] : otherRegions) {
        designatedInOtherRegions.push_back(rendezvousFirst("store-followers/" + region, ids));
        othersOutside.insert(othersOutside.end(), ids.begin(), ids.end());
    }
    const auto fallback = rendezvousFirst(m_self.id, designatedInOtherRegions);

    const auto current = m_sources.empty() ? ViewSource(StoreSource {}) : source();
    m_sources.clear();
    m_roaming.clear();
    const auto peerSource = [&byId](const std::string& id) { return ViewSource(PeerSource { id, byId[id].address }); };
    // After a broken watch the store is tried once more before a peer is asked.
    if (m_isDesignated) {
        m_sources.push_back(StoreSource {});
        m_sources.push_back(StoreSource {});
    }
    if (!peers.empty())
        m_sources.push_back(peerSource(peers.front()));
    std::vector<ViewSource> substitutes;
    for (std::size_t i = 1; i < peers.size(); ++i)
        substitutes.push_back(peerSource(peers[i]));
    addRoaming(std::move(substitutes), current);
    m_regionalSources = m_sources.size();
    std::vector<ViewSource> outside;
    if (!fallback.empty())
        outside.push_back(peerSource(fallback));
    // Without another region, a later one of the own region may have reached the store.
    const auto later = m_isEntry && otherRegions.empty() && self != order.end() ? std::vector<std::string>(self + 1, order.end()) : std::vector<std::string>();
    othersOutside.insert(othersOutside.end(), later.begin(), later.end());
    for (const auto& id : rendezvousOrder(m_self.id, othersOutside)) {
        if (id != fallback)
            outside.push_back(peerSource(id));
    }
    addRoaming(std::move(outside), current);
    if (!m_isDesignated)
        m_sources.push_back(StoreSource {});
    const auto currentPosition = std::find(m_sources.begin(), m_sources.end(), current);
    m_retriedFrom.reset();
    m_position = currentPosition == m_sources.end() || !m_hasAnswer ? 0 : static_cast<std::size_t>(currentPosition - m_sources.begin());
}

void ViewSourceDecision::addRoaming(std::vector<ViewSource> candidates, const ViewSource& current)
{
    if (candidates.empty())
        return;
    const auto found = std::find(candidates.begin(), candidates.end(), current);
    const auto selected = found == candidates.end() ? std::size_t(0) : static_cast<std::size_t>(found - candidates.begin());
    m_sources.push_back(candidates[selected]);
    m_roaming[m_sources.size() - 1] = { std::move(candidates), selected };
}

ViewSource ViewSourceDecision::source() const { return m_sources[m_position]; }

std::optional<PeerSource> ViewSourceDecision::alternative() const
{
    const auto current = source();
    if (std::holds_alternative<StoreSource>(current))
        return std::nullopt;
    std::vector<PeerSource> regional;
    std::vector<PeerSource> outside;
    const auto add = [&](std::size_t position, const ViewSource& candidate) {
        const auto* peer = std::get_if<PeerSource>(&candidate);
        if (peer && !(candidate == current))
            (position < m_regionalSources ? regional : outside).push_back(*peer);
    };
    for (std::size_t position = 0; position < m_sources.size(); ++position) {
        const auto roaming = m_roaming.find(position);
        if (roaming == m_roaming.end()) {
            add(position, m_sources[position]);
            continue;
        }
        for (const auto& candidate : roaming->second.candidates)
            add(position, candidate);
    }
    const auto& candidates = outside.empty() ? regional : outside;
    if (candidates.empty())
        return std::nullopt;
    return candidates[m_failures % candidates.size()]; // another one after each failure
}

bool ViewSourceDecision::mayLeaveRegion(TimePoint now) const
{
    // A region whose sources do not answer at all cannot become current, so its processes do
    // not wait for their slots. The second process of the order replaces the first at once.
    const bool isStarting = !m_hasAnswer && !m_seeds.empty();
    return (!m_isRegionAnswering && !isStarting) || (m_staleSince && now >= *m_staleSince + leaveRegionInterval * static_cast<int>(m_leaveSlot));
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
    m_isSourceNew = true;
    const auto roaming = m_roaming.find(m_position);
    if (roaming == m_roaming.end())
        return;
    auto& [candidates, next] = roaming->second;
    m_sources[m_position] = candidates[next];
    next = (next + 1) % candidates.size();
}

void ViewSourceDecision::recordAnswer(const ViewSource& source, Milliseconds age, TimePoint now)
{
    const bool isNews = !m_hasAnswer || now - age > m_currentAsOf;
    if (isNews)
        m_currentAsOf = now - age;
    if (!isTooOld(age)) {
        m_failures = 0;
        m_storeFailures = 0;
    }
    const bool isFirst = !m_hasAnswer;
    m_hasAnswer = true;
    if (isFirst && !m_seeds.empty()) {
        m_staleSince.reset();
        return rankSources();
    }
    if (!(source == this->source()))
        return;
    // One that knows no more than this process may have it from here.
    const bool isUseless = m_isSourceNew && !isNews;
    m_isSourceNew = false;
    if (isTooOld(age) || isUseless)
        return recordLag(source, now);
    m_retriedFrom.reset();
    m_staleSince.reset();
    m_isRegionAnswering = false;
    if (m_position == 0) {
        m_preferredRetryAt = now + preferredRetryPeriod;
        return;
    }
    if (now >= m_preferredRetryAt) {
        m_retriedFrom = m_position;
        m_position = 0;
        m_isSourceNew = true;
        m_preferredRetryAt = now + preferredRetryPeriod;
    }
}

// The source that worked is kept while the preferred one does not.
bool ViewSourceDecision::returnToWorkingSource(TimePoint now)
{
    if (!m_retriedFrom)
        return false;
    m_position = *m_retriedFrom;
    m_retriedFrom.reset();
    m_isSourceNew = false;
    m_preferredRetryAt = now + preferredRetryPeriod;
    return true;
}

void ViewSourceDecision::recordLag(const ViewSource& source, TimePoint now)
{
    ++m_failures;
    if (!(source == this->source()) || returnToWorkingSource(now))
        return;
    m_isRegionAnswering = m_isRegionAnswering || m_position < m_regionalSources;
    m_staleSince = m_staleSince.value_or(now);
    advance(now);
}

void ViewSourceDecision::confirmCurrentAt(TimePoint time) { m_confirmedAsOf = std::max(m_confirmedAsOf.value_or(time), time); }

void ViewSourceDecision::recordFailure(const ViewSource& source, TimePoint now, FailureCause cause)
{
    ++m_failures;
    m_storeFailures += cause == FailureCause::Source && std::holds_alternative<StoreSource>(source) ? 1 : 0;
    if (!(source == this->source()) || returnToWorkingSource(now))
        return;
    if (m_position == 0)
        m_preferredRetryAt = now + preferredRetryPeriod;
    m_staleSince = m_staleSince.value_or(now);
    advance(now);
}

Milliseconds ViewSourceDecision::maxUsableAge() { return maxEntryFollowerAge; }

Milliseconds ViewSourceDecision::minStaleAge() { return maxUsableAge() + Milliseconds(1); }

// Entry VMs prefer a source that follows the store, agents have entry VMs of any rank.
Milliseconds ViewSourceDecision::maxSourceAge() const { return m_isEntry ? maxStoreFollowerAge : maxEntryFollowerAge; }

bool ViewSourceDecision::isAfterOutage(TimePoint now) const
{
    return m_confirmedAsOf && now > *m_confirmedAsOf + minOutage && m_storeFailures > failuresCausedBySuspension;
}

TimePoint ViewSourceDecision::earliestChangeTime(TimePoint sentAfter) const
{
    return isAfterOutage(sentAfter) ? sentAfter : std::min(sentAfter, m_confirmedAsOf.value_or(sentAfter - unknownAge));
}

Milliseconds ViewSourceDecision::confirmedAge(TimePoint now) const
{
    return m_confirmedAsOf ? std::chrono::ceil<Milliseconds>(now - *m_confirmedAsOf) : unknownAge;
}

Milliseconds ViewSourceDecision::age(TimePoint now) const
{
    if (!m_hasAnswer)
        return unknownAge;
    return std::chrono::duration_cast<Milliseconds>(now - m_currentAsOf);
}

}
