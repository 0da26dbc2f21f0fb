#pragma once

#include "EngineClient.h"

namespace hyssopwick {

/// Takes the engine of this VM out of service when no call may begin on its weights any more.
///
/// Entry VMs stop sending to such an engine and take back the calls that wait there, but a call, or the end of its
/// connection, that a network or a late process holds up reaches the engine after that. Without whole weights the engine begins
/// none, whatever arrives.
class EngineRetirement {
public:
    EngineRetirement(GatewayContext& context, EngineClient& engine);

    /// Records a version of the engine's weights.
    /// \param earliestPublication  the earliest time at which it may have been published
    void addVersion(const WeightsVersion& version, TimePoint earliestPublication);

    /// Returns whether calls may begin on \p weights at \p time, as far as is known.
    bool isUsableAt(const WeightsVersion& weights, TimePoint time) const;

    /// Orders the engine to give up \p loaded, if their time has come. Call with each report, and at the time returned,
    /// also without a report: an engine that is late to report may still begin calls.
    /// \param isLoading  whether the engine is about to load a newer version
    /// \return when to call this next, or nothing while no newer version is known
    std::optional<TimePoint> proceed(const WeightsVersion& loaded, const EngineReport& report, bool isLoading);

    /// Returns whether the engine is to get no further calls until its next load.
    bool isClosing() const { return m_isClosing; }

private:
    std::optional<TimePoint> usableUntil(const WeightsVersion& weights) const;
    void sendOrder(const WeightsVersion& loaded, const EngineReport& report, TimePoint limit);
    void recordResult(const WeightsVersion& loaded, OrderResult result, TimePoint limit);

    GatewayContext& m_context;
    EngineClient& m_engine;
    OldWeightsBounds m_bounds { monotonicNow() };
    bool m_isClosing = false;
    bool m_isOrdering = false;
    TimePoint m_orderFrom; // not before, after an order that had no effect
};

}
