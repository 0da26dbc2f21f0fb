#pragma once

#include "WeightsSwarm.h"

namespace hyssopwick {

/// Puts one complete version into service on the engine of this VM: stages its chunks,
/// waits for its turn, checks the staged chunks again right before the order, since they
/// may have turned bad, and watches the load. Calls that run stay where they are: the engine
/// ends them before it loads.
class EngineActivation : public std::enable_shared_from_this<EngineActivation> {
public:
    enum class Phase {
        Staging,
        Waiting, ///< for its turn
        Closing, ///< gets no further calls; the staged chunks are checked meanwhile
        Ordered,
        Failed, ///< the version has to be fetched or ordered anew
    };

    EngineActivation(GatewayContext& context, EngineClient& engine, std::shared_ptr<WeightsSwarm> swarm);

    /// Returns how long an engine is usually out of service for this.
    static Milliseconds usualTime(const EngineSpeed& speed);

    /// Returns how long an engine gets no further calls before the order, so that none is
    /// on its way then. One without weights is sent none.
    static Milliseconds closingTime(const EngineReport& report);

    /// Begins. \param mayLoad  asked before the order; \param onChange  called when the phase changed
    void start(std::function<bool()> mayLoad, std::function<void()> onChange);

    /// Goes on if it is this engine's turn. Call when something changed that mayLoad depends on.
    void proceed();

    /// Takes over what the engine reports.
    void recordReport(const EngineReport& report);

    void stop() { m_isStopped = true; }

    Phase phase() const { return m_phase; }
    const WeightsVersion& weights() const { return m_swarm->weights(); }
    /// Returns whether the engine leaves service because of this.
    bool isLoading() const { return m_phase == Phase::Closing || m_phase == Phase::Ordered; }

private:
    void enter(Phase phase);
    void stage(unsigned chunk);
    void check(unsigned chunk);
    void orderWhenClosed();
    void giveOrder();

    GatewayContext& m_context;
    EngineClient& m_engine;
    std::shared_ptr<WeightsSwarm> m_swarm;
    std::function<bool()> m_mayLoad;
    std::function<void()> m_onChange;
    Phase m_phase = Phase::Staging;
    EngineReport m_report;
    std::uint64_t m_sequenceBeforeOrder = 0;
    TimePoint m_closedAt;
    TimePoint m_orderedAt;
    bool m_isStopped = false;
};

}
