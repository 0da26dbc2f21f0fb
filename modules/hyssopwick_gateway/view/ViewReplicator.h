#pragma once

#include "../http/HttpExchange.h"
#include "../http/ServerExchange.h"
#include "../runtime/GatewayContext.h"
#include "ViewMessage.h"

#include <list>

namespace hyssopwick {

/// Keeps this process's view of the store current: follows the store or a peer as
/// ViewSourceDecision says, decodes what changed, and serves the view to peers.
class ViewReplicator {
public:
    /// Called with what a changed record says.
    struct Observer {
        std::function<void(const DeploymentConfiguration&)> onConfiguration;
        std::function<void(const Upstream&)> onUpstream;
        std::function<void(const std::string& id, bool isReadable)> onUpstreamGone;
        /// \p namedAfter is the earliest moment at which the version may have been named.
        std::function<void(const WeightsVersion&, TimePoint namedAfter)> onVersion;
        std::function<void(const RegisteredNode&)> onNode;
        std::function<void(const std::string& id)> onNodeGone;
        std::function<void()> onBatchEnd; ///< after all changes of one update
    };

    ViewReplicator(GatewayContext& context, VmIdentity self, bool isEntry);

    void start(Observer observer);

    /// Replaces the entry VMs that may be followed.
    void setEntries(const std::vector<VmIdentity>& entries) { m_decision.setEntries(entries); }

    /// Returns whether a request is one for the view; if so it will be answered.
    bool serve(const ServerExchangePointer& exchange);

    /// Returns how old this process's knowledge of the store is.
    Milliseconds age() const { return m_decision.age(monotonicNow()); }

    std::uint64_t revision() const { return m_view.revision(); }

private:
    struct WaitingPeer {
        ServerExchangePointer exchange;
        std::uint64_t known;
        TimePoint deadline;
    };

    /// How far a request for the view has come.
    struct Transfer {
        TimePoint requestedAt;
        TimePoint beganAt {}; ///< arrival of the first answer's head; what it says held then
        std::uint64_t bytes = 0; ///< of the answer's body
        VersionAges versionAges {}; ///< as a peer knows them
    };

    void follow();
    void followLater(Milliseconds pause);
    void readStore(const std::string& after, std::shared_ptr<ViewUpdate> collected, Transfer before);
    void watchStore();
    void followPeer(const PeerSource& peer);
    void failed(const ViewSource& source, const std::string& problem, const Transfer& transfer);
    void lagging(const ViewSource& source);
    Milliseconds nextRetryPause();
    void answered(const ViewSource& source, Milliseconds age, TimePoint at, bool isChanged, Milliseconds pause = Milliseconds(0));
    Transfer received(const ViewSource& source, Transfer transfer, const WholeResponse& response);
    /// Returns whether a record changed.
    bool take(const ViewUpdate& update, const std::string& from, const Transfer& transfer);
    void observe(const StoreRecord& record, const Transfer& transfer);
    TimePoint recordNaming(std::uint64_t revision, const Transfer& transfer);
    VersionAges versionAges() const;
    void answerPeer(const WaitingPeer& peer);
    void answerWaitingPeers();
    void expireWaitingPeers();

    GatewayContext& m_context;
    ViewSourceDecision m_decision;
    StoreView m_view;
    std::map<std::uint64_t, TimePoint> m_versionsNamedAfter; // by revision
    EncodedViewCache m_encoded; // of the view's current revision
    Observer m_observer;
    LoopTimer m_followTimer;
    LoopTimer m_peerTimer;
    std::list<WaitingPeer> m_waiting;
    unsigned m_failuresInRow = 0;
    bool m_isRereadNeeded = true;
    bool m_isSourceLost = false;
};

}
