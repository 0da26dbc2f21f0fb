#pragma once

#include "../runtime/PeerSocket.h"

#include <set>

namespace hyssopwick {

/// Runs failure detection among the entry VMs: performs the actions of ProbeDecision and
/// sends the updates of MemberTable.
class MemberGossip {
public:
    MemberGossip(GatewayContext& context, PeerSocket& peerSocket);

    void start();

    /// Announces whether this VM accepts callers.
    void setServing(bool isServing);

    /// Announces that this VM stops.
    void announceDeparture();

    /// Adds an entry VM that is registered in the store.
    void addRegisteredNode(const RegisteredNode& node);

    /// Sets the source of what this VM states of itself: its calls in progress and the address
    /// queries a second that it gets, by the caller's failure domain.
    using StatusSource = std::function<std::pair<unsigned, std::map<std::string, double>>()>;
    void setStatusSource(StatusSource source) { m_statusSource = std::move(source); }

    /// Returns what the entry VMs state of themselves.
    const EntryStatusTable& statuses() const { return m_statuses; }

    void receive(const PingMessage& message, const std::string& sender);
    void receive(const PingAnswer& message);
    void receive(const PingRequest& message, const std::string& sender);

    /// Called when the members or their states changed.
    void onChange(std::function<void()> handler) { m_onChange = std::move(handler); }

    /// Returns the entry VMs that are alive, including leaving ones but not this one.
    std::vector<VmIdentity> livePeers() const;

    /// Returns the ids of all entry VMs that may serve, including those that were not heard for
    /// some time.
    std::vector<std::string> knownEntries() const;

    /// Returns the entry VMs that accept callers, including this one if it does.
    std::vector<VmIdentity> servingEntries() const;

    const VmIdentity& self() const { return m_table.self().vm; }

private:
    struct PendingPing {
        std::string vm;
        std::string requester; // address of the member on whose behalf this is; "" for none
        std::uint64_t requesterSequence = 0;
        TimePoint deadline;
        bool isIndirect = false;
    };

    void tick();
    void perform(const std::vector<ProbeAction>& actions);
    void ping(const std::string& vm, TimePoint deadline, const std::string& requester, std::uint64_t requesterSequence);
    void expirePings();
    void pingSeeds();
    void mergeAll(const MemberUpdate& sender, const std::vector<MemberUpdate>& updates);
    void mergeStatuses(const std::vector<EntryStatus>& statuses);
    std::vector<EntryStatus> takeStatuses(std::size_t updateCount);
    void notifyIfChanged();

    GatewayContext& m_context;
    PeerSocket& m_peerSocket;
    MemberTable m_table;
    EntryStatusTable m_statuses;
    StatusSource m_statusSource;
    ProbeDecision m_probes;
    LoopTimer m_timer;
    std::function<void()> m_onChange;
    std::map<std::uint64_t, PendingPing> m_pending;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_notifiedDigest = 0;
    bool m_hasPeers = false;
};

}
