#include "EngineRetirement.h"

namespace hyssopwick {

namespace {
    // Before the bound: when entry VMs take back the calls that wait at the engine.
    constexpr Milliseconds closingMargin { 500 };
    // Leaves the entry VMs time for that, and the order time to reach the engine, also from a process that is a little late.
    constexpr Milliseconds orderMargin { 250 };
    // A load that is about to begin makes the order needless, and would be refused after it.
    constexpr Milliseconds orderMarginBeforeLoad { 100 };
    // After the bound, of an order that had no effect. Before it, one is repeated with the next report.
    constexpr Milliseconds repeatDelay { 1000 };
}

EngineRetirement::EngineRetirement(GatewayContext& context, EngineClient& engine)
    : m_context(context)
    , m_engine(engine)
{
}

void EngineRetirement::addVersion(const WeightsVersion& version, TimePoint earliestPublication) { m_bounds.add(version, earliestPublication); }

std::optional<TimePoint> EngineRetirement::usableUntil(const WeightsVersion& weights) const
{
    const auto& description = m_context.description;
    return m_bounds.usableUntil({ { weights.model, weights.version } }, { description.versionBound - closingMargin, std::max(Milliseconds(0), description.contactBound - closingMargin) });
}

bool EngineRetirement::isUsableAt(const WeightsVersion& weights, TimePoint time) const
{
    const auto until = usableUntil(weights);
    return !until || time < *until;
}

std::optional<TimePoint> EngineRetirement::proceed(const WeightsVersion& loaded, const EngineReport& report, bool isLoading)
{
    const auto now = monotonicNow();
    const auto limit = loaded.version != 0 ? usableUntil(loaded) : std::nullopt;
    m_isClosing = limit && now >= *limit;
    if (!limit || m_isOrdering || report.isOrderRunning)
        return std::nullopt;
    if (!m_isClosing)
        return limit;
    const auto orderAt = std::max(m_orderFrom, *limit + closingMargin - (isLoading ? orderMarginBeforeLoad : orderMargin));
    if (now < orderAt)
        return orderAt;
    sendOrder(loaded, report, *limit);
    return std::nullopt;
}

void EngineRetirement::sendOrder(const WeightsVersion& loaded, const EngineReport& report, TimePoint limit)
{
    m_isOrdering = true;
    m_context.metrics.count("engine_retirements_total");
    m_context.log.write("engine.retiring", { { "model", loaded.model }, { "held", std::to_string(loaded.version) }, { "late_ms", std::to_string(millisecondsBetween(limit, monotonicNow())) }, { "running", std::to_string(report.runningCalls) }, { "waiting", std::to_string(report.waitingCalls) } });
    m_engine.retire({ loaded, report.orderSequence }, [this, loaded, limit](OrderResult result) { recordResult(loaded, result, limit); });
}

void EngineRetirement::recordResult(const WeightsVersion& loaded, OrderResult result, TimePoint limit)
{
    m_isOrdering = false;
    if (result == OrderResult::Begun)
        return;
    const auto now = monotonicNow();
    if (now >= limit + closingMargin)
        m_orderFrom = now + repeatDelay;
    m_context.log.write("engine.retirement-failed", { { "held", std::to_string(loaded.version) }, { "result", orderResultName(result) } });
}

}
