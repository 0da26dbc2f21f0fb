#include "UpstreamProxy.h"

namespace hyssopwick {

namespace {

    constexpr std::int64_t initialCapacity = 1;
    constexpr const char* proxyPathPrefix = "/door";
    constexpr int statusOk = 200;
    constexpr Milliseconds entryCheckPeriod { 25 };
    constexpr Milliseconds maxTimeout { 600'000 };

    UpstreamCall parseCall(const HttpRequest& request, TimePoint now)
    {
        UpstreamCall call;
        call.attempt = request.header(proxyHeader::attempt);
        call.identity = request.header(proxyHeader::identity);
        call.holder = request.header(proxyHeader::holder);
        call.placement = request.header(proxyHeader::placement);
        call.version = request.header(proxyHeader::version);
        call.mustRunAlone = request.header(proxyHeader::alone) == "1";
        const Milliseconds remaining(std::atoll(request.header(proxyHeader::deadline, "0").c_str()));
        call.deadline = now + std::clamp(remaining, Milliseconds(0), maxTimeout);
        return call;
    }

}

struct UpstreamProxy::Call {
    UpstreamCall description;
    HttpRequest request;
    HttpResponderPointer responder;
    HttpClient::TransferId transfer = 0;
    std::atomic<bool> isFinished { false };
    bool isStreaming = false;
};

UpstreamProxy::UpstreamProxy(NodeContext& context)
    : m_context(context)
    , m_decision(initialCapacity)
{
}

void UpstreamProxy::refuse(const std::string& attempt, const Refusal& refusal, HttpResponder& responder)
{
    const auto* reason = refusalReasonName(refusal.reason);
    m_context.metrics.count("door_refusals_total", reason);
    m_context.log.write("door.refused", { { "attempt", attempt }, { "reason", reason }, { "run", runStateName(refusal.runState) } });
    responder.send(refusalStatus(refusal.reason), refusal.detail,
        { { proxyHeader::run, runStateName(refusal.runState) }, { proxyHeader::reason, reason }, { proxyHeader::attempt, attempt },
            { proxyHeader::inFlight, std::to_string(inFlight()) } });
}

void UpstreamProxy::handle(HttpRequest request, HttpResponderPointer responder)
{
    if (!m_context.endpoint.verify(request, *responder))
        return;
    const auto now = monotonicNow();
    auto call = std::make_shared<Call>();
    call->description = parseCall(request, now);
    std::optional<Refusal> refusal;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        refusal = m_decision.admit(call->description, now);
    }
    if (refusal) {
        refuse(call->description.attempt, *refusal, *responder);
        return;
    }
    m_context.log.write("door.accepted", { { "attempt", call->description.attempt }, { "request", request.header(proxyHeader::request) }, { "vm", m_context.settings.vm.id }, { "placement", call->description.placement }, { "version", call->description.version }, { "identity", call->description.identity } });
    call->request = std::move(request);
    call->responder = std::move(responder);
    forward(call);
}

void UpstreamProxy::forward(const std::shared_ptr<Call>& call)
{
    HttpClientRequest request;
    request.method = "POST";
    request.url = "http://" + m_context.settings.upstreamAddress + call->request.path.substr(std::string(proxyPathPrefix).size());
    request.body = std::make_shared<const std::string>(std::move(call->request.body));
    request.deadline = call->description.deadline;
    request.maxResponseBytes = maxRpcBytes; // what an entry VM accepts
    request.headers.emplace_back("Content-Type", "application/json");
    request.headers.emplace_back("X-Request-Id", call->description.attempt);
    request.headers.emplace_back("X-Request", call->request.header(proxyHeader::request));
    if (!call->description.identity.empty())
        request.headers.emplace_back("Idempotency-Key", call->description.identity);
    request.freshConnection = !call->description.identity.empty();
    const auto onData = [this, call](const HttpClientResponse& head, std::string_view data) {
        if (!call->isStreaming) {
            const auto echoed = head.headers.find("x-request-id");
            if (echoed == head.headers.end() || echoed->second != call->description.attempt)
                return false;
            call->isStreaming = true;
            call->responder->startStream(statusOk, { { proxyHeader::attempt, call->description.attempt }, { "Content-Type", "text/event-stream" }, { proxyHeader::inFlight, std::to_string(inFlight()) } });
        }
        const bool isWritten = call->responder->write(data);
        if (call->responder->isUnread())
            m_context.metrics.count("stream_cuts_total", "unread");
        return isWritten;
    };
    call->transfer = m_context.client.start(
        std::move(request), [this, call](Outcome<HttpClientResponse> answer) { finish(call, std::move(answer)); },
        call->description.placement.empty() ? HttpClient::DataHandler() : onData);
    watchEntryConnection(call);
}

// Cancels an idempotent call at the upstream once its entry VM has disconnected, which is polled:
// a call that produces no token would notice only at its end and keep its slot until then.
void UpstreamProxy::watchEntryConnection(const std::shared_ptr<Call>& call)
{
    m_context.scheduler.at(monotonicNow() + entryCheckPeriod, [this, call] {
        if (call->isFinished)
            return;
        // A non-idempotent call is not cancelled, so that its outcome is known.
        if (!call->responder->isConnected() && call->description.identity.empty()) {
            m_context.client.cancel(call->transfer);
            return;
        }
        watchEntryConnection(call);
    });
}

void UpstreamProxy::finish(const std::shared_ptr<Call>& call, Outcome<HttpClientResponse> answer)
{
    call->isFinished = true;
    const bool wasSent = answer || answer.error().code != ErrorCode::Unavailable;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_decision.finish(call->description.attempt, wasSent);
    }
    const char* result = answer ? "ok" : wasSent ? call->responder->isConnected() ? "lost" : "cancelled"
                                                 : "not-sent";
    m_context.log.write("door.finished", { { "attempt", call->description.attempt }, { "result", result }, { "status", std::to_string(answer ? answer.value().status : 0) } });
    if (call->isStreaming) {
        // A failed stream ends with a "broken" event instead of [DONE], which the entry VM detects.
        if (answer)
            call->responder->finish();
        else
            call->responder->write("event: broken\ndata: " + std::string(result) + "\n\n"), call->responder->finish();
        return;
    }
    HttpHeaders headers { { proxyHeader::attempt, call->description.attempt }, { proxyHeader::inFlight, std::to_string(inFlight()) } };
    if (!answer) {
        headers[proxyHeader::run] = runStateName(wasSent ? RunState::Unknown : RunState::NotRun);
        headers[proxyHeader::reason] = refusalReasonName(RefusalReason::UpstreamFailed);
        call->responder->send(refusalStatus(RefusalReason::UpstreamFailed), answer.error().message, headers);
        return;
    }
    const auto echoed = answer.value().headers.find("x-request-id");
    const bool answersThisAttempt = echoed != answer.value().headers.end() && echoed->second == call->description.attempt;
    if (!answersThisAttempt) {
        m_context.metrics.count("crossed_answers_total");
        headers[proxyHeader::run] = runStateName(RunState::Unknown);
        headers[proxyHeader::reason] = refusalReasonName(RefusalReason::UpstreamFailed);
        call->responder->send(refusalStatus(RefusalReason::UpstreamFailed), "upstream answered another request", headers);
        return;
    }
    call->responder->send(answer.value().status, std::move(answer.value().body), headers);
}

void UpstreamProxy::setServing(const std::map<std::string, std::string>& versions)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_decision.setServing(versions);
}

void UpstreamProxy::setCapacity(std::int64_t capacity)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_decision.setCapacity(capacity);
}

std::int64_t UpstreamProxy::capacity() const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_decision.capacity();
}

void UpstreamProxy::leave()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_decision.leave();
}

void UpstreamProxy::cancelLeaving()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_decision.cancelLeaving();
}

bool UpstreamProxy::isLeaving() const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_decision.isLeaving();
}

std::int64_t UpstreamProxy::inFlight() const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_decision.inFlight();
}

std::int64_t UpstreamProxy::inFlightOn(const std::string& placement) const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_decision.inFlightOn(placement);
}

}
