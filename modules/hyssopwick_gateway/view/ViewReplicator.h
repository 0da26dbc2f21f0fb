#pragma once

#include "../http/HttpExchange.h"
#include "RecordNotifier.h"
#include "ViewServer.h"

namespace hyssopwick {

/// Replicates the store's records into this process's view: follows the store or a peer as
/// ViewSourceDecision says. RecordNotifier decodes what changed, ViewServer serves the view to peers.
class ViewReplicator {
public:
    using Observer = ViewObserver;

    ViewReplicator(GatewayContext& context, VmIdentity self, bool isEntry);

    void start(Observer observer);

    /// Replaces the entry VMs that may be followed.
    void setEntries(const std::vector<VmIdentity>& entries) { m_decision.setEntries(entries); }

    /// Answers a request if it is for the view. Returns whether it is.
    bool serve(const ServerExchangePointer& exchange) { return m_server.serve(exchange); }

    /// Returns how long ago the view was known to be current.
    Milliseconds age() const { return m_decision.age(monotonicNow()); }

    /// Returns how long ago it certainly was, even if answers were read late.
    Milliseconds confirmedAge() const { return m_decision.confirmedAge(monotonicNow()); }

    std::uint64_t revision() const { return m_view.revision(); }

    const StorePosition& position() const { return m_view.position(); }

private:
    /// The progress of a request for the view.
    struct Transfer {
        TimePoint requestedAt;
        TimePoint connectBy; ///< when the request fails without a connection
        TimePoint answerBy; ///< when it fails without an answer
        TimePoint sentAfter {}; ///< a time before the source sent the first answer, however late that was read
        TimePoint arrivedAt {}; ///< of the first answer's head
        TimePoint beganAt {}; ///< when the contents of the first answer were current: arrival of its head, or earlier
        std::uint64_t bytes = 0; ///< of the answer's body
        VersionAges versionAges {}; ///< as the peer measured them
        VersionAges estimatedAges {}; ///< as the peer estimated them
    };

    /// A read of all records of the store.
    struct StoreRead {
        SnapshotRead snapshot;
        Transfer pages; ///< from the first page on
        Transfer latest; ///< up to which the records are complete: all pages, or the changes since
    };
    using StoreReadPointer = std::shared_ptr<StoreRead>;

    void follow();
    void logSource();
    void scheduleFollow(Milliseconds delay);
    void followNext(Milliseconds delay);
    void continueRead(const StoreReadPointer& read);
    void readPage(const StoreReadPointer& read, const std::string& after);
    void readMissedChanges(const StoreReadPointer& read, std::uint64_t revision);
    void finishRead(StoreRead& read);
    void watchStore();
    void followPeer(const PeerSource& peer);
    void scheduleAlternative(const PeerSource& slow, Milliseconds delay);
    void askAlternative(const PeerSource& slow);
    void handleAlternativeAnswer(const PeerSource& slow, const PeerSource& peer, Transfer transfer, const WholeResponse& response);
    void endPeerTransfer();
    /// Returns the era of an answer of the store. Handles one that failed or is of an earlier era than the view, and
    /// returns nothing.
    std::optional<std::uint64_t> acceptStoreAnswer(const char* call, const WholeResponse& response, const Transfer& transfer);
    void handleFailure(const ViewSource& source, const std::string& problem, const Transfer& transfer, FailureCause cause = FailureCause::Source);
    void handleIncomplete(const ViewSource& source, const char* call, const WholeResponse& response, const Transfer& transfer);
    void handleLag(const ViewSource& source);
    Milliseconds nextRetryDelay();
    Milliseconds nextLagDelay();
    Milliseconds servedAge() const;
    void handleAnswer(const ViewSource& source, Milliseconds age, TimePoint at, bool isChanged, Milliseconds delay = Milliseconds(0));
    Transfer recordTransfer(const ViewSource& source, Transfer transfer, const WholeResponse& response);
    bool applyFromPeer(const ReceivedView& view, const std::string& peer, Transfer transfer);
    void compareContent(const ReceivedView& view, const std::string& peer);
    void handleDoubt();
    /// Returns whether a record changed.
    bool apply(const ViewUpdate& update, const std::string& from, const Transfer& transfer);
    Publication publicationFrom(const Transfer& transfer) const;

    GatewayContext& m_context;
    ViewSourceDecision m_decision;
    StoreView m_view;
    ContentCheck m_contentCheck;
    RecordNotifier m_notifier;
    ViewServer m_server;
    LoopTimer m_followTimer;
    LoopTimer m_alternativeTimer;
    HttpExchangePointer m_peerExchange; // the request to the source that is followed, if it is a peer
    HttpExchangePointer m_alternativeExchange; // the request to another peer beside it
    ViewSource m_followedSource;
    ViewSource m_loggedSource; // as in the last log line
    TimePoint m_sourceLoggedAt;
    unsigned m_sourceChanges = 0; // that are not logged yet
    std::optional<TimePoint> m_collectingSince; // arrival of the changes after which further ones are collected
    unsigned m_consecutiveFailures = 0;
    bool m_isFullReadNeeded = true;
    bool m_isSourceLost = false;
};

}
