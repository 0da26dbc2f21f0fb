#include "PullDecision.h"

#include <algorithm>

namespace hyssopwick {

namespace {

    // Some members send several chunks at once and are slow; with fewer fetches the
    // downlink idles behind them (tests/PullTests.cpp).
    constexpr std::size_t maxPending = 6;
    // Of these, from the origin: more at once would crowd it when it comes back.
    constexpr std::size_t maxPendingAtOrigin = 4;
    // Requests that the origin should have at a time, so that its link never idles.
    constexpr std::uint32_t originOverlap = 3;
    // Members of the region hear of new chunks this often.
    constexpr Milliseconds announcePeriod { 20 };
    // All members hear of what is held this often while something is missing somewhere.
    constexpr Milliseconds announceAllPeriod { 500 };
    constexpr Milliseconds busyPause { 15 };
    constexpr Milliseconds failurePause { 300 };
    constexpr Milliseconds longestFailurePause { 5000 };
    // A fetch shares both links with others.
    constexpr int chunkTimesPerDeadline = 8;
    constexpr Milliseconds deadlineSlack { 300 };
    constexpr int originChunkTimesPerDeadline = 20;
    constexpr Milliseconds originDeadlineSlack { 700 };
    // Who comes later in the order of a chunk takes over after this.
    constexpr Milliseconds takeoverStep { 300 };
    constexpr Milliseconds originTakeover { 500 };
    constexpr Milliseconds idleWake { 500 };
    constexpr Milliseconds activeWake { 10 };

    std::uint64_t mix(std::uint64_t left, std::uint64_t right) { return RandomSource(left ^ (right * 0x9e3779b97f4a7c15ull)).next(); }

    Milliseconds backoff(unsigned failures) { return std::min(longestFailurePause, failurePause * (1u << std::min(failures, 5u))); }

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
    std::map<std::string, MemberState> updated;
    bool isChanged = false;
    for (const auto& member : members) {
        if (member.id == m_settings.self.id)
            continue;
        const auto known = m_members.find(member.id);
        if (known != m_members.end() && known->second.member == member) {
            updated.emplace(member.id, std::move(known->second));
            continue;
        }
        MemberState state;
        state.member = member;
        state.held = ChunkSet(m_held.capacity());
        updated.emplace(member.id, std::move(state));
        isChanged = true;
    }
    isChanged = isChanged || updated.size() != m_members.size();
    m_members = std::move(updated);
    if (isChanged)
        rank();
}

// Ranks are counted, not sorted: only the own place in each order matters.
void PullDecision::rank()
{
    const auto ownHash = stableHash(m_key + m_settings.self.id);
    std::vector<std::pair<std::uint64_t, bool>> others; // hash, and whether in the own region
    std::map<std::string, std::vector<std::string>> byDomain;
    for (const auto& [id, state] : m_members) {
        const bool isInRegion = state.member.region == m_settings.self.region;
        others.emplace_back(stableHash(m_key + id), isInRegion);
        if (isInRegion)
            byDomain[state.member.failureDomain].push_back(id);
    }
    for (std::uint32_t chunk = 0; chunk < m_chunks.size(); ++chunk) {
        const auto ownWeight = mix(ownHash, chunk);
        m_chunks[chunk].originRank = 0;
        m_chunks[chunk].regionRank = 0;
        for (const auto& [hash, isInRegion] : others) {
            if (mix(hash, chunk) <= ownWeight)
                continue;
            ++m_chunks[chunk].originRank;
            m_chunks[chunk].regionRank += isInRegion;
        }
    }
    // Neighbours alternate between the failure domains of the region.
    m_neighbours.clear();
    std::size_t longest = 0;
    for (auto& [domain, ids] : byDomain) {
        ids = rendezvousOrder(m_settings.self.id, std::move(ids));
        longest = std::max(longest, ids.size());
    }
    for (std::size_t round = 0; round < longest; ++round) {
        for (const auto& [domain, ids] : byDomain) {
            if (round < ids.size() && m_neighbours.size() < m_settings.neighbourLimit)
                m_neighbours.push_back(ids[round]);
        }
    }
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
        --m_pending;
    }
    m_held.insert(chunk);
    for (const auto& id : pullersElsewhere(chunk)) {
        if (!m_members.at(id).held.contains(chunk))
            m_crossingNews.insert(id);
    }
}

void PullDecision::recordPullFailure(const std::string& member, std::uint32_t chunk, bool isBusy, TimePoint now)
{
    auto& state = m_chunks[chunk];
    if (state.isPending) {
        state.isPending = false;
        --m_pending;
    }
    const auto found = m_members.find(member);
    if (found == m_members.end())
        return;
    if (isBusy) {
        found->second.askAgainAt = now + busyPause;
        return;
    }
    found->second.askAgainAt = now + backoff(found->second.failures++);
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
        --m_pending;
    }
    state.originRetryAt = now + failurePause;
    m_originFailedAt = now;
}

bool PullDecision::isHeldInRegion(std::uint32_t chunk) const
{
    return std::any_of(m_members.begin(), m_members.end(), [&](const auto& entry) { return entry.second.member.region == m_settings.self.region && entry.second.held.contains(chunk); });
}

bool PullDecision::isHeldAnywhere(std::uint32_t chunk) const
{
    return std::any_of(m_members.begin(), m_members.end(), [&](const auto& entry) { return entry.second.held.contains(chunk); });
}

// The origin's link is shared by the chunks in their order; the first of a chunk's order
// asks in time for its turn, the others once the origin should have sent everything.
TimePoint PullDecision::originDueAt(std::uint32_t chunk) const
{
    const auto& state = m_chunks[chunk];
    const auto turn = m_startedAt + originChunkTime() * (chunk < originOverlap ? 0 : chunk - originOverlap);
    if (state.originRank == 0)
        return turn;
    const auto step = takeoverStep * static_cast<int>(std::min<std::size_t>(state.originRank - 1, 20));
    // While the origin fails for all, nobody takes over from others.
    return std::max(m_startedAt, m_originFailedAt) + originTime() + originTakeover + step;
}

TimePoint PullDecision::crossingDueAt(std::uint32_t chunk) const
{
    const auto rank = m_chunks[chunk].regionRank;
    if (rank == 0)
        return m_startedAt;
    const auto turn = m_startedAt + originChunkTime() * chunk;
    return turn + chunkTime() * chunkTimesPerDeadline + takeoverStep * static_cast<int>(std::min<std::size_t>(rank, 20));
}

std::vector<std::string> PullDecision::pullersElsewhere(std::uint32_t chunk) const
{
    std::map<std::string, std::pair<std::uint64_t, std::string>> firstOfRegion;
    for (const auto& [id, state] : m_members) {
        if (state.member.region == m_settings.self.region)
            continue;
        const auto weight = mix(stableHash(m_key + id), chunk);
        auto& first = firstOfRegion[state.member.region];
        if (first.second.empty() || weight > first.first)
            first = { weight, id };
    }
    std::vector<std::string> pullers;
    for (const auto& [region, first] : firstOfRegion)
        pullers.push_back(first.second);
    return pullers;
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
    // One request at a time finds out whether an origin that failed is back.
    std::size_t allowed = now < m_originFailedAt + failurePause * 2 ? 1 : maxPendingAtOrigin;
    for (const auto& state : m_chunks)
        allowed -= std::min<std::size_t>(allowed, state.isPending && state.isFromOrigin);
    for (std::uint32_t chunk = 0; chunk < m_chunks.size() && m_pending < maxPending && allowed > 0; ++chunk) {
        auto& state = m_chunks[chunk];
        if (m_held.contains(chunk) || state.isPending || now < state.originRetryAt || now < originDueAt(chunk) || isHeldAnywhere(chunk))
            continue;
        state.isPending = true;
        state.isFromOrigin = true;
        --allowed;
        ++m_pending;
        actions.push_back(FetchFromOrigin { chunk, now + originChunkTime() * originChunkTimesPerDeadline + originDeadlineSlack });
    }
}

void PullDecision::planPulls(TimePoint now, std::vector<PullAction>& actions)
{
    while (m_pending < maxPending && pullOne(now, actions)) { }
}

bool PullDecision::isWanted(std::uint32_t chunk) const { return !m_held.contains(chunk) && !m_chunks[chunk].isPending; }

std::vector<std::size_t> PullDecision::holdersInRegion() const
{
    std::vector<std::size_t> holders(m_chunks.size());
    for (const auto& [id, state] : m_members) {
        for (std::uint32_t chunk = 0; chunk < m_chunks.size() && state.member.region == m_settings.self.region; ++chunk)
            holders[chunk] += state.held.contains(chunk);
    }
    return holders;
}

// Chunks that this VM brings into its region come first, since all others there wait for
// them. Otherwise a member is drawn first and then the rarest chunk that it holds: drawn
// the other way round, all VMs would meet at the few that hold the rarest chunks while the
// links of the others idle.
bool PullDecision::pullOne(TimePoint now, std::vector<PullAction>& actions)
{
    const auto holders = holdersInRegion();
    for (std::uint32_t chunk = 0; chunk < m_chunks.size(); ++chunk) {
        if (!isWanted(chunk) || holders[chunk] > 0 || now < crossingDueAt(chunk))
            continue;
        if (const auto* source = drawMember(now, [&](const MemberState& state) { return state.held.contains(chunk); })) {
            pull(*source, chunk, now, actions);
            return true;
        }
    }
    const auto isUseful = [&](const MemberState& state, bool isNearest) {
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
    const auto* source = drawMember(now, [&](const MemberState& state) { return isUseful(state, true); });
    if (!source)
        source = drawMember(now, [&](const MemberState& state) { return isUseful(state, false); });
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

const PullDecision::MemberState* PullDecision::drawMember(TimePoint now, const std::function<bool(const MemberState&)>& isSuitable)
{
    const MemberState* drawn = nullptr;
    std::size_t count = 0;
    for (const auto& [id, state] : m_members) {
        // Each of the suitable members is drawn alike, in one pass.
        if (now >= state.askAgainAt && isSuitable(state) && m_random.below(++count) == 0)
            drawn = &state;
    }
    return drawn;
}

void PullDecision::pull(const MemberState& source, std::uint32_t chunk, TimePoint now, std::vector<PullAction>& actions)
{
    m_chunks[chunk].isPending = true;
    m_chunks[chunk].isFromOrigin = false;
    ++m_pending;
    // A member that is asked serves this VM first; the next fetch goes elsewhere.
    m_members.at(source.member.id).askAgainAt = now + busyPause;
    const bool isAcrossRegions = source.member.region != m_settings.self.region;
    actions.push_back(PullChunk { source.member.id, chunk, isAcrossRegions, now + chunkTime() * chunkTimesPerDeadline + deadlineSlack });
}

void PullDecision::planAnnouncements(TimePoint now, std::vector<PullAction>& actions)
{
    if (!m_hasGreeted && !m_members.empty()) {
        m_hasGreeted = true;
        m_announceAllAt = now + announceAllPeriod;
        AnnounceHeldChunks greeting { {}, true };
        for (const auto& [id, state] : m_members)
            greeting.members.push_back(id);
        actions.push_back(std::move(greeting));
    }
    if (!m_crossingNews.empty()) {
        actions.push_back(AnnounceHeldChunks { { m_crossingNews.begin(), m_crossingNews.end() }, false });
        m_crossingNews.clear();
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
    for (const auto& [id, state] : m_members) {
        if (!state.held.isFull() || !isComplete())
            all.members.push_back(id);
    }
    if (!all.members.empty())
        actions.push_back(std::move(all));
}

TimePoint PullDecision::nextWake(TimePoint now) const
{
    if (isComplete() && m_held == m_announced)
        return now + idleWake;
    if (m_pending >= maxPending)
        return now + announcePeriod;
    return now + activeWake;
}

}
