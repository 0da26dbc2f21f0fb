#pragma once

#include "EngineModel.h"

namespace hyssopwick {

/// A load on a pool of engines that several entries share.
struct LoadSimulationSettings {
    unsigned entries = 18;
    unsigned engines = 24;
    EngineSpeed speed;
    Milliseconds objective { 450 };
    Milliseconds deadline { 6000 };
    double callsPerSecond = 150;
    Milliseconds pollPeriod { 80 }; ///< in which an agent asks its engine, as AgentGateway does
    Milliseconds reportPeriod { 200 }; ///< in which it tells the entries, if little has changed
    int callsWorthReport = 3; ///< a change that it tells at once
    Milliseconds length { 20000 };
    Milliseconds burstFrom { 0 }; ///< when the rate is multiplied
    Milliseconds burstUntil { 0 };
    double burstFactor = 1;
    Milliseconds enginesFrom { 0 }; ///< when the engines come into service
    bool usesQueue = true; ///< false: calls go to the chosen engine at once
};

/// What callers got.
struct LoadSimulationResult {
    unsigned calls = 0;
    unsigned inTime = 0;
    unsigned late = 0;
    unsigned refused = 0;
    unsigned refusedAfterWaiting = 0; ///< of those refused: later than an eighth of the objective
    unsigned givenUp = 0; ///< not answered at the deadline
    double medianPredictionError = 0; ///< |predicted - seen| / seen of first events

    double shareInTime() const { return double(inTime) / calls; }
    double shareServed() const { return double(inTime + late) / calls; }
};

/// Simulates a load in virtual time with the decisions of the entry VMs.
LoadSimulationResult simulateLoad(const LoadSimulationSettings& settings, std::uint64_t seed);

}
