#include "CallFlow.h"

#include "CallLimits.h"
#include "WeakHandler.h"

namespace hyssopwick {

namespace {

    std::uint64_t nextCallId = 1;

    std::string millisecondsText(Milliseconds time) { return std::to_string(time.count()); }

}

CallFlow::CallFlow(EntryServices& services, ServerExchangePointer exchange, QueuedHandler onQueued, EndHandler onEnd)
    : m_services(services)
    , m_exchange(std::move(exchange))
    , m_onQueued(std::move(onQueued))
    , m_onEnd(std::move(onEnd))
    , m_deadlineTimer(services.context().loop)
    , m_retryTimer(services.context().loop)
    , m_silenceTimer(services.context().loop)
    , m_beginLimit(services)
    , m_id(nextCallId++)
    , m_body(services.answerMemory())
    , m_stream(std::make_shared<StreamAnswer>(services.context(), m_exchange, services.answerMemory()))
{
}

void CallFlow::start()
{
    m_exchange->onCallerLeft(weakHandler(weak_from_this(), &CallFlow::handleCallerLeft));
    if (!admit())
        return;
    m_exchange->sendBy(m_deadline);
    m_deadlineTimer.expires_at(m_deadline);
    m_deadlineTimer.async_wait(weakTimerHandler(weak_from_this(), &CallFlow::handleDeadline));
    m_services.budget().recordFirstAttempt();
    place();
}

bool CallFlow::admit()
{
    const auto& request = m_exchange->request();
    m_routes = m_services.routes();
    m_call = m_services.context().ports.calls->decodeCall(request.fields);
    if (!m_routes || m_services.answerMemory()->state() == AnswerMemoryState::Full) {
        refuse(!m_routes ? RefusalReason::NotReady : RefusalReason::EntryBusy, statusUnavailable, !m_routes ? notReadyRetryAfter : overloadRetryAfter);
        return false;
    }
    const auto admission = admitCall(request, m_call, *m_routes, m_services.random().unit());
    if (const auto* rejected = std::get_if<RejectedCall>(&admission)) {
        refuseByConfiguration(*rejected);
        return false;
    }
    const auto& admitted = std::get<AdmittedCall>(admission);
    m_route = admitted.route;
    m_service = admitted.service;
    m_account = admitted.account;
    m_priority = admitted.priority;
    m_deadline = admitted.deadline;
    m_regions.set(admitted.allowedRegions, m_routes);
    m_size = admitted.size;
    m_crashTraits = admitted.crashTraits;
    return !refuseIfOutlastsStop(admitted) && !refuseIfCrashSuspected();
}

void CallFlow::refuseByConfiguration(const RejectedCall& rejected)
{
    m_route = rejected.route;
    const auto age = m_services.viewAge();
    auto& context = m_services.context();
    const auto reason = refusalByConfiguration(rejected.reason, age.confirmed, context.description.configurationBound);
    context.metrics.observe("view_age_at_rejection", double(age.likely.count()));
    context.log.write("call.not-allowed", { { "request", m_call.requestId }, { "reason", refusalReasonName(rejected.reason) }, { "outdated", reason == rejected.reason ? "false" : "true" }, { "configuration", std::to_string(m_routes->configuration().version) }, { "view_age_ms", millisecondsText(age.likely) }, { "view_confirmed_ms", millisecondsText(age.confirmed) } });
    if (reason == RefusalReason::ConfigurationOutdated)
        return refuse(reason, statusUnavailable, notReadyRetryAfter);
    refuse(rejected.reason, rejected.status, Milliseconds(0));
}

bool CallFlow::refuseIfOutlastsStop(const AdmittedCall& admitted)
{
    const auto stopBy = m_services.stopBy();
    if (!stopBy)
        return false;
    const auto now = monotonicNow();
    const bool isAccepted = endsBefore(*stopBy, admitted);
    auto& context = m_services.context();
    context.metrics.count("calls_while_stopping_total", isAccepted ? "accepted" : "refused");
    context.log.write("call.stop-check", { { "request", m_call.requestId }, { "accepted", isAccepted ? "true" : "false" }, { "left_ms", std::to_string(millisecondsBetween(now, m_deadline)) }, { "stop_in_ms", std::to_string(millisecondsBetween(now, *stopBy)) } });
    if (!isAccepted)
        refuse(RefusalReason::EntryLeaving, statusUnavailable, Milliseconds(0));
    return !isAccepted;
}

bool CallFlow::refuseIfCrashSuspected()
{
    auto& crashes = m_services.crashes();
    if (crashes.mayRun(m_crashTraits))
        return false;
    const auto retryAfter = !m_mayHaveRun ? crashes.retryAfter(m_crashTraits) : std::nullopt;
    refuse(RefusalReason::CrashSuspected, retryAfter ? statusUnavailable : statusBadGateway, retryAfter.value_or(Milliseconds(0)));
    return true;
}

void CallFlow::recordLost(const std::string& address)
{
    m_services.crashes().recordLost(address, { m_crashTraits, m_call.requestId, m_sentAt, m_isRecordedAsAnswered });
}

void CallFlow::place()
{
    if (m_phase == Phase::Ended)
        return;
    m_regions.update(m_exchange->request(), m_call.accountKey, m_services.routes());
    if (refuseWithoutUpstream())
        return;
    if (isEngineCall())
        return enqueue();
    if (m_service) {
        if (const auto choice = m_services.choosePlain(m_service->name, m_triedUpstreams, m_regions.allowed()))
            return send(*choice, m_connectRounds);
    }
    // The upstreams that refused this call or others want none for a time.
    const auto rest = m_service ? m_services.restOfAll(m_service->name, m_regions.allowed()) : std::nullopt;
    if (rest && m_sentAttempts == 0)
        return refuse(RefusalReason::UpstreamBusy, statusUnavailable, *rest);
    // No upstream accepted a connection: another round, with a longer timeout.
    if (!m_triedUpstreams.empty() && m_sentAttempts == 0 && m_connectRounds < lastConnectRound) {
        m_triedUpstreams.clear();
        ++m_connectRounds;
        m_retryTimer.expires_after(connectRoundDelay);
        m_retryTimer.async_wait(weakTimerHandler(weak_from_this(), &CallFlow::place));
        return;
    }
    if (m_mayHaveRun)
        return refuse(RefusalReason::UpstreamFailed, statusBadGateway, Milliseconds(0));
    refuse(RefusalReason::NoUpstream, statusUnavailable, rest.value_or(overloadRetryAfter));
}

bool CallFlow::refuseWithoutUpstream()
{
    const auto reason = m_service ? m_services.eligibility().refusalFor(m_service->name, m_regions.allowed()) : std::nullopt;
    if (reason)
        refuse(*reason, m_mayHaveRun ? statusBadGateway : statusUnavailable, m_mayHaveRun ? Milliseconds(0) : overloadRetryAfter);
    return reason.has_value();
}

void CallFlow::reconsider()
{
    if (m_phase == Phase::Ended)
        return;
    const bool isChanged = m_regions.update(m_exchange->request(), m_call.accountKey, m_services.routes());
    const auto stopBy = m_services.stopBy();
    if (stopBy && m_deadline > *stopBy && m_upstream.empty() && !hasBeenSent())
        return refuse(RefusalReason::EntryLeaving, statusUnavailable, Milliseconds(0));
    if (m_upstream.empty()) {
        if (!refuseWithoutUpstream() && isChanged && m_isQueued)
            m_services.queue(m_service->name).setAllowedRegions(m_id, m_regions.allowed());
    } else if (!m_attempt->isSent() && !m_services.eligibility().isEligible(m_service->name, m_upstream, m_regions.allowed())) {
        cancelAttempt("not-eligible");
        releaseUpstream();
        place();
    } else {
        armBeginTimer(); // an engine's last report may have expired
    }
}

void CallFlow::enqueue()
{
    m_isQueued = true;
    m_attempt.reset();
    m_phase = m_eventsForwarded > 0 ? Phase::Answering : Phase::Waiting;
    const auto firstEventDeadline = m_exchange->request().receivedAt + m_route->latencyObjective;
    m_services.queue(m_service->name).add({ m_id, m_size, m_priority, firstEventDeadline, m_deadline, m_triedUpstreams, m_eventsForwarded > 0, m_regions.allowed(), m_route->name, m_call.callerTimeout.value_or(Milliseconds(0)) }, monotonicNow());
    m_onQueued(m_service->name);
}

void CallFlow::leaveQueue()
{
    if (!m_isQueued)
        return;
    m_isQueued = false;
    m_services.queue(m_service->name).remove(m_id);
}

void CallFlow::sendTo(const QueueDecisions::Send& decision)
{
    m_isQueued = false;
    m_predictedFirstEventDelay = decision.prediction.firstEventMilliseconds;
    if (refuseIfCrashSuspected())
        return m_services.enginePool(m_service->name)->recordEnd(m_id, monotonicNow());
    send(decision.upstream, m_connectRounds);
}

void CallFlow::refuseUnservable(Milliseconds retryAfter)
{
    m_isQueued = false;
    m_services.context().log.write("call.unservable", { { "request", m_call.requestId }, { "waiting", std::to_string(m_services.queue(m_service->name).size()) }, { "engines", std::to_string(m_services.enginePool(m_service->name)->size()) }, { "left_ms", std::to_string(millisecondsBetween(monotonicNow(), m_deadline)) }, { "retry_after_ms", millisecondsText(retryAfter) } });
    if (m_mayHaveRun)
        return refuse(RefusalReason::UpstreamFailed, statusBadGateway, Milliseconds(0));
    refuse(RefusalReason::DeadlineUnreachable, statusUnavailable, retryAfter);
}

void CallFlow::send(const std::string& upstreamId, unsigned connectRound)
{
    const auto* upstream = m_services.upstream(upstreamId);
    const auto now = monotonicNow();
    if (!upstream) {
        if (isEngineCall())
            m_services.enginePool(m_service->name)->recordEnd(m_id, now);
        m_triedUpstreams.insert(upstreamId);
        return place();
    }
    m_phase = m_eventsForwarded > 0 ? Phase::Answering : Phase::Sent;
    m_sentAt = now;
    m_firstEventDelay = -1;
    m_isRecordedAsAnswered = false;
    m_upstream = upstreamId;
    m_upstreamAddress = upstream->address;
    m_triedUpstreams.insert(upstreamId);
    m_hasHead = false;
    m_body.clear();
    if (!isEngineCall())
        m_services.plainPool(m_service->name).recordSend(upstreamId);
    const auto& request = m_exchange->request();
    HttpCall call { request.method, request.target, {}, "", std::shared_ptr<const std::string>(m_exchange, &request.body) };
    const auto self = weak_from_this();
    ExchangeHandlers handlers { [self](HttpCall& call) { const auto flow = self.lock(); return flow && flow->completeFields(call); }, weakHandler(self, &CallFlow::handleHead), weakHandler(self, &CallFlow::handleBody), weakHandler(self, &CallFlow::handleEnd) };
    const auto beginBy = isEngineCall() ? m_services.usableUntil(*upstream) : std::nullopt;
    if (beginBy)
        m_services.context().metrics.count("calls_sent_to_older_weights_total");
    m_services.context().log.write("call.sent", { { "request", m_call.requestId }, { "upstream", upstreamId }, { "attempt", std::to_string(m_sentAttempts + 1) }, { "left_ms", std::to_string(millisecondsBetween(now, m_deadline)) }, { "resume", m_stream->lastEventId().empty() ? "no" : m_stream->lastEventId() }, { "held", std::to_string(m_services.loadedVersion(*upstream)) }, { "begin_within_ms", beginBy ? std::to_string(millisecondsBetween(now, *beginBy)) : "any" } });
    m_services.crashes().recordSend(m_crashTraits, m_call.requestId);
    m_services.allowances().recordSend(upstreamId);
    const bool mayMove = mayRunAgain() && m_sentAttempts + 1 < m_route->maxUpstreams;
    m_attempt = HttpExchange::start(m_services.context().loop, upstream->address, std::move(call), TransferLimits { now + connectTimeouts[std::min(connectRound, lastConnectRound)], TimePoint::max(), Milliseconds(0), TimePoint::max(), maxAnswerBytes, mayMove ? deliveryTimeout : Milliseconds(0) }, std::move(handlers));
    m_stream->beginAttempt(m_attempt);
    m_beginLimit.begin(*upstream);
    armBeginTimer();
}

// Returns why the call may not be written to the upstream that was chosen for it, or nullptr. Connecting may have taken
// long, and a late process handles a new connection before a timer that has expired.
const char* CallFlow::obstacleToWrite() const
{
    const auto now = monotonicNow();
    if (now >= m_deadline)
        return "deadline";
    const auto beginBy = isEngineCall() ? m_beginLimit.until() : std::nullopt;
    if (beginBy && now >= *beginBy)
        return "old-weights";
    return m_services.mayReceiveCalls(*m_service, m_upstream, m_regions.allowed()) ? nullptr : "upstream-unavailable";
}

bool CallFlow::completeFields(HttpCall& call)
{
    m_obstacle = obstacleToWrite();
    if (m_obstacle)
        return false;
    const auto timeLeft = upstreamTime(m_deadline, m_sentAt, monotonicNow());
    const CallForwarding forwarding { timeLeft, m_upstream, m_account, m_stream->lastEventId(), std::nullopt, isEngineCall() ? std::optional<unsigned>(m_priority) : std::nullopt };
    call.fields = m_services.context().ports.calls->encodeForwarding(m_exchange->request().fields, forwarding);
    return m_phase != Phase::Ended;
}

bool CallFlow::isWaitingAtEngine() const
{
    // A stream's head may arrive before its first event; a whole answer's head shows that the call has begun.
    const bool hasBegun = m_firstEventDelay >= 0 || (m_hasHead && !m_isStreamAnswer);
    return m_phase != Phase::Ended && isEngineCall() && m_attempt && !m_upstream.empty() && !hasBegun;
}

// A call may wait at an engine for longer than predicted.
void CallFlow::armBeginTimer()
{
    if (isWaitingAtEngine())
        m_beginLimit.arm(m_deadline, weakTimerHandler(weak_from_this(), &CallFlow::handleBeginLimit));
}

void CallFlow::handleBeginLimit()
{
    const auto until = isWaitingAtEngine() ? m_beginLimit.until() : std::nullopt;
    if (until && *until <= monotonicNow())
        withdraw();
    else
        armBeginTimer();
}

// The engine drops the call when its connection closes.
void CallFlow::withdraw()
{
    m_beginLimit.recordWithdrawal(m_call.requestId);
    abandonAttempt("old-weights");
}

void CallFlow::handleHead(const ResponseHead& head)
{
    m_head = head;
    m_hasHead = true;
    m_answer = m_services.context().ports.calls->decodeAnswer(head.status, head.fields);
    m_isStreamAnswer = m_route->kind == CallKind::Stream && head.status == statusOk && head.mayBeEventStream();
    if (!m_answer.requestId.empty() && m_answer.requestId != m_call.requestId)
        return cutAnswer("other-request");
    m_services.recordAnswerHead(m_upstream, head.status, m_answer, m_sentAt);
    if (head.status >= statusOk && head.status < statusMultipleChoices && !m_answer.hasReceipt)
        return cutAnswer("no-receipt");
    if (m_eventsForwarded > 0 && !m_isStreamAnswer && !m_answer.isNotRun)
        return cutAnswer("resume-refused");
    if (isEngineCall() && !m_isStreamAnswer && !m_answer.isNotRun)
        m_beginLimit.recordAnswerBegin(m_call.requestId);
}

// Ends an attempt whose answer cannot be used, without reading the rest of it.
void CallFlow::cutAnswer(const char* reason)
{
    m_services.context().metrics.count("answers_cut_total", reason);
    if (!isEngineCall() && m_service)
        m_services.plainPool(m_service->name).recordResult(m_upstream, false, monotonicNow());
    abandonAttempt(reason);
}

void CallFlow::abandonAttempt(const char* reason)
{
    const bool isSent = m_attempt->isSent();
    cancelAttempt(reason);
    releaseUpstream();
    m_sentAttempts += isSent;
    handleAttemptFailure(isSent ? lostAttempt() : AttemptFailure::NotSent, reason);
}

void CallFlow::cancelAttempt(const char* reason)
{
    if (!m_attempt)
        return;
    const auto connectedAt = m_attempt->connectedAt();
    const auto transmission = m_attempt->transmission().value_or(TransmissionState());
    if (!m_upstream.empty()) // otherwise the attempt has already ended
        m_services.context().log.write("call.cancelled", { { "request", m_call.requestId }, { "upstream", m_upstream }, { "reason", reason }, { "after_ms", millisecondsText(elapsed()) }, { "connect_ms", connectedAt ? std::to_string(millisecondsBetween(m_sentAt, *connectedAt)) : "none" }, { "unacknowledged", std::to_string(transmission.unacknowledgedBytes) }, { "retransmissions", std::to_string(transmission.retransmissions) }, { "round_trip_ms", millisecondsText(transmission.roundTrip) }, { "acknowledged_ms_ago", millisecondsText(transmission.sinceAcknowledgement) } });
    m_attempt->cancel();
}

void CallFlow::handleBody(std::string_view bytes)
{
    m_lastBytesAt = monotonicNow();
    if (m_isStreamAnswer)
        return forwardEvents(bytes);
    if (!m_body.append(bytes))
        cutAnswer("no-memory");
}

void CallFlow::forwardEvents(std::string_view bytes)
{
    if (const auto* problem = m_stream->receive(bytes))
        return cutAnswer(problem);
    if (!m_stream->hasEvents())
        return;
    if (m_firstEventDelay < 0) {
        m_firstEventDelay = millisecondsBetween(m_sentAt, monotonicNow());
        m_services.context().metrics.observe("first_event_after_send", double(m_firstEventDelay));
        if (isEngineCall())
            m_beginLimit.recordAnswerBegin(m_call.requestId);
    }
    if (m_eventsForwarded == 0) {
        m_phase = Phase::Answering;
        m_exchange->startStream(m_head.status, m_services.context().ports.calls->encodeAnswer(m_head.fields));
        m_services.context().metrics.observe("first_event", double(elapsed().count()));
    }
    m_eventsForwarded += m_stream->forward();
    if (auto* engines = isEngineCall() ? m_services.enginePool(m_service->name) : nullptr)
        engines->recordFirstEvent(m_id);
    if (!m_isRecordedAsAnswered && monotonicNow() > begunAt() + CrashContainment::crashDelay()) {
        m_isRecordedAsAnswered = true;
        m_services.crashes().recordAnswered(m_crashTraits, begunAt());
    }
}

void CallFlow::releaseUpstream()
{
    if (m_upstream.empty())
        return;
    if (isEngineCall())
        m_services.enginePool(m_service->name)->recordEnd(m_id, monotonicNow());
    else
        m_services.plainPool(m_service->name).recordEnd(m_upstream);
    m_upstream.clear();
    m_upstreamAddress.clear();
}

void CallFlow::handleEnd(ExchangeEnd end)
{
    if (m_phase == Phase::Ended)
        return;
    if (end == ExchangeEnd::Withheld)
        return handleWithheld();
    const auto address = m_upstreamAddress;
    const bool isHealthy = end == ExchangeEnd::Complete && m_head.status < statusServerError;
    if (!isEngineCall() && m_service)
        m_services.plainPool(m_service->name).recordResult(m_upstream, isHealthy, monotonicNow());
    releaseUpstream();
    if (end == ExchangeEnd::NotSent) {
        m_services.crashes().recordNotSent(address, m_crashTraits);
        return handleAttemptFailure(AttemptFailure::NotSent, exchangeEndName(end));
    }
    const bool isCutStream = end == ExchangeEnd::Complete && m_isStreamAnswer && (m_stream->hasPartialEvent() || m_eventsForwarded == 0 || (!m_head.isFramed() && m_stream->mayHaveBeenCut()));
    if ((end == ExchangeEnd::Lost || isCutStream) && !m_stream->mayHaveBeenCut())
        recordLost(address);
    ++m_sentAttempts;
    if (end != ExchangeEnd::Complete)
        return handleAttemptFailure(lostAttempt(), exchangeEndName(end));
    if (m_answer.isNotRun)
        return handleAttemptFailure(AttemptFailure::Refused, m_answer.isWrongUpstream ? "other-upstream" : "upstream-busy");
    if (m_isStreamAnswer) {
        if (isCutStream)
            return handleAttemptFailure(lostAttempt(), "cut-event");
        m_exchange->finish();
        if (m_head.isFramed() || m_isRecordedAsAnswered)
            m_services.crashes().recordFinished(m_crashTraits, begunAt());
        else
            recordLost(address); // may be a crash right after the first events
        return this->end("served", m_head.status);
    }
    if (m_head.status >= statusServerError && mayRunAgain() && m_sentAttempts < m_route->maxUpstreams)
        return handleAttemptFailure(AttemptFailure::Lost, "upstream-error");
    forwardWholeAnswer();
}

// The upstream has not failed.
void CallFlow::handleWithheld()
{
    auto& context = m_services.context();
    context.metrics.count("calls_withheld_total", m_obstacle);
    context.log.write("call.withheld", { { "request", m_call.requestId }, { "upstream", m_upstream }, { "obstacle", m_obstacle }, { "connect_ms", std::to_string(millisecondsBetween(m_sentAt, monotonicNow())) }, { "after_ms", millisecondsText(elapsed()) } });
    m_services.crashes().recordWithheld(m_crashTraits);
    if (++m_withheldAttempts <= maxWithheldAttempts)
        m_triedUpstreams.erase(m_upstream);
    releaseUpstream();
    if (monotonicNow() >= m_deadline)
        return handleDeadline();
    m_phase = m_eventsForwarded > 0 ? Phase::Answering : Phase::Waiting;
    place();
}

void CallFlow::handleAttemptFailure(AttemptFailure failure, const char* reason)
{
    auto& context = m_services.context();
    context.metrics.count("attempts_failed_total", attemptFailureName(failure));
    auto obstacle = findRetryObstacle(failure, *m_route, m_sentAttempts, m_deadline, monotonicNow());
    if (failure != AttemptFailure::NotSent && obstacle == RetryObstacle::None && !m_services.budget().tryTake())
        obstacle = RetryObstacle::BudgetSpent;
    context.log.write("call.attempt-failed", { { "request", m_call.requestId }, { "failure", attemptFailureName(failure) }, { "reason", reason }, { "sent", std::to_string(m_sentAttempts) }, { "events", std::to_string(m_eventsForwarded) }, { "after_ms", millisecondsText(elapsed()) }, { "obstacle", retryObstacleName(obstacle) } });
    m_mayHaveRun = m_mayHaveRun || failure == AttemptFailure::Lost || failure == AttemptFailure::StreamBroken;
    if (failure == AttemptFailure::NotSent && isEngineCall() && ++m_connectRounds > maxEngineConnects)
        return refuse(RefusalReason::NoUpstream, statusUnavailable, overloadRetryAfter);
    if (failure == AttemptFailure::NotSent)
        return place();
    if (obstacle == RetryObstacle::None) {
        context.metrics.count("retries_total", attemptFailureName(failure));
        m_phase = m_eventsForwarded > 0 ? Phase::Answering : Phase::Waiting;
        return place();
    }
    if (m_eventsForwarded > 0)
        return abortStream("broken");
    if (failure == AttemptFailure::Refused)
        return refuse(RefusalReason::UpstreamBusy, m_mayHaveRun ? statusBadGateway : statusUnavailable, m_services.restOfAll(m_service->name, m_regions.allowed()).value_or(overloadRetryAfter));
    refuse(obstacle == RetryObstacle::BudgetSpent ? RefusalReason::RetryBudgetSpent : RefusalReason::UpstreamFailed, statusBadGateway, Milliseconds(0));
}

void CallFlow::forwardWholeAnswer()
{
    // To callers these statuses mean "not run". An upstream that does not say so may have run the call.
    const auto status = m_head.status;
    const bool isNotRunStatus = status == statusUnavailable || status == statusTooManyRequests || status == statusRequestTimeout || status == statusMisdirected;
    if (isNotRunStatus)
        return refuse(RefusalReason::UpstreamFailed, statusBadGateway, Milliseconds(0));
    m_exchange->respond(status, m_services.context().ports.calls->encodeAnswer(m_head.fields), m_body.take());
    if (status < statusMultipleChoices) // an upstream that fails calls may not have run this one
        m_services.crashes().recordFinished(m_crashTraits, m_sentAt);
    end("served", status);
}

void CallFlow::abortStream(const char* outcome)
{
    m_exchange->abort();
    end(outcome, statusOk);
}

void CallFlow::refuse(RefusalReason reason, unsigned status, Milliseconds retryAfter)
{
    // Once a stream's head was sent, the status can't be changed any more.
    if (m_eventsForwarded > 0)
        return abortStream(refusalReasonName(reason));
    auto& context = m_services.context();
    context.metrics.count("refusals_total", refusalReasonName(reason));
    auto fields = retryAfter.count() > 0 ? context.ports.calls->encodeRetryAfter(retryAfter) : HeaderFields();
    m_exchange->respond(status, std::move(fields), std::string(refusalReasonName(reason)) + "\n");
    end(refusalReasonName(reason), status);
}

void CallFlow::giveUp(const char* cancelReason, const char* streamOutcome, RefusalReason refusalReason, unsigned statusIfSent)
{
    if (m_phase == Phase::Ended)
        return;
    cancelAttempt(cancelReason);
    if (m_eventsForwarded > 0)
        return abortStream(streamOutcome);
    refuse(refusalReason, hasBeenSent() ? statusIfSent : statusUnavailable, Milliseconds(0));
}

void CallFlow::handleDeadline() { giveUp("deadline", "deadline-in-stream", RefusalReason::DeadlinePassed, statusGatewayTimeout); }

void CallFlow::abort() { giveUp("process-stops", "process-stops", RefusalReason::EntryLeaving, statusBadGateway); }

void CallFlow::handleCallerLeft()
{
    if (m_phase == Phase::Ended)
        return;
    cancelAttempt("caller-left");
    m_services.context().metrics.count("callers_left_total");
    end("caller-left", 0);
}

void CallFlow::handleUpstreamDown(const std::string& address)
{
    if (m_phase == Phase::Ended || m_upstreamAddress != address || !m_attempt)
        return;
    if (m_eventsForwarded == 0 && mayContinueElsewhere())
        return leaveSilentUpstream();
    m_services.context().metrics.count("calls_left_at_silent_upstreams_total");
    watchSilentUpstream();
}

bool CallFlow::mayContinueElsewhere() const
{
    return findRetryObstacle(lostAttempt(), *m_route, m_sentAttempts + 1, m_deadline, monotonicNow()) == RetryObstacle::None && !m_services.budget().isSpent();
}

// The upstream may only be silent, and still complete an answer that none other could.
void CallFlow::watchSilentUpstream()
{
    m_silenceTimer.expires_after(silenceToLeaveUpstream);
    m_silenceTimer.async_wait(weakTimerHandler(weak_from_this(), &CallFlow::handleSilence));
}

void CallFlow::handleSilence()
{
    if (m_phase == Phase::Ended || m_upstream.empty() || !m_services.seemsDown(m_upstreamAddress))
        return;
    const auto silentSince = std::max(m_lastBytesAt, m_sentAt);
    const bool isSilent = silentSince + silenceToLeaveUpstream <= monotonicNow() && !m_stream->isPaused();
    if (isSilent && mayContinueElsewhere())
        leaveSilentUpstream();
    else
        watchSilentUpstream();
}

void CallFlow::leaveSilentUpstream()
{
    if (m_attempt->isSent())
        recordLost(m_upstreamAddress);
    abandonAttempt("engine-down");
}

void CallFlow::end(const char* outcome, unsigned status)
{
    if (m_phase == Phase::Ended)
        return;
    leaveQueue();
    releaseUpstream();
    m_body.clear();
    m_stream->clear();
    m_phase = Phase::Ended;
    m_deadlineTimer.cancel();
    m_retryTimer.cancel();
    m_silenceTimer.cancel();
    m_beginLimit.cancel();
    auto& context = m_services.context();
    context.log.write("call.ended", { { "request", m_call.requestId }, { "route", m_route ? m_route->name : "none" }, { "account", m_account.empty() ? "none" : m_account }, { "regions", m_regions.allowed().text() }, { "outcome", outcome }, { "status", std::to_string(status) }, { "took_ms", millisecondsText(elapsed()) }, { "unread_ms", millisecondsText(m_exchange->request().waitedUnread) }, { "sent", std::to_string(m_sentAttempts) }, { "events", std::to_string(m_eventsForwarded) }, { "paused_ms", millisecondsText(m_stream->pausedTime()) }, { "predicted_ms", std::to_string(static_cast<int>(m_predictedFirstEventDelay)) }, { "first_ms", std::to_string(m_firstEventDelay) }, { "answered_version", std::to_string(m_answer.weightsVersion) }, { "configuration", m_routes ? std::to_string(m_routes->configuration().version) : "none" } });
    context.metrics.count("calls_total", outcome);
    const auto self = shared_from_this();
    if (m_onEnd)
        m_onEnd(this);
}

}
