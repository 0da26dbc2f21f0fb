#pragma once

#include <hyssopwick_distribution.h>
#include <list>

namespace hyssopwick {

/// Link rates and weights of a FakeSwarmNetwork.
struct SwarmNetworkSettings {
    double vmBytesPerSecond = 1175000; ///< of each VM's link, in each direction
    double originBytesPerSecond = 1875000;
    double regionBytesPerSecond = 3250000; ///< between two regions, in each direction
    Milliseconds delay { 2 }; ///< latency of a chunk request and of a message
    std::uint32_t chunks = 48;
    std::uint64_t chunkBytes = 49152;
    unsigned maxUploads = 4; ///< concurrent uploads of a VM, as in WeightsSwarm
};

/// What requests to the origin meet.
enum class OriginState {
    Serving,
    Paused, ///< transfers wait and continue later
    Refusing, ///< running answers break off and connections are refused
    Silent, ///< running answers stop and requests are never answered, also after a return
};

/// VMs that distribute one version with PullDecision, in virtual time. Concurrent
/// transfers share a link evenly.
class FakeSwarmNetwork {
public:
    FakeSwarmNetwork(SwarmNetworkSettings settings, std::uint64_t seed);

    /// Adds a VM. \param hasAllChunks  it holds all chunks from the start
    void add(const SwarmMember& member, bool hasAllChunks);

    /// Stops a VM: its downloads are removed, its uploads stall and fail at their deadlines.
    void kill(const std::string& member);

    /// Sets whether the origin sends.
    void setOriginUp(bool isUp) { setOriginState(isUp ? OriginState::Serving : OriginState::Paused); }

    void setOriginState(OriginState state);

    /// Restarts all VMs at once.
    /// \param areChunksKept  whether the chunks that they hold survive
    void restartAll(bool areChunksKept);

    /// Simulates \p duration.
    void run(Milliseconds duration);

    /// Returns the times at which VMs had all chunks, in milliseconds after their addition, sorted.
    std::vector<std::int64_t> completionTimes() const;

    double originBytes() const { return m_originBytes; }
    double regionBytes() const { return m_regionBytes; }
    unsigned busyAnswers() const { return m_busyAnswers; }

    /// Returns the milliseconds from the last return of the origin to the first byte, or -1.
    std::int64_t originResumedAfter() const { return m_originResumedAfter; }

    /// Returns the milliseconds from the last return of the origin to the first whole chunk, or -1.
    std::int64_t firstChunkAfter() const { return m_firstChunkAfter; }

    /// Returns the milliseconds from the last return of the origin to the first and the last
    /// whole copy among VMs that are not complete yet, or -1.
    std::int64_t firstCopyAfter() const { return m_firstCopyAfter; }
    std::int64_t lastCopyAfter() const { return m_lastCopyAfter; }

    /// Returns the number of chunks that the origin sent whole while a VM held them or had
    /// held them since the last restart without chunks.
    unsigned chunksSentTwice() const { return m_chunksSentTwice; }

    /// Returns the largest number of concurrent transfers from the origin.
    std::size_t maxOriginTransfers() const { return m_maxOriginTransfers; }

private:
    struct Vm {
        SwarmMember member;
        std::unique_ptr<PullDecision> decision;
        TimePoint addedAt;
        TimePoint wakeAt;
        std::int64_t completedAfter = -1;
        bool isAlive = true;
    };

    struct Transfer {
        std::string from; // "" for the origin
        std::string to;
        std::uint32_t chunk;
        double bytesLeft;
        TimePoint startsAt;
        TimePoint deadline;
        TimePoint beginBy;
        Milliseconds stallTimeout { 0 };
        TimePoint progressAt {};
        bool isLost = false; // it will not send any more
    };

    struct Announcement {
        std::string from;
        std::string to;
        ChunkSet held;
        bool wantsAnswer;
        TimePoint arrivesAt;
    };

    void advance(Vm& vm);
    void step(Milliseconds duration);
    void deliverAnnouncements();
    bool hasFailed(const Transfer& transfer) const;
    void recordCompletion(Vm& vm);
    void completeTransfer(const Transfer& transfer);
    unsigned uploadsOf(const std::string& id) const;
    void updateMembers();

    SwarmNetworkSettings m_settings;
    std::uint64_t m_seed;
    TimePoint m_now;
    std::map<std::string, Vm> m_vms;
    std::list<Transfer> m_transfers;
    std::list<Announcement> m_announcements;
    OriginState m_originState = OriginState::Serving;
    TimePoint m_originServesSince;
    std::int64_t m_originResumedAfter = -1;
    std::int64_t m_firstChunkAfter = -1;
    std::int64_t m_firstCopyAfter = -1;
    std::int64_t m_lastCopyAfter = -1;
    unsigned m_chunksSentTwice = 0;
    std::set<std::uint32_t> m_chunksSent;
    std::size_t m_maxOriginTransfers = 0;
    double m_originBytes = 0;
    double m_regionBytes = 0;
    unsigned m_busyAnswers = 0;
};

}
