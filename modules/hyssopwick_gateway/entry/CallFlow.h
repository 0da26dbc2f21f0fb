#pragma once

#include "../http/HttpExchange.h"
#include "../http/ServerExchange.h"
#include "EntryServices.h"

namespace hyssopwick {

/// The way of one call through an entry VM: route, account, upstream, retries, answer.
/// What may be tried again follows from the route's kind and from what is known of the
/// attempts so far.
class CallFlow : public std::enable_shared_from_this<CallFlow> {
public:
    /// Called once when the call has ended.
    using EndHandler = std::function<void(CallFlow*)>;
    /// Called when the call entered its service's queue.
    using QueuedHandler = std::function<void(const std::string& service)>;

    CallFlow(EntryServices& services, ServerExchangePointer exchange, QueuedHandler onQueued, EndHandler onEnd);
    ~CallFlow();

    void start();

    /// Gives up the upstream at \p address, which turned out to be down: an answer that
    /// may be resumed goes on elsewhere.
    void upstreamDown(const std::string& address);

    /// Sets anew until when the call may begin where it waits. Call when a version was named.
    void armBeginTimer();

    /// Ends the call now, because the process stops.
    void abort();

    /// Returns the id under which the call waits in its service's queue.
    std::uint64_t id() const { return m_id; }

    /// Sends the call to an engine that the queue has chosen for it.
    void sendTo(const QueueDecisions::Send& decision);

    /// Refuses the call, which the queue found impossible to serve in time.
    void refuseUnservable(Milliseconds retryAfter);

private:
    enum class Phase {
        Waiting, ///< for an upstream
        Sent,
        Answering, ///< a part of the answer went to the caller
        Ended,
    };

    bool admit();
    void place();
    void enqueue();
    void leaveQueue();
    void send(const std::string& upstreamId, unsigned connectRound);
    void handleHead(const ResponseHead& head);
    void handleBody(std::string_view bytes);
    void handleEnd(ExchangeEnd end);
    void forwardEvents(std::string_view bytes);
    void attemptFailed(AttemptFailure failure, const char* reason);
    void answerNotRun(bool isWrongUpstream);
    void deliverWhole();
    void refuse(RefusalReason reason, unsigned status, Milliseconds retryAfter);
    void breakOff(const char* outcome);
    void deadlinePassed();
    void callerLeft();
    void end(const char* outcome, unsigned status);
    void leaveUpstream();
    bool waitsAtEngine() const;
    void takeBack();
    bool mayRunAgain() const;
    bool isEngineCall() const { return m_service && m_service->engine.has_value(); }
    Digest fingerprint() const;
    bool canEndBeforeStop() const;
    Milliseconds elapsed() const { return Milliseconds(millisecondsBetween(m_exchange->request().receivedAt, monotonicNow())); }

    EntryServices& m_services;
    ServerExchangePointer m_exchange;
    QueuedHandler m_onQueued;
    EndHandler m_onEnd;
    LoopTimer m_deadlineTimer;
    LoopTimer m_pauseTimer;
    LoopTimer m_beginTimer;
    std::uint64_t m_id;
    Phase m_phase = Phase::Waiting;
    CallDescription m_call;
    RouteTablePointer m_routes; // keeps m_route alive
    const CallRoute* m_route = nullptr;
    const ServiceDescription* m_service = nullptr;
    std::string m_account;
    unsigned m_priority = 0;
    TimePoint m_deadline;
    CallSize m_size;
    Digest m_fingerprint; // equal for a request that comes again

    HttpExchangePointer m_attempt;
    std::string m_upstream; // id of the attempt's upstream
    std::string m_upstreamAddress;
    unsigned m_sentAttempts = 0; // attempts of which a byte may have left this VM
    unsigned m_connectRounds = 0;
    std::set<std::string> m_tried;
    ResponseHead m_head;
    AnswerDescription m_answer;
    std::string m_body;
    bool m_isStreamAnswer = false;
    bool m_hasHead = false;
    EventStreamSplitter m_splitter;
    std::string m_lastEventId; // of the last event that went to the caller
    unsigned m_eventsForwarded = 0;
    bool m_isQueued = false;
    double m_predictedFirstEvent = 0; // milliseconds after the send
    TimePoint m_sentAt;
    std::map<std::string, std::uint64_t> m_heldAtSend; // by the attempt's engine, by model
    std::int64_t m_firstEventAfterSend = -1;
};

}
