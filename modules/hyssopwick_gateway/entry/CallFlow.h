#pragma once

#include "../http/HttpExchange.h"
#include "../http/ServerExchange.h"
#include "BeginLimit.h"
#include "CallAdmission.h"
#include "EntryServices.h"
#include "RetryObstacle.h"
#include "StreamAnswer.h"

namespace hyssopwick {

/// Carries one call through an entry VM: route, account, upstream, retries, answer.
/// Whether an attempt may be repeated depends on the route's kind and on what is known of
/// the attempts so far.
class CallFlow : public std::enable_shared_from_this<CallFlow> {
public:
    /// Called once when the call has ended.
    using EndHandler = std::function<void(CallFlow*)>;
    /// Called when the call was added to its service's queue.
    using QueuedHandler = std::function<void(const std::string& service)>;

    CallFlow(EntryServices& services, ServerExchangePointer exchange, QueuedHandler onQueued, EndHandler onEnd);

    void start();

    /// Sends the call to another upstream if it is at the one at \p address, which seems to be down; a
    /// resumable answer continues. As long as it seems so, a call that may not be sent again stays where it
    /// is, and so does one of which the caller has received events, while more of them arrive.
    void handleUpstreamDown(const std::string& address);

    /// Limits how long the call may wait at an engine with older weights. Call when that time may have changed.
    void armBeginTimer();

    /// Applies changed regions or upstreams, or the end of a stop, to a call that no upstream has received: it
    /// waits for those that it may use now, or is refused at once if there is none or if it may outlast the stop.
    void reconsider();

    /// Ends the call now because the process stops.
    void abort();

    /// Returns the id of the call in its service's queue.
    std::uint64_t id() const { return m_id; }

    /// Sends the call to an engine that the queue has chosen for it.
    void sendTo(const QueueDecisions::Send& decision);

    /// Refuses the call because the queue predicts that no engine can serve it in time.
    void refuseUnservable(Milliseconds retryAfter);

private:
    enum class Phase {
        Waiting, ///< for an upstream
        Sent,
        Answering, ///< a part of the answer was forwarded to the caller
        Ended,
    };

    bool admit();
    void place();
    void enqueue();
    void leaveQueue();
    void send(const std::string& upstreamId, unsigned connectRound);
    bool completeFields(HttpCall& call);
    void handleHead(const ResponseHead& head);
    void handleBody(std::string_view bytes);
    void handleEnd(ExchangeEnd end);
    const char* obstacleToWrite() const;
    void handleWithheld();
    void forwardEvents(std::string_view bytes);
    void handleAttemptFailure(AttemptFailure failure, const char* reason);
    void cutAnswer(const char* reason);
    void abandonAttempt(const char* reason);
    void cancelAttempt(const char* reason);
    void forwardWholeAnswer();
    void refuse(RefusalReason reason, unsigned status, Milliseconds retryAfter);
    void refuseByConfiguration(const RejectedCall& rejected);
    bool refuseIfOutlastsStop(const AdmittedCall& admitted);
    bool refuseIfCrashSuspected();
    bool refuseWithoutUpstream();
    void recordLost(const std::string& address);
    void abortStream(const char* outcome);
    void giveUp(const char* cancelReason, const char* streamOutcome, RefusalReason refusalReason, unsigned statusIfSent);
    void handleDeadline();
    void handleCallerLeft();
    void end(const char* outcome, unsigned status);
    void releaseUpstream();
    bool mayContinueElsewhere() const;
    void watchSilentUpstream();
    void handleSilence();
    void leaveSilentUpstream();
    void handleBeginLimit();
    bool isWaitingAtEngine() const;
    void withdraw();
    bool mayRunAgain() const { return hyssopwick::mayRunAgain(*m_route); }
    /// Returns whether an upstream may have received a part of the call.
    bool hasBeenSent() const { return m_sentAttempts > 0 || (m_attempt && m_attempt->isSent()); }
    AttemptFailure lostAttempt() const { return m_eventsForwarded > 0 ? AttemptFailure::StreamBroken : AttemptFailure::Lost; }
    bool isEngineCall() const { return m_service && m_service->engine.has_value(); }
    /// Returns when the first event of the attempt arrived.
    TimePoint begunAt() const { return m_sentAt + Milliseconds(m_firstEventDelay); }
    Milliseconds elapsed() const { return Milliseconds(millisecondsBetween(m_exchange->request().receivedAt, monotonicNow())); }

    EntryServices& m_services;
    ServerExchangePointer m_exchange;
    QueuedHandler m_onQueued;
    EndHandler m_onEnd;
    LoopTimer m_deadlineTimer;
    LoopTimer m_retryTimer;
    LoopTimer m_silenceTimer;
    BeginLimit m_beginLimit;
    std::uint64_t m_id;
    Phase m_phase = Phase::Waiting;
    CallDescription m_call;
    RouteTablePointer m_routes; // keeps m_route alive
    const CallRoute* m_route = nullptr;
    const ServiceDescription* m_service = nullptr;
    std::string m_account;
    unsigned m_priority = 0;
    TimePoint m_deadline;
    CallRegions m_regions;
    CallSize m_size;
    CrashTraits m_crashTraits;

    HttpExchangePointer m_attempt;
    std::string m_upstream; // id of the attempt's upstream
    std::string m_upstreamAddress;
    unsigned m_sentAttempts = 0; // attempts with a byte that may have left this VM
    bool m_mayHaveRun = false; // in an attempt before the present one
    unsigned m_connectRounds = 0;
    std::set<std::string> m_triedUpstreams;
    ResponseHead m_head;
    AnswerDescription m_answer;
    HeldAnswer m_body;
    bool m_isStreamAnswer = false;
    bool m_hasHead = false;
    std::shared_ptr<StreamAnswer> m_stream;
    unsigned m_eventsForwarded = 0;
    bool m_isQueued = false;
    double m_predictedFirstEventDelay = 0; // milliseconds after m_sentAt
    unsigned m_withheldAttempts = 0;
    const char* m_obstacle = nullptr; // to writing the attempt, found when its connection stood
    TimePoint m_sentAt;
    TimePoint m_lastBytesAt; // of an answer's body
    std::int64_t m_firstEventDelay = -1; // milliseconds after m_sentAt; -1 before the first event
    bool m_isRecordedAsAnswered = false; // the attempt shows that its prompt crashes no engine
};

}
