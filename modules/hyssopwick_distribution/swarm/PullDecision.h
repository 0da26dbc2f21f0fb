#pragma once

#include "PushDecision.h"

#include <functional>

namespace hyssopwick {

/// Fixed inputs of a PullDecision.
struct PullSettings {
    SwarmMember self;
    double linkBytesPerSecond = 1; ///< of a VM's link, each way
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

/// Tells members which chunks this VM holds.
struct AnnounceHeldChunks {
    std::vector<std::string> members;
    bool wantsAnswer; ///< members should tell in turn what they hold
};

using PullAction = std::variant<FetchFromOrigin, PullChunk, AnnounceHeldChunks>;

/// Decides, for one VM and one manifest, which chunk to fetch from where.
///
/// Where the VMs' links are much thinner than those between regions, the time to spread
/// a version is bounded by the VMs' downlinks, so every VM has to fetch all the time from
/// the start. The origin is asked for the chunks one after another, each by another VM,
/// at the pace of its link; each chunk enters each further region once, fetched by the
/// VM that comes first in the chunk's rendezvous order there; within a region VMs fetch
/// the rarest chunks first from any that holds them (Cohen, BitTorrent, 2003). Takes over
/// what others do not do in time. Pure: no clock, socket, thread or log.
class PullDecision {
public:
    PullDecision(PullSettings settings, std::string key, std::uint32_t chunkCount, std::uint64_t chunkBytes, std::uint64_t seed, TimePoint now);

    /// Replaces the other members.
    void setMembers(const std::vector<SwarmMember>& members);

    /// Returns what to do now. Call after each event and at nextWake().
    std::vector<PullAction> advance(TimePoint now);

    /// Returns when advance() may have something to do without another event.
    TimePoint nextWake(TimePoint now) const;

    /// Records what a member says it holds.
    void recordHeld(const std::string& member, const ChunkSet& held);

    /// Records that a verified chunk is kept.
    void recordChunkStored(std::uint32_t chunk, TimePoint now);

    /// Records that a member did not deliver a chunk.
    /// \param isBusy  it serves others and may be asked again soon
    void recordPullFailure(const std::string& member, std::uint32_t chunk, bool isBusy, TimePoint now);

    /// Records a chunk with a wrong digest. \param from  "" for the origin
    void recordCorruptChunk(std::uint32_t chunk, const std::string& from, TimePoint now);

    /// Records that the origin did not give a chunk.
    void recordOriginFailure(std::uint32_t chunk, TimePoint now);

    const ChunkSet& held() const { return m_held; }
    bool isComplete() const { return m_held.isFull(); }

private:
    struct MemberState {
        SwarmMember member;
        ChunkSet held;
        bool hasAnnounced = false;
        TimePoint askAgainAt; // busy or failed before
        unsigned failures = 0;
    };

    struct ChunkState {
        std::size_t originRank = 0; // of this VM among all members
        std::size_t regionRank = 0; // of this VM among those of its region
        TimePoint originRetryAt;
        bool isPending = false; // a fetch is under way
        bool isFromOrigin = false; // the fetch, or the last one
    };

    void rank();
    void planAnnouncements(TimePoint now, std::vector<PullAction>& actions);
    void planOrigin(TimePoint now, std::vector<PullAction>& actions);
    void planPulls(TimePoint now, std::vector<PullAction>& actions);
    bool pullOne(TimePoint now, std::vector<PullAction>& actions);
    void pull(const MemberState& source, std::uint32_t chunk, TimePoint now, std::vector<PullAction>& actions);
    const MemberState* drawMember(TimePoint now, const std::function<bool(const MemberState&)>& isSuitable);
    bool isWanted(std::uint32_t chunk) const;
    std::vector<std::size_t> holdersInRegion() const;
    TimePoint originDueAt(std::uint32_t chunk) const;
    TimePoint crossingDueAt(std::uint32_t chunk) const;
    bool isHeldInRegion(std::uint32_t chunk) const;
    bool isHeldAnywhere(std::uint32_t chunk) const;
    std::vector<std::string> pullersElsewhere(std::uint32_t chunk) const;
    Milliseconds chunkTime() const;
    Milliseconds originChunkTime() const;
    Milliseconds originTime() const { return originChunkTime() * m_held.capacity(); }

    PullSettings m_settings;
    std::string m_key;
    std::uint64_t m_chunkBytes;
    RandomSource m_random;
    TimePoint m_startedAt;
    TimePoint m_originFailedAt;
    ChunkSet m_held;
    ChunkSet m_announced;
    std::vector<ChunkState> m_chunks;
    std::map<std::string, MemberState> m_members;
    std::vector<std::string> m_neighbours; // of the own region
    std::size_t m_pending = 0; // fetches under way, from members and the origin
    std::set<std::string> m_crossingNews; // members elsewhere that wait for a chunk held here
    TimePoint m_announceAt;
    TimePoint m_announceAllAt;
    bool m_hasGreeted = false;
};

}
