#include "FakeService.h"

namespace hyssopwick {

namespace {
    constexpr int statusOk = 200;
    constexpr double defaultCapacity = 32;
}

FakeService::FakeService(std::string address, EventLog* log)
    : FakeServer(std::move(address))
    , m_log(log)
{
}

std::map<std::string, std::uint64_t> FakeService::executions()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_executions;
}

void FakeService::handle(HttpRequest request, HttpResponderPointer responder)
{
    if (request.path == "/v1/status") {
        const auto capacity = fault("capacity") > 0 ? fault("capacity") : defaultCapacity;
        responder->send(statusOk, nlohmann::json { { "running", 0 }, { "capacity", static_cast<std::int64_t>(capacity) } }.dump());
        return;
    }
    const auto key = request.header("idempotency-key");
    const auto number = ++m_executed;
    bool isLost = false;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        if (!key.empty())
            ++m_executions[key];
        isLost = m_random.unit() < fault("lose_answer");
    }
    if (m_log)
        m_log->write("service.executed", { { "path", request.path }, { "identity", key.substr(0, 12) }, { "attempt", request.header("x-request-id") }, { "request", request.header("x-request") } });
    if (isLost)
        return;
    const auto answer = nlohmann::json { { "done", true }, { "number", number }, { "echo", Digest::of(request.body).shortHex() } }.dump();
    const HttpHeaders headers { { "X-Request-Id", request.header("x-request-id") }, { "Content-Type", "application/json" } };
    const auto delay = Milliseconds(static_cast<std::int64_t>(fault("delay_ms")));
    if (delay == Milliseconds(0))
        responder->send(statusOk, answer, headers);
    else
        scheduler().at(monotonicNow() + delay, [responder, answer, headers] { responder->send(statusOk, answer, headers); });
}

}
