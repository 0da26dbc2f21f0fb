#include "PushDecision.h"

#include "NeighbourSelection.h"

#include <algorithm>

namespace hyssopwick {

namespace {

    constexpr Milliseconds offerTimeout { 600 };
    constexpr Milliseconds transferSlack { 1200 };
    constexpr Milliseconds originSlack { 2000 };
    constexpr Milliseconds minLead { 4 };
    constexpr Milliseconds maxLead { 60 };
    constexpr Milliseconds minBusyTime { 3 };
    constexpr Milliseconds sendFailureDelay { 2500 };
    constexpr Milliseconds maxSendFailureDelay { 20000 };
    constexpr Milliseconds crossRegionRetryDelay { 15 };
    constexpr Milliseconds avoidancePeriod { 30000 };
    constexpr Milliseconds minAnnouncePeriod { 500 };
    constexpr Milliseconds activeWakePeriod { 20 };
    constexpr Milliseconds idleWakePeriod { 250 };
    constexpr unsigned corruptChunksToAvoid = 2; // from one sender
    constexpr unsigned minGoodPerCorruptChunk = 5; // a sender with no more than this is avoided
    constexpr std::size_t maxOriginRequests = 2;
    constexpr std::size_t receiverSamples = 3;
    constexpr unsigned transferTimesPerDeadline = 4;
    constexpr unsigned originTransferTimesPerDeadline = 10;

}

PushDecision::PushDecision(PushSettings settings, std::string key, std::vector<std::uint64_t> chunkSizes, std::uint64_t seed, TimePoint now)
    : m_settings(std::move(settings))
    , m_key(std::move(key))
    , m_sizes(std::move(chunkSizes))
    , m_random(seed)
    , m_startedAt(now)
    , m_held(static_cast<std::uint32_t>(m_sizes.size()))
    , m_origin(m_sizes.size())
    , m_originBlockedUntil(now)
    , m_uplinkFreeAt(now)
    , m_downlinkFreeAt(now)
    , m_offerPendingUntil(now)
    , m_announceAt(now + minAnnouncePeriod)
    , m_nextSampleAt(now)
{
    for (const auto size : m_sizes)
        m_totalBytes += size;
    rebuildOriginOrder();
}

Milliseconds PushDecision::transferTime(double bytes, double bytesPerSecond) const
{
    return Milliseconds(static_cast<std::int64_t>(1000 * bytes / bytesPerSecond));
}

void PushDecision::setMembers(const std::vector<SwarmMember>& members)
{
    std::map<std::string, MemberProgress> updated;
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
        state.reserved = ChunkSet(m_held.capacity());
        updated.emplace(member.id, std::move(state));
    }
    m_members = std::move(updated);
    rebuildNeighbours();
    rebuildOriginOrder();
    rebuildRegionLinks();
}

void PushDecision::rebuildNeighbours()
{
    m_regionMembers.clear();
    std::map<std::string, std::vector<std::string>> byDomain;
    for (const auto& [id, state] : m_members) {
        if (state.member.region != m_settings.self.region)
            continue;
        m_regionMembers.push_back(id);
        byDomain[state.member.failureDomain].push_back(id);
    }
    m_neighbours = selectNeighbours(m_settings.self.id, std::move(byDomain), m_settings.neighbourLimit);
}

// The first VM in a chunk's rendezvous order asks the origin at once. The others take
// over one after another, once the whole transfer from the origin should have ended.
void PushDecision::rebuildOriginOrder()
{
    const bool isTimeObjective = m_settings.objective == RolloutObjective::Time;
    const auto originPhase = transferTime(static_cast<double>(m_totalBytes) / 2, m_settings.uplinkBytesPerSecond);
    const auto chunkTime = transferTime(static_cast<double>(m_sizes.front()), m_settings.uplinkBytesPerSecond);
    const auto takeoverDelay = isTimeObjective ? originPhase * 5 / 4 + Milliseconds(500) : originPhase * 3 / 2 + Milliseconds(1500);
    const auto step = std::max(Milliseconds(isTimeObjective ? 500 : 1500), chunkTime * 4);
    std::vector<std::uint64_t> hashes;
    for (const auto& id : m_regionMembers)
        hashes.push_back(stableHash(m_key + id));
    const auto ownHash = stableHash(m_key + m_settings.self.id);
    for (std::size_t chunk = 0; chunk < m_origin.size(); ++chunk) {
        const auto ownWeight = chunkWeight(ownHash, chunk);
        std::int64_t rank = 0;
        for (const auto hash : hashes)
            rank += chunkWeight(hash, chunk) > ownWeight;
        auto& origin = m_origin[chunk];
        origin.dueAt = rank == 0 ? m_startedAt : m_startedAt + takeoverDelay + step * (rank - 1);
    }
}

void PushDecision::rebuildRegionLinks()
{
    std::map<std::string, RegionLink> links;
    m_remoteRegions.clear();
    std::vector<std::string> regions;
    for (const auto& [id, state] : m_members)
        regions.push_back(state.member.region);
    regions.push_back(m_settings.self.region);
    std::sort(regions.begin(), regions.end());
    regions.erase(std::unique(regions.begin(), regions.end()), regions.end());
    auto candidates = m_regionMembers;
    candidates.push_back(m_settings.self.id);
    const auto order = rendezvousOrder(m_key + "/senders", std::move(candidates));
    for (const auto& region : regions) {
        if (region == m_settings.originRegion)
            continue;
        m_remoteRegions.push_back(region);
        if (region == m_settings.self.region)
            continue;
        // Each region has its own sender as long as there are enough VMs.
        if (order[m_remoteRegions.size() % order.size()] != m_settings.self.id)
            continue;
        const auto known = m_regionLinks.find(region);
        if (known != m_regionLinks.end())
            links.emplace(region, std::move(known->second));
        else
            links.emplace(region, RegionLink { m_startedAt, m_startedAt, {} });
    }
    m_regionLinks = std::move(links);
}

std::vector<PushAction> PushDecision::advance(TimePoint now)
{
    std::vector<PushAction> actions;
    expireReservations(now);
    advanceOrigin(now, actions);
    advanceRegions(now, actions);
    advanceUplink(now, actions);
    advanceAnnouncement(now, actions);
    return actions;
}

TimePoint PushDecision::nextWake(TimePoint now) const
{
    if (!isComplete() || !m_regionLinks.empty())
        return now + activeWakePeriod;
    for (const auto& id : m_neighbours) {
        if (!m_members.at(id).held.isFull())
            return now + activeWakePeriod;
    }
    return now + idleWakePeriod;
}

void PushDecision::expireReservations(TimePoint now)
{
    for (auto reservation = m_reservations.begin(); reservation != m_reservations.end();) {
        if (now < reservation->second.deadline)
            ++reservation;
        else
            reservation = m_reservations.erase(reservation);
    }
}

void PushDecision::advanceOrigin(TimePoint now, std::vector<PushAction>& actions)
{
    if (m_settings.self.region != m_settings.originRegion || isComplete() || now < m_originBlockedUntil)
        return;
    const auto chunkTime = transferTime(static_cast<double>(m_sizes.front()), m_settings.uplinkBytesPerSecond);
    const auto first = static_cast<std::uint32_t>(m_random.below(m_origin.size()));
    for (std::uint32_t i = 0; i < m_origin.size() && m_originPending < maxOriginRequests; ++i) {
        const auto chunk = (first + i) % static_cast<std::uint32_t>(m_origin.size());
        auto& origin = m_origin[chunk];
        if (origin.isPending || now < origin.dueAt || m_held.contains(chunk) || m_reservations.count(chunk) != 0)
            continue;
        if (origin.dueAt != m_startedAt && isKnownInRegion(chunk))
            continue;
        const auto deadline = now + chunkTime * originTransferTimesPerDeadline + originSlack;
        origin.isPending = true;
        origin.pendingUntil = deadline;
        ++m_originPending;
        m_reservations[chunk] = { "", deadline + transferSlack };
        actions.push_back(FetchFromOrigin { chunk, deadline });
    }
}

bool PushDecision::isKnownInRegion(std::uint32_t chunk) const
{
    return std::any_of(m_regionMembers.begin(), m_regionMembers.end(),
        [&](const std::string& id) { return m_members.at(id).held.contains(chunk); });
}

std::uint32_t PushDecision::usefulChunkCount(const MemberProgress& state, TimePoint now) const
{
    auto useful = m_held.without(state.held);
    if (now < state.reservedUntil)
        useful = useful.without(state.reserved);
    return useful.size();
}

// Takes the member with the fewest chunks of a random sample of those that lack some,
// so that VMs without chunks start to serve early. Members that are no neighbours are
// tried when no neighbour lacks a chunk.
const PushDecision::MemberProgress* PushDecision::chooseReceiver(TimePoint now)
{
    std::vector<const MemberProgress*> candidates;
    for (const auto& id : m_neighbours) {
        const auto& state = m_members.at(id);
        if (now >= state.noOffersUntil && now >= state.unreachableUntil && usefulChunkCount(state, now) > 0)
            candidates.push_back(&state);
    }
    if (candidates.empty() && now >= m_nextSampleAt && !m_regionMembers.empty()) {
        m_nextSampleAt = now + activeWakePeriod;
        const auto& state = m_members.at(m_regionMembers[m_random.below(m_regionMembers.size())]);
        if (now >= state.noOffersUntil && usefulChunkCount(state, now) > 0)
            candidates.push_back(&state);
    }
    const MemberProgress* best = nullptr;
    for (std::size_t i = 0; i < receiverSamples && !candidates.empty(); ++i) {
        const auto* sample = candidates[m_random.below(candidates.size())];
        if (!best || sample->held.size() < best->held.size())
            best = sample;
    }
    return best;
}

void PushDecision::advanceUplink(TimePoint now, std::vector<PushAction>& actions)
{
    if (m_held.isEmpty() || (m_isOfferPending && now < m_offerPendingUntil))
        return;
    const auto chunkTime = transferTime(static_cast<double>(m_sizes.front()), m_settings.uplinkBytesPerSecond);
    const auto lead = std::clamp(chunkTime / 3, minLead, maxLead);
    if (m_uplinkFreeAt > now + lead)
        return;
    const auto* receiver = chooseReceiver(now);
    if (!receiver)
        return;
    m_isOfferPending = true;
    m_offerPendingUntil = now + offerTimeout;
    actions.push_back(SendOffer { receiver->member.id, m_held, false, m_offerPendingUntil });
}

void PushDecision::advanceRegions(TimePoint now, std::vector<PushAction>& actions)
{
    for (auto& [region, link] : m_regionLinks)
        advanceRegion(region, link, now, actions);
}

// Chunks enter the remote regions in stripes: chunk i is sent from the origin's
// region to one remote region, which sends it to the others, so that every region
// pair carries an equal part. After a while the origin's region sends all that is missing.
bool PushDecision::isInStripe(std::uint32_t chunk, const std::string& region, TimePoint now) const
{
    const auto& firstRegion = m_remoteRegions[chunk % m_remoteRegions.size()];
    if (m_settings.self.region != m_settings.originRegion)
        return firstRegion == m_settings.self.region;
    if (firstRegion == region)
        return true;
    const auto crossRegionTime = transferTime(static_cast<double>(m_totalBytes) / static_cast<double>(m_remoteRegions.size()), m_settings.regionLinkBytesPerSecond);
    return now > m_startedAt + crossRegionTime * 3 / 2 + Milliseconds(2000);
}

// Counts only chunks of live members: a chunk whose only holder in the region died has
// to be sent there again.
ChunkSet PushDecision::heldIn(const std::string& region) const
{
    ChunkSet held(m_held.capacity());
    for (const auto& [id, state] : m_members) {
        if (state.member.region == region)
            held.add(state.held);
    }
    return held;
}

// The first member in the chunk's rendezvous order, skipping those that are unreachable.
std::string PushDecision::receiverIn(const std::string& region, std::uint32_t chunk, TimePoint now) const
{
    constexpr std::uint64_t reachableBit = std::uint64_t(1) << 63;
    std::string best;
    std::uint64_t bestWeight = 0;
    for (const auto& [id, state] : m_members) {
        if (state.member.region != region)
            continue;
        const auto weight = (chunkWeight(stableHash(m_key + id), chunk) >> 1) | (now >= state.unreachableUntil ? reachableBit : 0);
        if (best.empty() || weight > bestWeight) {
            best = id;
            bestWeight = weight;
        }
    }
    return best;
}

void PushDecision::advanceRegion(const std::string& region, RegionLink& link, TimePoint now, std::vector<PushAction>& actions)
{
    const auto chunkTime = transferTime(static_cast<double>(m_sizes.front()), m_settings.regionLinkBytesPerSecond);
    const auto lead = std::clamp(chunkTime / 3, minLead, maxLead);
    if (now < link.pendingUntil || link.linkFreeAt > now + lead)
        return;
    const auto candidates = m_held.without(heldIn(region));
    const auto first = static_cast<std::uint32_t>(m_random.below(m_sizes.size()));
    for (std::uint32_t i = 0; i < m_sizes.size(); ++i) {
        const auto chunk = (first + i) % static_cast<std::uint32_t>(m_sizes.size());
        if (!candidates.contains(chunk) || !isInStripe(chunk, region, now))
            continue;
        const auto sending = link.sending.find(chunk);
        if (sending != link.sending.end() && now < sending->second)
            continue;
        const auto receiver = receiverIn(region, chunk, now);
        if (receiver.empty() || now < m_members.at(receiver).noOffersUntil)
            continue;
        ChunkSet offered(m_held.capacity());
        offered.insert(chunk);
        link.pendingUntil = now + offerTimeout;
        actions.push_back(SendOffer { receiver, offered, true, link.pendingUntil });
        return;
    }
}

// A VM that receives nothing for a while announces its chunks to two members of its
// region, since others may consider it complete or failed.
void PushDecision::advanceAnnouncement(TimePoint now, std::vector<PushAction>& actions)
{
    if (isComplete() || now < m_announceAt || m_regionMembers.empty())
        return;
    const auto chunkTime = transferTime(static_cast<double>(m_sizes.front()), m_settings.uplinkBytesPerSecond);
    m_announceAt = now + std::max(minAnnouncePeriod, chunkTime * transferTimesPerDeadline);
    if (!m_reservations.empty())
        return;
    for (int i = 0; i < 2; ++i) {
        const auto& id = m_regionMembers[m_random.below(m_regionMembers.size())];
        actions.push_back(SendOffer { id, ChunkSet(m_held.capacity()), false, now + offerTimeout });
    }
}

// Chunks that this VM has to send to other regions. It accepts them first, so that no
// region link idles while waiting for them.
ChunkSet PushDecision::neededForRegions(TimePoint now) const
{
    ChunkSet needed(m_held.capacity());
    for (const auto& [region, link] : m_regionLinks) {
        const auto delivered = heldIn(region);
        for (std::uint32_t chunk = 0; chunk < m_sizes.size(); ++chunk) {
            if (!delivered.contains(chunk) && isInStripe(chunk, region, now))
                needed.insert(chunk);
        }
    }
    return needed;
}

std::optional<std::uint32_t> PushDecision::chooseChunk(const ChunkSet& candidates, TimePoint now)
{
    const auto needed = neededForRegions(now);
    std::optional<std::uint32_t> best;
    std::uint64_t bestRank = 0;
    for (std::uint32_t chunk = 0; chunk < candidates.capacity(); ++chunk) {
        if (!candidates.contains(chunk))
            continue;
        std::uint64_t copies = 0;
        for (const auto& id : m_neighbours) {
            const auto& state = m_members.at(id);
            copies += state.held.contains(chunk) || state.reserved.contains(chunk);
        }
        if (needed.contains(chunk))
            copies = 0;
        const auto rank = (copies << 32) | (m_random.next() >> 32);
        if (!best || rank < bestRank) {
            best = chunk;
            bestRank = rank;
        }
    }
    return best;
}

void PushDecision::recordMemberChunks(MemberProgress& state, const ChunkSet& held, const ChunkSet& reserved, TimePoint now)
{
    if (held.capacity() != m_held.capacity())
        return;
    state.isKnown = true;
    state.held = held;
    state.reserved = reserved;
    state.reservedUntil = now + transferTime(static_cast<double>(m_sizes.front()) * 2, m_settings.uplinkBytesPerSecond);
}

OfferAnswer PushDecision::answerOffer(const std::string& from, const ChunkSet& offered, const ChunkSet& held, bool isAcrossRegions, TimePoint now)
{
    expireReservations(now);
    OfferAnswer answer { std::nullopt, m_held, ChunkSet(m_held.capacity()), Milliseconds(0) };
    for (const auto& [chunk, reservation] : m_reservations)
        answer.reserved.insert(chunk);
    const auto sender = m_members.find(from);
    if (sender == m_members.end() || offered.capacity() != m_held.capacity() || held.capacity() != m_held.capacity())
        return answer;
    recordMemberChunks(sender->second, held, sender->second.reserved, now);
    const auto candidates = offered.without(m_held).without(answer.reserved);
    if (now < sender->second.avoidedUntil)
        answer.busyFor = std::chrono::duration_cast<Milliseconds>(sender->second.avoidedUntil - now);
    if (candidates.isEmpty() || now < sender->second.avoidedUntil)
        return answer;
    const auto downlinkTime = transferTime(static_cast<double>(m_sizes.front()), m_settings.downlinkBytesPerSecond);
    if (!isAcrossRegions && m_downlinkFreeAt > now + downlinkTime) {
        answer.busyFor = std::max(minBusyTime, std::chrono::duration_cast<Milliseconds>(m_downlinkFreeAt - downlinkTime - now));
        return answer;
    }
    answer.accepted = chooseChunk(candidates, now);
    const auto senderRate = isAcrossRegions ? m_settings.regionLinkBytesPerSecond : m_settings.uplinkBytesPerSecond;
    const auto size = static_cast<double>(m_sizes[*answer.accepted]);
    m_reservations[*answer.accepted] = { from, now + transferTime(size, senderRate) * transferTimesPerDeadline + transferSlack };
    m_downlinkFreeAt = std::max(now, m_downlinkFreeAt) + transferTime(size, m_settings.downlinkBytesPerSecond);
    m_announceAt = std::max(m_announceAt, now + minAnnouncePeriod);
    return answer;
}

std::vector<PushAction> PushDecision::recordOfferAnswer(const std::string& member, bool isAcrossRegions, const OfferAnswer& answer, TimePoint now)
{
    std::vector<PushAction> actions;
    const auto found = m_members.find(member);
    if (!isAcrossRegions)
        m_isOfferPending = false;
    if (found == m_members.end())
        return actions;
    auto& state = found->second;
    state.failures = 0;
    recordMemberChunks(state, answer.held, answer.reserved, now);
    if (answer.busyFor > Milliseconds(0))
        state.noOffersUntil = now + answer.busyFor;
    const auto link = m_regionLinks.find(state.member.region);
    if (isAcrossRegions && link != m_regionLinks.end())
        link->second.pendingUntil = answer.accepted ? now : now + crossRegionRetryDelay;
    if (!answer.accepted || *answer.accepted >= m_sizes.size() || !m_held.contains(*answer.accepted))
        return advance(now);
    const auto size = static_cast<double>(m_sizes[*answer.accepted]);
    const auto uplinkTime = transferTime(size, m_settings.uplinkBytesPerSecond);
    m_uplinkFreeAt = std::max(now, m_uplinkFreeAt) + uplinkTime;
    auto notBefore = m_uplinkFreeAt;
    auto transfer = uplinkTime;
    if (isAcrossRegions && link != m_regionLinks.end()) {
        transfer = transferTime(size, m_settings.regionLinkBytesPerSecond);
        link->second.linkFreeAt = std::max(now, link->second.linkFreeAt) + transfer;
        // The region link is the slower one; its share of the uplink is counted above.
        notBefore = link->second.linkFreeAt;
        link->second.sending[*answer.accepted] = notBefore + transfer * transferTimesPerDeadline + transferSlack;
    }
    state.reserved.insert(*answer.accepted);
    actions.push_back(SendChunk { member, *answer.accepted, isAcrossRegions, notBefore, notBefore + transfer + transferSlack });
    return actions;
}

void PushDecision::recordOfferFailure(const std::string& member, bool isAcrossRegions, TimePoint now)
{
    if (!isAcrossRegions)
        m_isOfferPending = false;
    const auto found = m_members.find(member);
    if (found != m_members.end())
        found->second.noOffersUntil = now + failureBackoff(found->second.failures++);
}

void PushDecision::recordChunkSent(const std::string& member, std::uint32_t chunk, bool isSuccess, TimePoint now)
{
    const auto found = m_members.find(member);
    if (found == m_members.end())
        return;
    const auto link = m_regionLinks.find(found->second.member.region);
    if (link != m_regionLinks.end())
        link->second.sending.erase(chunk);
    auto& state = found->second;
    if (!isSuccess) {
        state.reserved.erase(chunk);
        state.unreachableUntil = now + std::min(maxSendFailureDelay, sendFailureDelay * (1u << std::min(state.sendFailures++, 4u)));
        return;
    }
    state.sendFailures = 0;
    state.held.insert(chunk);
}

void PushDecision::recordChunkStored(std::uint32_t chunk, TimePoint now)
{
    if (chunk >= m_sizes.size())
        return;
    m_held.insert(chunk);
    const auto reservation = m_reservations.find(chunk);
    if (reservation != m_reservations.end()) {
        const auto sender = m_members.find(reservation->second.from);
        if (sender != m_members.end())
            ++sender->second.goodChunks;
        m_reservations.erase(reservation);
    }
    m_announceAt = std::max(m_announceAt, now + minAnnouncePeriod);
    if (m_origin[chunk].isPending) {
        m_origin[chunk].isPending = false;
        --m_originPending;
    }
}

void PushDecision::recordCorruptChunk(std::uint32_t chunk, const std::string& from, TimePoint now)
{
    m_reservations.erase(chunk);
    if (from.empty()) {
        recordOriginFailure(chunk, Milliseconds(0), now);
        return;
    }
    const auto found = m_members.find(from);
    if (found == m_members.end())
        return;
    auto& state = found->second;
    ++state.corruptChunks;
    if (state.corruptChunks >= corruptChunksToAvoid && state.corruptChunks * minGoodPerCorruptChunk >= state.goodChunks) {
        state.avoidedUntil = now + avoidancePeriod;
        state.corruptChunks = 0;
        state.goodChunks = 0;
    }
}

void PushDecision::recordOriginFailure(std::uint32_t chunk, Milliseconds retryAfter, TimePoint now)
{
    auto& origin = m_origin[chunk];
    m_reservations.erase(chunk);
    if (origin.isPending) {
        origin.isPending = false;
        --m_originPending;
    }
    const bool isFirstInOrder = origin.dueAt == m_startedAt;
    if (retryAfter > Milliseconds(0)) {
        m_originBlockedUntil = now + retryAfter + Milliseconds(m_random.below(static_cast<std::uint64_t>(retryAfter.count()) + 1));
        return;
    }
    const auto delay = failureBackoff(origin.failures++);
    m_originBlockedUntil = std::max(m_originBlockedUntil, now + delay / 4);
    if (!isFirstInOrder)
        origin.dueAt = now + delay;
}

bool PushDecision::isAvoided(const std::string& member, TimePoint now) const
{
    const auto found = m_members.find(member);
    return found != m_members.end() && now < found->second.avoidedUntil;
}

}
