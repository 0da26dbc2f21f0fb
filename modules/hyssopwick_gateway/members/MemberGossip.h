#pragma once

#include "../runtime/PeerSocket.h"

#include <set>

namespace hyssopwick {

/// Runs failure detection among the entry VMs: carries out what ProbeDecision decides
/// and spreads what MemberTable learns.
class MemberGossip {
public:
    MemberGossip(GatewayContext& context, PeerSocket& hub);

    void start();

    /// Announces whether this VM takes callers.
    void setServing(bool isServing);

    /// Tells the others that this VM stops.
    void depart();

    /// Takes over an entry VM that is registered in the store.
    void learn(const RegisteredNode& node);

    void receive(const PingMessage& message, const std::string& sender);
    void receive(const PingAnswer& message);
    void receive(const PingRequest& message, const std::string& sender);

    /// Called when the members or their states changed.
    void onChange(std::function<void()> handler) { m_onChange = std::move(handler); }

    /// Returns the entry VMs that live, leaving ones too, without this one.
    std::vector<VmIdentity> livePeers() const;

    /// Returns the entry VMs that take callers, this one too if it does.
    std::vector<VmIdentity> servingEntries() const;

    const VmIdentity& self() const { return m_table.self().vm; }

private:
    struct PendingPing {
        std::string vm;
        std::string requester; // address to answer to, for a ping on behalf of another
        std::uint64_t requesterSequence = 0;
        TimePoint deadline;
        bool isIndirect = false;
    };

    void tick();
    void carryOut(const std::vector<ProbeAction>& actions);
    void ping(const std::string& vm, TimePoint deadline, const std::string& requester, std::uint64_t requesterSequence);
    void expirePings();
    void pingSeeds();
    void mergeAll(const MemberUpdate& sender, const std::vector<MemberUpdate>& updates);
    void notifyIfChanged();

    GatewayContext& m_context;
    PeerSocket& m_hub;
    MemberTable m_table;
    ProbeDecision m_probes;
    LoopTimer m_timer;
    std::function<void()> m_onChange;
    std::map<std::uint64_t, PendingPing> m_pending;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_knownView = 0;
    bool m_hasPeers = false;
};

}
