#include "EngineActivation.h"

namespace hyssopwick {

namespace {
    // Within this time the update that an engine is closing reaches all entries, over the longest
    // latency between regions too, and calls that were sent before it have arrived.
    constexpr Milliseconds typicalDrainingTime { 80 };
    // Longer than a load plus the longest running answer that the engine finishes before the load.
    constexpr Milliseconds maxLoadTime { 12000 };

    // Between the first read of a verification and the order. An engine may use a chunk that became
    // corrupt less than 3 s before it was loaded; the rest is for the order's way to the engine.
    constexpr Milliseconds verificationValidity { 2500 };

    const char* phaseName(EngineActivation::Phase phase)
    {
        switch (phase) {
        case EngineActivation::Phase::Staging:
            return "staging";
        case EngineActivation::Phase::Waiting:
            return "waiting";
        case EngineActivation::Phase::Draining:
            return "closing";
        case EngineActivation::Phase::Ordered:
            return "ordered";
        case EngineActivation::Phase::Failed:
            return "failed";
        }
        return "failed";
    }
}

EngineActivation::EngineActivation(GatewayContext& context, EngineClient& engine, std::shared_ptr<WeightsSwarm> swarm)
    : m_context(context)
    , m_engine(engine)
    , m_swarm(std::move(swarm))
{
}

Milliseconds EngineActivation::typicalTime(const EngineSpeed& speed)
{
    const double step = speed.stepMilliseconds + speed.slots * speed.perSequenceMilliseconds;
    return typicalDrainingTime + Milliseconds(static_cast<std::int64_t>(speed.typicalAnswerTokens * step + speed.loadMilliseconds));
}

Milliseconds EngineActivation::drainingTime(const EngineReport& report)
{
    const bool isEmpty = report.loadedVersions.empty() && report.runningCalls == 0 && report.waitingCalls == 0;
    return isEmpty ? Milliseconds(0) : typicalDrainingTime;
}

void EngineActivation::start(std::function<bool()> mayLoad, std::function<void()> onChange)
{
    m_mayLoad = std::move(mayLoad);
    m_onChange = std::move(onChange);
    stage(0);
}

void EngineActivation::enter(Phase phase)
{
    m_phase = phase;
    m_context.log.write("activation", { { "model", weights().model }, { "version", std::to_string(weights().version) }, { "phase", phaseName(phase) } });
    m_onChange();
}

void EngineActivation::stage(unsigned chunk)
{
    if (m_isStopped)
        return;
    if (chunk >= m_swarm->manifest()->chunks.size()) {
        enter(Phase::Waiting);
        return proceed();
    }
    m_swarm->readChunk(chunk, [self = shared_from_this(), chunk](Outcome<std::string> bytes) {
        if (!bytes) {
            self->m_context.log.write("staging.failed", { { "chunk", std::to_string(chunk) }, { "problem", bytes.error().message } });
            self->m_swarm->recordStagingCorrupt();
            return self->enter(Phase::Failed);
        }
        self->m_engine.writeStaged(self->weights().model, chunk, std::move(bytes.value()), [self, chunk](const Outcome<void>& written) {
            if (written)
                return self->stage(chunk + 1);
            self->m_context.log.write("staging.failed", { { "chunk", std::to_string(chunk) }, { "problem", written.error().message } });
            self->enter(Phase::Failed);
        });
    });
}

void EngineActivation::proceed()
{
    if (m_isStopped || m_phase != Phase::Waiting || !m_mayLoad())
        return;
    m_drainingSince = monotonicNow();
    m_verificationValidUntil = m_drainingSince + verificationValidity;
    enter(Phase::Draining);
    verify(0);
}

void EngineActivation::verify(unsigned chunk)
{
    if (m_isStopped)
        return;
    if (chunk >= m_swarm->manifest()->chunks.size())
        return scheduleOrder();
    m_engine.readStaged(weights().model, chunk, [self = shared_from_this(), chunk](const Outcome<std::string>& bytes) {
        if (bytes && Digest::of(bytes.value()) == self->m_swarm->manifest()->chunks[chunk])
            return self->verify(chunk + 1);
        self->m_context.metrics.count("staged_chunks_spoilt_total");
        self->m_context.log.write("staging.spoilt", { { "version", std::to_string(self->weights().version) }, { "chunk", std::to_string(chunk) }, { "problem", bytes ? "digest" : bytes.error().message } });
        self->m_swarm->recordStagingCorrupt();
        self->enter(Phase::Failed);
    });
}

void EngineActivation::scheduleOrder()
{
    const auto timer = std::make_shared<LoopTimer>(m_context.loop, m_drainingSince + drainingTime(m_report));
    timer->async_wait([self = shared_from_this(), timer](boost::system::error_code) { self->sendOrder(); });
}

void EngineActivation::sendOrder()
{
    if (m_isStopped)
        return;
    m_orderedAt = monotonicNow();
    if (m_orderedAt >= m_verificationValidUntil)
        return returnToWaiting("verification-expired");
    if (m_report.isOrderRunning)
        return returnToWaiting("order-running");
    m_sequenceBeforeOrder = m_report.orderSequence;
    enter(Phase::Ordered);
    m_engine.order({ weights(), m_sequenceBeforeOrder }, m_verificationValidUntil, [self = shared_from_this()](OrderResult result) {
        if (!self->m_isStopped)
            self->recordOrderResult(result);
    });
}

void EngineActivation::recordOrderResult(OrderResult result)
{
    if (result == OrderResult::Begun || result == OrderResult::AlreadyInEffect)
        return;
    m_context.log.write("order.failed", { { "version", std::to_string(weights().version) }, { "result", orderResultName(result) }, { "sequence", std::to_string(m_sequenceBeforeOrder) } });
    if (result == OrderResult::NotSent)
        return returnToWaiting("order-not-sent");
    // Without an answer the load may have begun; the next reports show whether it has.
    if (result != OrderResult::Unknown)
        enter(Phase::Failed);
}

// The slot may have been passed on meanwhile. The next report continues the activation.
void EngineActivation::returnToWaiting(const char* reason)
{
    m_context.metrics.count("orders_postponed_total", reason);
    m_context.log.write("order.postponed", { { "version", std::to_string(weights().version) }, { "reason", reason }, { "verification_age_ms", std::to_string(millisecondsBetween(m_drainingSince, monotonicNow())) } });
    enter(Phase::Waiting);
}

void EngineActivation::recordReport(const EngineReport& report)
{
    m_report = report;
    if (m_phase != Phase::Ordered)
        return;
    const auto held = report.loadedVersions.find(weights().model);
    if (held != report.loadedVersions.end() && held->second == weights().version) {
        m_swarm->recordStaged();
        return;
    }
    const auto now = monotonicNow();
    const bool isOrderDone = !report.isOrderRunning && report.orderSequence != m_sequenceBeforeOrder;
    const bool hasRestarted = report.orderSequence < m_sequenceBeforeOrder;
    if (hasRestarted || now > m_orderedAt + maxLoadTime || (isOrderDone && now > m_orderedAt + maxLoadTime / 2))
        enter(Phase::Failed);
}

}
