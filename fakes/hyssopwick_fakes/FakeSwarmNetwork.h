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
    void setOriginUp(bool isUp) { m_isOriginUp = isUp; }

    /// Simulates \p duration.
    void run(Milliseconds duration);

    /// Returns the times at which VMs had all chunks, in milliseconds after their addition, sorted.
    std::vector<std::int64_t> completionTimes() const;

    double originBytes() const { return m_originBytes; }
    double regionBytes() const { return m_regionBytes; }
    unsigned busyAnswers() const { return m_busyAnswers; }

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
    void completeTransfer(const Transfer& transfer);
    unsigned uploadsOf(const std::string& id) const;
    void updateMembers();

    SwarmNetworkSettings m_settings;
    std::uint64_t m_seed;
    TimePoint m_now;
    std::map<std::string, Vm> m_vms;
    std::list<Transfer> m_transfers;
    std::list<Announcement> m_announcements;
    bool m_isOriginUp = true;
    double m_originBytes = 0;
    double m_regionBytes = 0;
    unsigned m_busyAnswers = 0;
};

}
