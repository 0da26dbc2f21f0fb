#include "EngineClient.h"

namespace hyssopwick {

namespace {
    // The engine is on the same VM: it answers at once or not at all.
    constexpr Milliseconds connectTimeout { 100 };
    constexpr Milliseconds answerTimeout { 300 };
    // An engine may turn cold without a restart, which its report does not show. Each check takes one of its slots.
    constexpr Milliseconds healthPeriod { 1000 };
    // A chunk is the longest answer.
    constexpr std::uint64_t maxAnswerBytes = std::uint64_t(4) << 20;

    Error errorOf(const WholeResponse& response, const char* what)
    {
        if (!response.isComplete())
            return { ErrorCode::Unavailable, std::string(what) + ": " + exchangeEndName(response.end) };
        return { ErrorCode::NotFound, std::string(what) + ": status " + std::to_string(response.status) };
    }
}

EngineClient::EngineClient(GatewayContext& context)
    : m_context(context)
{
}

void EngineClient::fetch(HttpCall call, std::function<void(WholeResponse)> handler, std::shared_ptr<KeptConnections> kept)
{
    const auto now = monotonicNow();
    fetchWhole(m_context.loop, m_context.description.engineAddress, std::move(call), TransferLimits { now + connectTimeout, now + answerTimeout, Milliseconds(0), now + answerTimeout, maxAnswerBytes }, std::move(handler), std::move(kept));
}

void EngineClient::checkHealth(const std::string& path)
{
    m_checkHealthAt = monotonicNow() + healthPeriod;
    fetch(
        m_context.ports.engines->encodeHealthCall(path), [this](const WholeResponse& response) {
            if (!response.isComplete())
                return;
            if (const auto left = m_context.ports.engines->decodeColdLeft(response.fields))
                m_coldUntil = monotonicNow() + *left;
        },
        m_kept);
}

void EngineClient::fetchReport(const std::optional<ServiceDescription>& service, std::function<void(Outcome<EngineReport>)> handler)
{
    if (service && service->mayBeCold() && !service->healthPath.empty() && monotonicNow() >= m_checkHealthAt)
        checkHealth(service->healthPath);
    fetch(
        m_context.ports.engines->encodeReportCall(), [this, handler = std::move(handler)](const WholeResponse& response) {
            if (!response.isComplete() || response.status != statusOk)
                return handler(boost::outcome_v2::failure(errorOf(response, "engine's report")));
            auto report = m_context.ports.engines->decodeReport(response.fields, response.body);
            if (report)
                report.value().coldLeft = std::max(Milliseconds(0), Milliseconds(millisecondsBetween(monotonicNow(), m_coldUntil)));
            handler(report);
        },
        m_kept);
}

void EngineClient::readStaged(const std::string& model, unsigned chunk, std::function<void(Outcome<std::string>)> handler)
{
    fetch(
        m_context.ports.engines->encodeStageRead(model, chunk), [handler = std::move(handler)](WholeResponse response) {
            if (!response.isComplete() || response.status != statusOk)
                return handler(boost::outcome_v2::failure(errorOf(response, "staged chunk")));
            handler(std::move(response.body));
        },
        m_kept);
}

void EngineClient::writeStaged(const std::string& model, unsigned chunk, std::string bytes, std::function<void(Outcome<void>)> handler)
{
    fetch(
        m_context.ports.engines->encodeStageWrite(model, chunk, std::move(bytes)), [handler = std::move(handler)](const WholeResponse& response) {
            if (!response.isComplete() || response.status < statusOk || response.status >= statusMultipleChoices)
                return handler(boost::outcome_v2::failure(errorOf(response, "staging a chunk")));
            handler(success());
        },
        m_kept);
}

void EngineClient::order(const LoadOrder& order, TimePoint sendBy, std::function<void(OrderResult)> handler)
{
    const auto now = monotonicNow();
    const TransferLimits limits { std::min(now + connectTimeout, sendBy), now + answerTimeout, Milliseconds(0), now + answerTimeout, maxAnswerBytes };
    // The process may have been suspended while it connected.
    sendOrder(m_context.ports.engines->encodeOrder(order), limits, std::move(handler), [sendBy](HttpCall&) { return monotonicNow() < sendBy; });
}

void EngineClient::retire(const LoadOrder& loaded, std::function<void(OrderResult)> handler)
{
    const auto now = monotonicNow();
    const TransferLimits limits { now + connectTimeout, now + answerTimeout, Milliseconds(0), now + answerTimeout, maxAnswerBytes };
    sendOrder(m_context.ports.engines->encodeRetireOrder(loaded), limits, std::move(handler), nullptr);
}

void EngineClient::sendOrder(HttpCall order, const TransferLimits& limits, std::function<void(OrderResult)> handler, std::function<bool(HttpCall&)> maySend)
{
    fetchWhole(
        m_context.loop, m_context.description.engineAddress, std::move(order), limits, [this, handler = std::move(handler)](const WholeResponse& response) {
            if (response.end == ExchangeEnd::NotSent || response.end == ExchangeEnd::Withheld)
                return handler(OrderResult::NotSent);
            handler(response.isComplete() ? m_context.ports.engines->decodeOrderAnswer(response.status) : OrderResult::Unknown);
        },
        nullptr, std::move(maySend));
}

}
