#include "AgentDoor.h"

namespace hyssopwick {

namespace {

    constexpr std::int64_t initialCapacity = 1;
    constexpr const char* doorPrefix = "/door";
    constexpr int statusOk = 200;
    constexpr Milliseconds callerCheckPeriod { 25 };
    constexpr Milliseconds longestDeadline { 600'000 };

    UpstreamCall parseCall(const HttpRequest& request, TimePoint now)
    {
        UpstreamCall call;
        call.attempt = request.header(doorHeader::attempt);
        call.identity = request.header(doorHeader::identity);
        call.holder = request.header(doorHeader::holder);
        call.placement = request.header(doorHeader::placement);
        call.version = request.header(doorHeader::version);
        call.mustRunAlone = request.header(doorHeader::alone) == "1";
        const Milliseconds remaining(std::atoll(request.header(doorHeader::deadline, "0").c_str()));
        call.deadline = now + std::clamp(remaining, Milliseconds(0), longestDeadline);
        return call;
    }

}

struct AgentDoor::Call {
    UpstreamCall call;
    HttpRequest request;
    HttpResponderPointer responder;
    HttpClient::TransferId transfer = 0;
    std::atomic<bool> isFinished { false };
    bool isStreaming = false;
};

AgentDoor::AgentDoor(NodeContext& context)
    : m_context(context)
    , m_decision(initialCapacity)
{
}

void AgentDoor::refuse(const std::string& attempt, const Refusal& refusal, HttpResponder& responder)
{
    const auto* reason = refusalReasonName(refusal.reason);
    m_context.metrics.count("door_refusals_total", reason);
    m_context.log.write("door.refused", { { "attempt", attempt }, { "reason", reason }, { "run", runStateName(refusal.runState) } });
    responder.send(refusalStatus(refusal.reason), refusal.detail,
        { { doorHeader::run, runStateName(refusal.runState) }, { doorHeader::reason, reason }, { doorHeader::attempt, attempt },
            { doorHeader::inFlight, std::to_string(inFlight()) } });
}

void AgentDoor::handle(HttpRequest request, HttpResponderPointer responder)
{
    if (!m_context.endpoint.verify(request, *responder))
        return;
    const auto now = monotonicNow();
    auto call = std::make_shared<Call>();
    call->call = parseCall(request, now);
    std::optional<Refusal> refusal;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        refusal = m_decision.admit(call->call, now);
    }
    if (refusal) {
        refuse(call->call.attempt, *refusal, *responder);
        return;
    }
    m_context.log.write("door.accepted", { { "attempt", call->call.attempt }, { "request", request.header(doorHeader::request) }, { "vm", m_context.settings.vm.id }, { "placement", call->call.placement }, { "version", call->call.version }, { "identity", call->call.identity } });
    call->request = std::move(request);
    call->responder = std::move(responder);
    handOver(call);
}

void AgentDoor::handOver(const std::shared_ptr<Call>& call)
{
    HttpClientRequest request;
    request.method = "POST";
    request.url = "http://" + m_context.settings.upstreamAddress + call->request.path.substr(std::string(doorPrefix).size());
    request.body = std::make_shared<const std::string>(std::move(call->request.body));
    request.deadline = call->call.deadline;
    request.headers.emplace_back("Content-Type", "application/json");
    request.headers.emplace_back("X-Request-Id", call->call.attempt);
    request.headers.emplace_back("X-Request", call->request.header(doorHeader::request));
    if (!call->call.identity.empty())
        request.headers.emplace_back("Idempotency-Key", call->call.identity);
    request.freshConnection = !call->call.identity.empty();
    const auto onData = [this, call](const HttpClientResponse& head, std::string_view data) {
        if (!call->isStreaming) {
            const auto echoed = head.headers.find("x-request-id");
            if (echoed == head.headers.end() || echoed->second != call->call.attempt)
                return false;
            call->isStreaming = true;
            call->responder->startStream(statusOk, { { doorHeader::attempt, call->call.attempt }, { "Content-Type", "text/event-stream" }, { doorHeader::inFlight, std::to_string(inFlight()) } });
        }
        return call->responder->write(data);
    };
    call->transfer = m_context.client.start(
        std::move(request), [this, call](Outcome<HttpClientResponse> answer) { finish(call, std::move(answer)); },
        call->call.placement.empty() ? HttpClient::DataHandler() : onData);
    watchCaller(call);
}

// Cancels at the upstream when the entry VM closed its connection, so that the slot
// is free again although no token is on its way.
void AgentDoor::watchCaller(const std::shared_ptr<Call>& call)
{
    m_context.scheduler.at(monotonicNow() + callerCheckPeriod, [this, call] {
        if (call->isFinished)
            return;
        // A non-idempotent call goes on, so that its outcome is known.
        if (!call->responder->isConnected() && call->call.identity.empty()) {
            m_context.client.cancel(call->transfer);
            return;
        }
        watchCaller(call);
    });
}

void AgentDoor::finish(const std::shared_ptr<Call>& call, Outcome<HttpClientResponse> answer)
{
    call->isFinished = true;
    const bool wasSent = answer || answer.error().code != ErrorCode::Unavailable;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_decision.finish(call->call.attempt, wasSent);
    }
    const char* result = answer ? "ok" : wasSent ? call->responder->isConnected() ? "lost" : "cancelled"
                                                 : "not-sent";
    m_context.log.write("door.finished", { { "attempt", call->call.attempt }, { "result", result }, { "status", std::to_string(answer ? answer.value().status : 0) } });
    if (call->isStreaming) {
        // An unfinished stream is left without its end, which the entry VM detects.
        if (answer)
            call->responder->finish();
        else
            call->responder->write("event: broken\ndata: " + std::string(result) + "\n\n"), call->responder->finish();
        return;
    }
    HttpHeaders headers { { doorHeader::attempt, call->call.attempt }, { doorHeader::inFlight, std::to_string(inFlight()) } };
    if (!answer) {
        headers[doorHeader::run] = runStateName(wasSent ? RunState::Unknown : RunState::NotRun);
        headers[doorHeader::reason] = refusalReasonName(RefusalReason::UpstreamFailed);
        call->responder->send(refusalStatus(RefusalReason::UpstreamFailed), answer.error().message, headers);
        return;
    }
    const auto echoed = answer.value().headers.find("x-request-id");
    const bool isOwn = echoed != answer.value().headers.end() && echoed->second == call->call.attempt;
    if (!isOwn) {
        m_context.metrics.count("crossed_answers_total");
        headers[doorHeader::run] = runStateName(RunState::Unknown);
        headers[doorHeader::reason] = refusalReasonName(RefusalReason::UpstreamFailed);
        call->responder->send(refusalStatus(RefusalReason::UpstreamFailed), "upstream answered another request", headers);
        return;
    }
    call->responder->send(answer.value().status, std::move(answer.value().body), headers);
}

void AgentDoor::setServing(const std::map<std::string, std::string>& versions)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_decision.setServing(versions);
}

void AgentDoor::setCapacity(std::int64_t capacity)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_decision.setCapacity(capacity);
}

std::int64_t AgentDoor::capacity() const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_decision.capacity();
}

void AgentDoor::leave()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_decision.leave();
}

void AgentDoor::enter()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_decision.cancelLeaving();
}

bool AgentDoor::isLeaving() const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_decision.isLeaving();
}

std::int64_t AgentDoor::inFlight() const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_decision.inFlight();
}

std::int64_t AgentDoor::inFlightOn(const std::string& placement) const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_decision.inFlightOn(placement);
}

}
