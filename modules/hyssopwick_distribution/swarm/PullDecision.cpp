#include "PullDecision.h"

#include "NeighbourSelection.h"

#include <algorithm>

namespace hyssopwick {

namespace {

    // A member that sends several chunks at once is slow; with fewer fetches under way,
    // the downlink idles while it waits for such members (tests/PullTests.cpp).
    constexpr std::size_t maxPendingFetches = 6;
    // Of these, from the origin: more would overload it when it recovers from an outage.
    constexpr std::size_t maxPendingOriginFetches = 4;
    // Requests that the origin should have queued, so that its link never idles.
    constexpr std::uint32_t originQueueDepth = 3;
    // How often newly held chunks are announced to neighbours in the region.
    constexpr Milliseconds announcePeriod { 20 };
    // How often all members are notified while any member still lacks chunks.
    constexpr Milliseconds announceAllPeriod { 500 };
    // In larger fleets a VM informs its neighbours and a few others, not all members.
    constexpr std::size_t maxWholeFleet = 32;
    constexpr std::size_t contactsPerOtherRegion = 2;
    // VMs of a region that tell other regions of a chunk: those that fetch it first.
    constexpr std::size_t crossRegionHolders = 2;
    constexpr Milliseconds busyDelay { 15 };
    constexpr Milliseconds failureDelay { 300 };
    // Several chunk times, since a fetch shares both VMs' links with other fetches.
    constexpr int chunkTimesPerDeadline = 8;
    constexpr Milliseconds deadlineSlack { 300 };
    // An answer that makes progress is not given up while many VMs share the origin's link:
    // with 20 chunk times, transfers that shared it after an outage were all given up and
    // started again (tests/OriginReturnTests.cpp).
    constexpr int originChunkTimesPerDeadline = 64;
    constexpr Milliseconds originDeadlineSlack { 700 };
    constexpr Milliseconds originStallTimeout { 500 };
    // A busy origin accepts connections late because its link is saturated.
    constexpr Milliseconds originBeginTimeout { 1200 };
    // While the origin fails, a request is repeated soon: one that was sent before its return
    // may never be answered. Every fourth waits for the whole time, for an origin that is slow.
    constexpr Milliseconds originProbeTimeout { 250 };
    constexpr Milliseconds originProbePeriod { 250 };
    constexpr Milliseconds originProbeDelay { 40 };
    constexpr unsigned probesPerPatientProbe = 4;
    constexpr std::size_t maxPendingProbes = 2;
    // Each later member in a chunk's order waits this much longer before it takes over.
    constexpr Milliseconds takeoverStep { 300 };
    constexpr Milliseconds originTakeoverDelay { 500 };
    constexpr Milliseconds idleWakePeriod { 500 };
    constexpr Milliseconds activeWakePeriod { 10 };

}

PullDecision::PullDecision(PullSettings settings, std::string key, std::uint32_t chunkCount, std::uint64_t chunkBytes, std::uint64_t seed, TimePoint now)
    : m_settings(std::move(settings))
    , m_key(std::move(key))
    , m_chunkBytes(chunkBytes)
    , m_random(seed)
    , m_startedAt(now)
    , m_originFailedAt(now - std::chrono::hours(1))
    , m_originProgressAt(now)
    , m_turnsStart(now)
    , m_held(chunkCount)
    , m_announced(chunkCount)
    , m_chunks(chunkCount)
    , m_announceAt(now)
    , m_announceAllAt(now)
{
}

Milliseconds PullDecision::chunkTime() const { return Milliseconds(static_cast<std::int64_t>(1000 * double(m_chunkBytes) / m_settings.linkBytesPerSecond) + 1); }

Milliseconds PullDecision::originChunkTime() const { return Milliseconds(static_cast<std::int64_t>(1000 * double(m_chunkBytes) / m_settings.originBytesPerSecond) + 1); }

void PullDecision::setMembers(const std::vector<SwarmMember>& members)
{
    std::map<std::string, MemberProgress> updated;
    bool isChanged = false;
    for (const auto& member : members) {
        if (member.id == m_settings.self.id)
            continue;
        const auto known = m_members.find(member.id);
        if (known != m_members.end() && known->second.member == member) {
            updated.emplace(member.id, std::move(known->second));
            continue;
        }
        MemberProgress state;
        state.member = member;
        state.held = ChunkSet(m_held.capacity());
        updated.emplace(member.id, std::move(state));
        isChanged = true;
    }
    isChanged = isChanged || updated.size() != m_members.size();
    m_members = std::move(updated);
    for (std::uint32_t chunk = 0; isChanged && chunk < m_chunks.size(); ++chunk)
        m_chunks[chunk].otherHolders = static_cast<std::size_t>(std::count_if(m_members.begin(), m_members.end(), [&](const auto& entry) { return entry.second.held.contains(chunk); }));
    if (isChanged)
        computeRanksAndNeighbours();
}

// Only this VM's rank in each chunk's order matters, so it is counted without sorting.
void PullDecision::computeRanksAndNeighbours()
{
    const auto ownHash = stableHash(m_key + m_settings.self.id);
    std::vector<std::pair<std::uint64_t, bool>> others; // hash, isInRegion
    std::map<std::string, std::vector<std::string>> byDomain;
    for (const auto& [id, state] : m_members) {
        const bool isInRegion = state.member.region == m_settings.self.region;
        others.emplace_back(stableHash(m_key + id), isInRegion);
        if (isInRegion)
            byDomain[state.member.failureDomain].push_back(id);
    }
    for (std::uint32_t chunk = 0; chunk < m_chunks.size(); ++chunk) {
        const auto ownWeight = chunkWeight(ownHash, chunk);
        m_chunks[chunk].originRank = 0;
        m_chunks[chunk].regionRank = 0;
        for (const auto& [hash, isInRegion] : others) {
            if (chunkWeight(hash, chunk) <= ownWeight)
                continue;
            ++m_chunks[chunk].originRank;
            m_chunks[chunk].regionRank += isInRegion;
        }
    }
    m_neighbours = selectNeighbours(m_settings.self.id, std::move(byDomain), m_settings.neighbourLimit);
}

void PullDecision::recordHeld(const std::string& member, const ChunkSet& held)
{
    const auto found = m_members.find(member);
    if (found == m_members.end() || held.capacity() != m_held.capacity())
        return;
    auto& state = found->second;
    for (std::uint32_t chunk = 0; chunk < m_chunks.size(); ++chunk) {
        m_chunks[chunk].otherHolders += held.contains(chunk);
        m_chunks[chunk].otherHolders -= state.held.contains(chunk);
        if (held.contains(chunk))
            recordKnown(chunk, state.hasAnnounced);
    }
    state.held = held;
    state.hasAnnounced = true;
}

// What a member holds when it is first heard says nothing about the origin's present state.
void PullDecision::recordKnown(std::uint32_t chunk, bool isNews)
{
    auto& state = m_chunks[chunk];
    if (state.isKnown)
        return;
    state.isKnown = true;
    state.isBeforeTurns = !isNews;
    m_hasOriginProgress = m_hasOriginProgress || isNews;
}

// The turns at the origin's link start again when chunks arrive after an outage, without
// those that are known: with the turns from before the outage, all VMs would ask at once.
void PullDecision::recordOriginProgress(TimePoint now)
{
    m_hasOriginProgress = false;
    m_originProgressAt = now;
    if (!m_areTurnsSuspended)
        return;
    m_areTurnsSuspended = false;
    m_turnsStart = now;
    for (auto& state : m_chunks)
        state.isBeforeTurns = state.isKnown;
}

bool PullDecision::endFetch(std::uint32_t chunk)
{
    auto& state = m_chunks[chunk];
    if (!state.isPending)
        return false;
    state.isPending = false;
    --m_pendingFetches;
    return true;
}

void PullDecision::recordChunkStored(std::uint32_t chunk, TimePoint)
{
    const auto& state = m_chunks[chunk];
    const bool wasFetched = endFetch(chunk);
    if (wasFetched && state.isFromOrigin)
        m_originFailures = 0;
    recordKnown(chunk, wasFetched);
    m_held.insert(chunk);
    const bool isFirstHolder = state.isFromOrigin || state.regionRank < crossRegionHolders;
    if (isLargeFleet() && !isFirstHolder)
        return;
    for (const auto& id : fetchersInOtherRegions(chunk)) {
        if (!m_members.at(id).held.contains(chunk))
            m_remoteMembersToNotify.insert(id);
    }
}

void PullDecision::recordPullFailure(const std::string& member, std::uint32_t chunk, bool isBusy, TimePoint now)
{
    endFetch(chunk);
    const auto found = m_members.find(member);
    if (found == m_members.end())
        return;
    if (isBusy) {
        found->second.nextRequestAt = now + busyDelay;
        return;
    }
    found->second.nextRequestAt = now + failureBackoff(found->second.failures++);
    if (found->second.held.contains(chunk))
        --m_chunks[chunk].otherHolders;
    found->second.held.erase(chunk);
}

void PullDecision::recordCorruptChunk(std::uint32_t chunk, const std::string& from, TimePoint now)
{
    if (!from.empty())
        return recordPullFailure(from, chunk, false, now);
    endFetch(chunk);
    m_chunks[chunk].originRetryAt = now + failureDelay;
}

void PullDecision::recordOriginFailure(std::uint32_t chunk, TimePoint now)
{
    endFetch(chunk);
    auto& state = m_chunks[chunk];
    state.originRetryAt = std::max(now + originProbeDelay, state.originAskedAt + originProbePeriod);
    m_originFailedAt = now;
    m_areTurnsSuspended = true;
    ++m_originFailures;
}

// The origin's link transfers the chunks one after another, each in its turn. The member
// that comes first in a chunk's order asks in time for this turn, or earlier when all but a
// few chunks before it are held. The others take over once the origin should have sent all
// chunks and none has arrived for a while. While the origin fails, only the first chunks
// that nobody holds are asked for: few requests find out soon that it is back, and do not
// share its link with those for all other chunks.
std::vector<TimePoint> PullDecision::originDueTimes() const
{
    const auto turnCount = std::count_if(m_chunks.begin(), m_chunks.end(), [](const ChunkState& state) { return !state.isBeforeTurns; });
    const auto turnsTime = originChunkTime() * turnCount + originTakeoverDelay;
    const auto turnsEnd = std::max(m_turnsStart + turnsTime, m_originProgressAt + originTakeoverDelay);
    std::uint32_t missingCount = 0;
    for (std::uint32_t chunk = 0; chunk < m_chunks.size(); ++chunk)
        missingCount += !isHeldAnywhere(chunk);
    const bool isOriginFailing = m_areTurnsSuspended || 2 * missingCount > turnCount;
    const auto originSilentSince = std::max({ m_originFailedAt, m_originProgressAt, m_turnsStart });
    const auto stepsFor = [](std::size_t count) { return takeoverStep * static_cast<int>(std::min<std::size_t>(count, 20)); };
    std::vector<TimePoint> times(m_chunks.size(), TimePoint::max());
    std::uint32_t turn = 0;
    std::uint32_t missingBefore = 0;
    for (std::uint32_t chunk = 0; chunk < m_chunks.size(); ++chunk) {
        const auto& state = m_chunks[chunk];
        const bool isMissing = !isHeldAnywhere(chunk);
        const bool isNext = missingBefore < originQueueDepth;
        if (isMissing && state.originRank == 0) {
            if (isNext)
                times[chunk] = m_startedAt;
            else if (m_areTurnsSuspended)
                times[chunk] = originSilentSince + originTakeoverDelay + stepsFor(missingBefore - originQueueDepth);
            else
                times[chunk] = m_turnsStart + originChunkTime() * (turn < originQueueDepth ? 0 : turn - originQueueDepth);
        } else if (isMissing && isNext) {
            // While the origin fails, the others' requests would find it back at the same time
            // as those of the first members, which are asking too. When most chunks are missing
            // after their turns, the origin has failed rather than a few VMs.
            const auto rank = std::min<std::size_t>(state.originRank - 1, 20);
            times[chunk] = isOriginFailing ? originSilentSince + turnsTime * (4 << std::min<std::size_t>(rank, 4)) : turnsEnd + stepsFor(rank);
        }
        turn += !state.isBeforeTurns;
        missingBefore += isMissing;
    }
    return times;
}

TimePoint PullDecision::crossRegionDueAt(std::uint32_t chunk) const
{
    const auto rank = m_chunks[chunk].regionRank;
    if (rank == 0)
        return m_startedAt;
    const auto slotStart = m_startedAt + originChunkTime() * chunk;
    return slotStart + chunkTime() * chunkTimesPerDeadline + takeoverStep * static_cast<int>(std::min<std::size_t>(rank, 20));
}

// Returns the first member of each other region in the chunk's order, which fetches it there.
std::vector<std::string> PullDecision::fetchersInOtherRegions(std::uint32_t chunk) const
{
    std::map<std::string, std::pair<std::uint64_t, std::string>> firstOfRegion;
    for (const auto& [id, state] : m_members) {
        if (state.member.region == m_settings.self.region)
            continue;
        const auto weight = chunkWeight(stableHash(m_key + id), chunk);
        auto& first = firstOfRegion[state.member.region];
        if (first.second.empty() || weight > first.first)
            first = { weight, id };
    }
    std::vector<std::string> fetchers;
    for (const auto& [region, first] : firstOfRegion)
        fetchers.push_back(first.second);
    return fetchers;
}

std::vector<PullAction> PullDecision::advance(TimePoint now)
{
    std::vector<PullAction> actions;
    planOrigin(now, actions);
    planPulls(now, actions);
    planAnnouncements(now, actions);
    return actions;
}

void PullDecision::planOrigin(TimePoint now, std::vector<PullAction>& actions)
{
    if (m_hasOriginProgress)
        recordOriginProgress(now);
    std::size_t allowed = m_originFailures > 0 ? maxPendingProbes : maxPendingOriginFetches;
    for (const auto& state : m_chunks)
        allowed -= std::min<std::size_t>(allowed, state.isPending && state.isFromOrigin);
    if (allowed == 0 || !hasFreeFetch())
        return;
    const auto dueTimes = originDueTimes();
    for (std::uint32_t chunk = 0; chunk < m_chunks.size() && hasFreeFetch() && allowed > 0; ++chunk) {
        auto& state = m_chunks[chunk];
        if (state.isPending || now < state.originRetryAt || now < dueTimes[chunk])
            continue;
        state.isPending = true;
        state.isFromOrigin = true;
        state.originAskedAt = now;
        --allowed;
        ++m_pendingFetches;
        actions.push_back(fetchFromOrigin(chunk, now));
    }
}

FetchFromOrigin PullDecision::fetchFromOrigin(std::uint32_t chunk, TimePoint now) const
{
    const bool isPatient = m_originFailures % probesPerPatientProbe == 0;
    return { chunk, now + originChunkTime() * originChunkTimesPerDeadline + originDeadlineSlack, now + (isPatient ? originBeginTimeout : originProbeTimeout), originStallTimeout };
}

void PullDecision::planPulls(TimePoint now, std::vector<PullAction>& actions)
{
    while (m_pendingFetches < maxPendingFetches && pullOne(now, actions)) { }
}

bool PullDecision::isWanted(std::uint32_t chunk) const { return !m_held.contains(chunk) && !m_chunks[chunk].isPending; }

std::vector<std::size_t> PullDecision::holderCountsInRegion() const
{
    std::vector<std::size_t> holders(m_chunks.size());
    for (const auto& [id, state] : m_members) {
        if (!state.hasAnnounced || state.member.region != m_settings.self.region)
            continue;
        for (std::uint32_t chunk = 0; chunk < m_chunks.size(); ++chunk)
            holders[chunk] += state.held.contains(chunk);
    }
    return holders;
}

// Chunks that this VM fetches into its region come first, since all others there wait for
// them. Otherwise a member is picked first and then the rarest chunk that it holds: in the
// reverse order, all VMs would ask the few holders of the rarest chunks while the links of
// the others idle.
bool PullDecision::pullOne(TimePoint now, std::vector<PullAction>& actions)
{
    const auto holders = holderCountsInRegion();
    for (std::uint32_t chunk = 0; chunk < m_chunks.size(); ++chunk) {
        if (!isWanted(chunk) || holders[chunk] > 0 || now < crossRegionDueAt(chunk))
            continue;
        if (const auto* source = pickRandomMember(now, [&](const MemberProgress& state) { return state.held.contains(chunk); })) {
            pull(*source, chunk, now, actions);
            return true;
        }
    }
    const auto isUseful = [&](const MemberProgress& state, bool isNearest) {
        const bool isNear = isNearest ? state.member.failureDomain == m_settings.self.failureDomain : state.member.region == m_settings.self.region;
        if (!isNear)
            return false;
        for (std::uint32_t chunk = 0; chunk < m_chunks.size(); ++chunk) {
            if (isWanted(chunk) && state.held.contains(chunk))
                return true;
        }
        return false;
    };
    // Within the own failure domain bytes are cheapest; any member there will do.
    const auto* source = pickRandomMember(now, [&](const MemberProgress& state) { return isUseful(state, true); });
    if (!source)
        source = pickRandomMember(now, [&](const MemberProgress& state) { return isUseful(state, false); });
    if (!source)
        return false;
    std::optional<std::uint32_t> rarest;
    const auto first = static_cast<std::uint32_t>(m_random.below(m_chunks.size()));
    for (std::uint32_t i = 0; i < m_chunks.size(); ++i) {
        const auto chunk = (first + i) % static_cast<std::uint32_t>(m_chunks.size());
        if (isWanted(chunk) && source->held.contains(chunk) && (!rarest || holders[chunk] < holders[*rarest]))
            rarest = chunk;
    }
    pull(*source, *rarest, now, actions);
    return true;
}

const PullDecision::MemberProgress* PullDecision::pickRandomMember(TimePoint now, const std::function<bool(const MemberProgress&)>& isSuitable)
{
    const MemberProgress* picked = nullptr;
    std::size_t count = 0;
    for (const auto& [id, state] : m_members) {
        // Reservoir sampling: each suitable member is picked with equal probability.
        if (state.hasAnnounced && now >= state.nextRequestAt && isSuitable(state) && m_random.below(++count) == 0)
            picked = &state;
    }
    return picked;
}

void PullDecision::pull(const MemberProgress& source, std::uint32_t chunk, TimePoint now, std::vector<PullAction>& actions)
{
    m_chunks[chunk].isPending = true;
    m_chunks[chunk].isFromOrigin = false;
    ++m_pendingFetches;
    // The member is busy with this fetch; the next one should go to another member.
    m_members.at(source.member.id).nextRequestAt = now + busyDelay;
    const bool isAcrossRegions = source.member.region != m_settings.self.region;
    actions.push_back(PullChunk { source.member.id, chunk, isAcrossRegions, now + chunkTime() * chunkTimesPerDeadline + deadlineSlack });
}

void PullDecision::planAnnouncements(TimePoint now, std::vector<PullAction>& actions)
{
    if (!m_hasAnnouncedToAll && !m_members.empty()) {
        m_hasAnnouncedToAll = true;
        m_announceAllAt = now + announceAllPeriod;
        actions.push_back(AnnounceHeldChunks { contacts(), true });
    }
    if (!m_remoteMembersToNotify.empty()) {
        actions.push_back(AnnounceHeldChunks { { m_remoteMembersToNotify.begin(), m_remoteMembersToNotify.end() }, false });
        m_remoteMembersToNotify.clear();
    }
    if (now >= m_announceAt && m_held != m_announced) {
        m_announceAt = now + announcePeriod;
        m_announced = m_held;
        if (!m_neighbours.empty())
            actions.push_back(AnnounceHeldChunks { m_neighbours, false });
    }
    const bool isSomethingMissing = !isComplete() || std::any_of(m_members.begin(), m_members.end(), [](const auto& entry) { return entry.second.hasAnnounced && !entry.second.held.isFull(); });
    if (now < m_announceAllAt || !isSomethingMissing)
        return;
    m_announceAllAt = now + announceAllPeriod;
    AnnounceHeldChunks all { {}, !isComplete() };
    for (const auto& id : contacts()) {
        if (!m_members.at(id).held.isFull() || !isComplete())
            all.members.push_back(id);
    }
    if (!all.members.empty())
        actions.push_back(std::move(all));
}

// Returns the members to exchange held chunks with: in a large fleet the neighbours and a few
// others of each region, drawn each time, so that what a VM sends does not grow with the fleet.
std::vector<std::string> PullDecision::contacts()
{
    std::vector<std::string> ids;
    if (!isLargeFleet()) {
        for (const auto& [id, state] : m_members)
            ids.push_back(id);
        return ids;
    }
    std::map<std::string, std::vector<std::string>> others;
    const std::set<std::string> neighbours(m_neighbours.begin(), m_neighbours.end());
    for (const auto& [id, state] : m_members) {
        if (neighbours.count(id) == 0)
            others[state.member.region].push_back(id);
    }
    ids = m_neighbours;
    for (auto& [region, candidates] : others) {
        for (std::size_t i = 0; i < std::min(contactsPerOtherRegion, candidates.size()); ++i) {
            std::swap(candidates[i], candidates[i + m_random.below(candidates.size() - i)]);
            ids.push_back(candidates[i]);
        }
    }
    return ids;
}

bool PullDecision::hasFreeFetch() const { return m_pendingFetches < maxPendingFetches; }

bool PullDecision::isLargeFleet() const { return m_members.size() + 1 > maxWholeFleet; }

TimePoint PullDecision::nextWake(TimePoint now) const
{
    if (isComplete() && m_held == m_announced)
        return now + idleWakePeriod;
    if (m_pendingFetches >= maxPendingFetches)
        return now + announcePeriod;
    return now + activeWakePeriod;
}

}
