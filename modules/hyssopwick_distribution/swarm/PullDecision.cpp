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
    constexpr int originChunkTimesPerDeadline = 20;
    constexpr Milliseconds originDeadlineSlack { 700 };
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
    found->second.held = held;
    found->second.hasAnnounced = true;
}

void PullDecision::recordChunkStored(std::uint32_t chunk, TimePoint)
{
    auto& state = m_chunks[chunk];
    if (state.isPending) {
        state.isPending = false;
        --m_pendingFetches;
    }
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
    auto& state = m_chunks[chunk];
    if (state.isPending) {
        state.isPending = false;
        --m_pendingFetches;
    }
    const auto found = m_members.find(member);
    if (found == m_members.end())
        return;
    if (isBusy) {
        found->second.nextRequestAt = now + busyDelay;
        return;
    }
    found->second.nextRequestAt = now + failureBackoff(found->second.failures++);
    found->second.held.erase(chunk);
}

void PullDecision::recordCorruptChunk(std::uint32_t chunk, const std::string& from, TimePoint now)
{
    if (from.empty())
        recordOriginFailure(chunk, now);
    else
        recordPullFailure(from, chunk, false, now);
}

void PullDecision::recordOriginFailure(std::uint32_t chunk, TimePoint now)
{
    auto& state = m_chunks[chunk];
    if (state.isPending) {
        state.isPending = false;
        --m_pendingFetches;
    }
    state.originRetryAt = now + failureDelay;
    m_originFailedAt = now;
}

bool PullDecision::isHeldAnywhere(std::uint32_t chunk) const
{
    return std::any_of(m_members.begin(), m_members.end(), [&](const auto& entry) { return entry.second.hasAnnounced && entry.second.held.contains(chunk); });
}

// The origin's link transfers the chunks one after another, each in its time slot. The
// member that comes first in a chunk's order asks in time for this slot, the others once
// the origin should have sent all chunks.
TimePoint PullDecision::originDueAt(std::uint32_t chunk) const
{
    const auto& state = m_chunks[chunk];
    const auto slotStart = m_startedAt + originChunkTime() * (chunk < originQueueDepth ? 0 : chunk - originQueueDepth);
    if (state.originRank == 0)
        return slotStart;
    const auto step = takeoverStep * static_cast<int>(std::min<std::size_t>(state.originRank - 1, 20));
    // While the origin fails for all, nobody takes over: the time counts from its last failure.
    return std::max(m_startedAt, m_originFailedAt) + originTime() + originTakeoverDelay + step;
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
    // While the origin fails, a single request at a time checks whether it has recovered.
    std::size_t allowed = now < m_originFailedAt + failureDelay * 2 ? 1 : maxPendingOriginFetches;
    for (const auto& state : m_chunks)
        allowed -= std::min<std::size_t>(allowed, state.isPending && state.isFromOrigin);
    for (std::uint32_t chunk = 0; chunk < m_chunks.size() && m_pendingFetches < maxPendingFetches && allowed > 0; ++chunk) {
        auto& state = m_chunks[chunk];
        if (m_held.contains(chunk) || state.isPending || now < state.originRetryAt || now < originDueAt(chunk) || isHeldAnywhere(chunk))
            continue;
        state.isPending = true;
        state.isFromOrigin = true;
        --allowed;
        ++m_pendingFetches;
        actions.push_back(FetchFromOrigin { chunk, now + originChunkTime() * originChunkTimesPerDeadline + originDeadlineSlack });
    }
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
