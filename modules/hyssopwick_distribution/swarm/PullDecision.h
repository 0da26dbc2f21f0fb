#pragma once

#include "PushDecision.h"

#include <functional>

namespace hyssopwick {

/// Fixed inputs of a PullDecision.
struct PullSettings {
    SwarmMember self;
    double linkBytesPerSecond = 1; ///< of a VM's link, in each direction
    double originBytesPerSecond = 1;
    std::size_t neighbourLimit = 24;
};

/// Fetches a chunk from a member that holds it.
struct PullChunk {
    std::string member;
    std::uint32_t chunk;
    bool isAcrossRegions;
    TimePoint deadline;
};

/// Notifies members which chunks this VM holds.
struct AnnounceHeldChunks {
    std::vector<std::string> members;
    bool wantsAnswer; ///< members should announce in return what they hold
};

using PullAction = std::variant<FetchFromOrigin, PullChunk, AnnounceHeldChunks>;

/// Decides, for one VM and one manifest, which chunk to fetch from where.
///
/// Made for VM links that are much slower than those between regions. The VMs' downlinks
/// then limit the time to distribute a version, so every VM has to fetch continuously from
/// the start. The VMs fetch the chunks from the origin one after another, each chunk by
/// another VM, at the rate of the origin's link. While the origin fails, only the VMs whose
/// turn it is ask for the first chunks that nobody holds; when chunks arrive again, the
/// others follow in the order of these chunks. Each chunk enters each further region
/// once, fetched by the VM that comes first in the chunk's rendezvous order there. Within
/// a region, VMs fetch the rarest chunks first from any holder (Cohen, BitTorrent, 2003).
/// A VM takes over fetches that others do not do in time. Pure: no clock, socket, thread
/// or log.
class PullDecision {
public:
    PullDecision(PullSettings settings, std::string key, std::uint32_t chunkCount, std::uint64_t chunkBytes, std::uint64_t seed, TimePoint now);

    /// Replaces the other members.
    void setMembers(const std::vector<SwarmMember>& members);

    /// Returns what to do now. Call after each event and at nextWake().
    std::vector<PullAction> advance(TimePoint now);

    /// Returns when advance() may have something to do without another event.
    TimePoint nextWake(TimePoint now) const;

    /// Records the chunks that a member announced.
    void recordHeld(const std::string& member, const ChunkSet& held);

    /// Records that a verified chunk is stored.
    void recordChunkStored(std::uint32_t chunk, TimePoint now);

    /// Records that a member did not deliver a chunk.
    /// \param isBusy  the member serves others and may be asked again soon
    void recordPullFailure(const std::string& member, std::uint32_t chunk, bool isBusy, TimePoint now);

    /// Records a chunk with a wrong digest. \param from  "" for the origin
    void recordCorruptChunk(std::uint32_t chunk, const std::string& from, TimePoint now);

    /// Records that a fetch from the origin failed.
    void recordOriginFailure(std::uint32_t chunk, TimePoint now);

    /// Returns whether another fetch may be started now.
    bool hasFreeFetch() const;

    const ChunkSet& held() const { return m_held; }
    bool isComplete() const { return m_held.isFull(); }

private:
    struct MemberProgress {
        SwarmMember member;
        ChunkSet held;
        bool hasAnnounced = false;
        TimePoint nextRequestAt; // set at each request, busy answer and failure
        unsigned failures = 0;
    };

    struct ChunkState {
        std::size_t originRank = 0; // of this VM among all members
        std::size_t regionRank = 0; // of this VM among those of its region
        TimePoint originAskedAt;
        TimePoint originRetryAt;
        std::size_t otherHolders = 0; // members that announced it
        bool isKnown = false; // it has been held by any VM
        bool isBeforeTurns = false; // known when m_turnsStart was set
        bool isPending = false; // a fetch is under way
        bool isFromOrigin = false; // the current or last fetch
    };

    void computeRanksAndNeighbours();
    void recordKnown(std::uint32_t chunk, bool isNews);
    void recordOriginProgress(TimePoint now);
    bool endFetch(std::uint32_t chunk);
    std::vector<TimePoint> originDueTimes() const;
    FetchFromOrigin fetchFromOrigin(std::uint32_t chunk, TimePoint now) const;
    void planAnnouncements(TimePoint now, std::vector<PullAction>& actions);
    void planOrigin(TimePoint now, std::vector<PullAction>& actions);
    void planPulls(TimePoint now, std::vector<PullAction>& actions);
    bool pullOne(TimePoint now, std::vector<PullAction>& actions);
    void pull(const MemberProgress& source, std::uint32_t chunk, TimePoint now, std::vector<PullAction>& actions);
    const MemberProgress* pickRandomMember(TimePoint now, const std::function<bool(const MemberProgress&)>& isSuitable);
    std::vector<std::string> contacts();
    bool isLargeFleet() const;
    bool isWanted(std::uint32_t chunk) const;
    std::vector<std::size_t> holderCountsInRegion() const;
    TimePoint crossRegionDueAt(std::uint32_t chunk) const;
    bool isHeldAnywhere(std::uint32_t chunk) const { return m_held.contains(chunk) || m_chunks[chunk].otherHolders > 0; }
    std::vector<std::string> fetchersInOtherRegions(std::uint32_t chunk) const;
    Milliseconds chunkTime() const;
    Milliseconds originChunkTime() const;

    PullSettings m_settings;
    std::string m_key;
    std::uint64_t m_chunkBytes;
    RandomSource m_random;
    TimePoint m_startedAt;
    TimePoint m_originFailedAt;
    TimePoint m_originProgressAt; // when a chunk was last found that no VM had held before
    TimePoint m_turnsStart; // of the chunks' turns at the origin's link
    unsigned m_originFailures = 0; // of this VM since its last chunk from the origin
    bool m_hasOriginProgress = false; // since the last advance()
    bool m_areTurnsSuspended = false; // the origin failed and no chunk has been found since
    ChunkSet m_held;
    ChunkSet m_announced;
    std::vector<ChunkState> m_chunks;
    std::map<std::string, MemberProgress> m_members;
    std::vector<std::string> m_neighbours; // in the own region
    std::size_t m_pendingFetches = 0; // fetches under way, from members and the origin
    std::set<std::string> m_remoteMembersToNotify; // in other regions, waiting for chunks held here
    TimePoint m_announceAt;
    TimePoint m_announceAllAt;
    bool m_hasAnnouncedToAll = false;
};

}
