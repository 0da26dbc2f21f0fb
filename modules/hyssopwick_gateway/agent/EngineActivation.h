#pragma once

#include "WeightsSwarm.h"

namespace hyssopwick {

/// Puts one complete version into service on the engine of this VM: stages its chunks,
/// waits for its slot in the activation order, verifies the staged chunks again right before
/// the order to load, since they may have become corrupt, and watches the load. An order that is
/// late, for example because the VM was suspended, is not sent before another verification. Running calls
/// are not moved to other engines: the engine finishes them before it loads.
class EngineActivation : public std::enable_shared_from_this<EngineActivation> {
public:
    enum class Phase {
        Staging,
        Waiting, ///< for its slot in the activation order
        Draining, ///< gets no further calls; the staged chunks are verified meanwhile
        Ordered,
        Failed, ///< the version has to be fetched or ordered again
    };

    EngineActivation(GatewayContext& context, EngineClient& engine, std::shared_ptr<WeightsSwarm> swarm);

    /// Returns how long an engine is typically out of service for an activation.
    static Milliseconds typicalTime(const EngineSpeed& speed);

    /// Returns how long before the order an engine stops getting calls, so that none is in
    /// flight then. Zero for an engine without weights and calls, since entries send it none.
    static Milliseconds drainingTime(const EngineReport& report);

    /// \param mayLoad   called before the order; returns whether it is this engine's slot
    /// \param onChange  called when the phase changed
    void start(std::function<bool()> mayLoad, std::function<void()> onChange);

    /// Continues if mayLoad allows it. Call when something that mayLoad depends on changed.
    void proceed();

    void recordReport(const EngineReport& report);

    void stop() { m_isStopped = true; }

    Phase phase() const { return m_phase; }
    const WeightsVersion& weights() const { return m_swarm->weights(); }
    /// Returns whether the engine gets no calls because of this activation.
    bool isLoading() const { return m_phase == Phase::Draining || m_phase == Phase::Ordered; }

private:
    void enter(Phase phase);
    void stage(unsigned chunk);
    void verify(unsigned chunk);
    void scheduleOrder();
    void sendOrder();
    void recordOrderResult(OrderResult result);
    void returnToWaiting(const char* reason);

    GatewayContext& m_context;
    EngineClient& m_engine;
    std::shared_ptr<WeightsSwarm> m_swarm;
    std::function<bool()> m_mayLoad;
    std::function<void()> m_onChange;
    Phase m_phase = Phase::Staging;
    EngineReport m_report;
    std::uint64_t m_sequenceBeforeOrder = 0;
    TimePoint m_drainingSince;
    TimePoint m_verificationValidUntil;
    TimePoint m_orderedAt;
    bool m_isStopped = false;
};

}
