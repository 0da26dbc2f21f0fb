#pragma once

#include "ChunkSet.h"

#include <hyssopwick_records.h>
#include <map>
#include <optional>
#include <set>
#include <variant>

namespace hyssopwick {

/// A VM that takes part in distributing the same manifest.
struct SwarmMember {
    std::string id;
    std::string region;
    std::string failureDomain;
    std::uint64_t incarnation = 0; ///< changes when the VM's process restarts

    auto tied() const { return std::tie(id, region, failureDomain, incarnation); }
    bool operator==(const SwarmMember& other) const { return tied() == other.tied(); }
    bool operator!=(const SwarmMember& other) const { return !(*this == other); }
};

/// Fixed inputs of a PushDecision.
struct PushSettings {
    SwarmMember self;
    std::string originRegion;
    RolloutObjective objective = RolloutObjective::Time;
    double uplinkBytesPerSecond = 1;
    double downlinkBytesPerSecond = 1;
    double regionLinkBytesPerSecond = 1;
    std::size_t neighbourLimit = 24;
};

/// Asks the origin for a chunk.
struct FetchFromOrigin {
    std::uint32_t chunk;
    TimePoint deadline;
    TimePoint beginBy = TimePoint::max(); ///< the answer has to begin before this time
    Milliseconds stallTimeout { 0 }; ///< maximum time between its pieces; 0 for any
};

/// Offers chunks to a member, which accepts at most one.
struct SendOffer {
    std::string member;
    ChunkSet offered;
    bool isAcrossRegions;
    TimePoint deadline;
};

/// Sends an accepted chunk, not before the link has room for it.
struct SendChunk {
    std::string member;
    std::uint32_t chunk;
    bool isAcrossRegions;
    TimePoint notBefore;
    TimePoint deadline;
};

using PushAction = std::variant<FetchFromOrigin, SendOffer, SendChunk>;

/// A member's answer to an offer.
struct OfferAnswer {
    std::optional<std::uint32_t> accepted;
    ChunkSet held;
    ChunkSet reserved; ///< being sent to the member
    Milliseconds busyFor { 0 }; ///< downlink full or sender avoided for so long
};

/// Decides, for one VM and one manifest, which chunk to fetch from the origin and which
/// to send to whom.
///
/// A VM that has room on its uplink offers what it holds to a member that lacks
/// some of it; the member accepts the chunk that is rarest among its neighbours
/// and reserves it, so that no chunk is sent to it twice. One VM by rendezvous
/// order asks the origin for a chunk; the next takes over at a fixed deadline. One
/// VM of a region sends to each other region over the slow link, and the chunks that
/// enter a region are striped over all region pairs. docs/design/distribution.md
/// compares the schedulers considered. Pure: no clock, socket, thread or log.
class PushDecision {
public:
    /// \param chunkSizes  sizes in bytes, one for each chunk
    /// \param key         identifies the manifest, the same on all members
    PushDecision(PushSettings settings, std::string key, std::vector<std::uint64_t> chunkSizes, std::uint64_t seed, TimePoint now);

    /// Replaces the live members, without this VM.
    void setMembers(const std::vector<SwarmMember>& members);

    /// Returns what to do now. Call after each event and at nextWake().
    std::vector<PushAction> advance(TimePoint now);

    /// Returns when advance() may have something to do without another event.
    TimePoint nextWake(TimePoint now) const;

    /// Answers another VM's offer.
    /// \param from    the offering member
    /// \param offered what it offers; empty for an announcement of what it holds
    /// \param held    everything it holds
    OfferAnswer answerOffer(const std::string& from, const ChunkSet& offered, const ChunkSet& held, bool isAcrossRegions, TimePoint now);

    /// Records the answer to an offer of this VM and returns what to do next.
    std::vector<PushAction> recordOfferAnswer(const std::string& member, bool isAcrossRegions, const OfferAnswer& answer, TimePoint now);

    /// Records that an offer was not answered.
    void recordOfferFailure(const std::string& member, bool isAcrossRegions, TimePoint now);

    /// Records the end of a SendChunk.
    void recordChunkSent(const std::string& member, std::uint32_t chunk, bool isSuccess, TimePoint now);

    /// Records that a verified chunk is stored.
    void recordChunkStored(std::uint32_t chunk, TimePoint now);

    /// Records a chunk with a wrong digest. \param from  "" for the origin
    void recordCorruptChunk(std::uint32_t chunk, const std::string& from, TimePoint now);

    /// Records that a fetch from the origin failed.
    /// \param retryAfter  delay that the origin asked for; zero for none
    void recordOriginFailure(std::uint32_t chunk, Milliseconds retryAfter, TimePoint now);

    const ChunkSet& held() const { return m_held; }

    bool isComplete() const { return m_held.isFull(); }

    /// Returns whether offers of \p member are refused because it sent corrupt chunks.
    bool isAvoided(const std::string& member, TimePoint now) const;

private:
    struct MemberProgress {
        SwarmMember member;
        ChunkSet held;
        ChunkSet reserved;
        TimePoint reservedUntil;
        TimePoint noOffersUntil;
        TimePoint avoidedUntil;
        TimePoint unreachableUntil; // after chunks sent to it did not arrive
        unsigned corruptChunks = 0;
        unsigned goodChunks = 0;
        unsigned failures = 0;
        unsigned sendFailures = 0;
        bool isKnown = false;
    };

    struct Reservation {
        std::string from;
        TimePoint deadline;
    };

    // A link to another region that the rendezvous order of this VM's region assigns to
    // this VM.
    struct RegionLink {
        TimePoint linkFreeAt;
        TimePoint pendingUntil;
        std::map<std::uint32_t, TimePoint> sending;
    };

    struct OriginState {
        TimePoint dueAt;
        TimePoint pendingUntil;
        unsigned failures = 0;
        bool isPending = false;
    };

    Milliseconds transferTime(double bytes, double bytesPerSecond) const;
    void rebuildNeighbours();
    void rebuildOriginOrder();
    void rebuildRegionLinks();
    void expireReservations(TimePoint now);
    void advanceOrigin(TimePoint now, std::vector<PushAction>& actions);
    void advanceUplink(TimePoint now, std::vector<PushAction>& actions);
    void advanceRegions(TimePoint now, std::vector<PushAction>& actions);
    void advanceRegion(const std::string& region, RegionLink& link, TimePoint now, std::vector<PushAction>& actions);
    void advanceAnnouncement(TimePoint now, std::vector<PushAction>& actions);
    const MemberProgress* chooseReceiver(TimePoint now);
    std::uint32_t usefulChunkCount(const MemberProgress& state, TimePoint now) const;
    std::optional<std::uint32_t> chooseChunk(const ChunkSet& candidates, TimePoint now);
    ChunkSet neededForRegions(TimePoint now) const;
    bool isInStripe(std::uint32_t chunk, const std::string& region, TimePoint now) const;
    ChunkSet heldIn(const std::string& region) const;
    std::string receiverIn(const std::string& region, std::uint32_t chunk, TimePoint now) const;
    bool isKnownInRegion(std::uint32_t chunk) const;
    void recordMemberChunks(MemberProgress& state, const ChunkSet& held, const ChunkSet& reserved, TimePoint now);

    PushSettings m_settings;
    std::string m_key;
    std::vector<std::uint64_t> m_sizes;
    std::uint64_t m_totalBytes = 0;
    RandomSource m_random;
    TimePoint m_startedAt;
    ChunkSet m_held;
    std::map<std::uint32_t, Reservation> m_reservations;
    std::map<std::string, MemberProgress> m_members;
    std::vector<std::string> m_neighbours; // in the own region
    std::vector<std::string> m_regionMembers; // without this VM
    std::vector<std::string> m_remoteRegions; // all but the origin's, sorted
    std::map<std::string, RegionLink> m_regionLinks;
    std::vector<OriginState> m_origin;
    std::size_t m_originPending = 0;
    TimePoint m_originBlockedUntil;
    TimePoint m_uplinkFreeAt;
    TimePoint m_downlinkFreeAt;
    TimePoint m_offerPendingUntil;
    bool m_isOfferPending = false;
    TimePoint m_announceAt;
    TimePoint m_nextSampleAt;
};

}
