#pragma once

#include "EngineModel.h"

namespace hyssopwick {

/// A load on a pool of engines that several entry VMs share.
struct LoadSimulationSettings {
    unsigned entries = 18;
    unsigned engines = 24;
    EngineSpeed speed;
    Milliseconds objective { 450 };
    Milliseconds deadline { 6000 };
    double callsPerSecond = 150;
    Milliseconds pollPeriod { 80 }; ///< between an agent's queries to its engine, as in AgentGateway
    Milliseconds reportPeriod { 200 }; ///< between an agent's reports to the entry VMs, without a larger change
    int minReportedChange = 3; ///< change in the number of calls that is reported immediately
    Milliseconds length { 20000 };
    Milliseconds burstFrom { 0 }; ///< start of the burst, which multiplies the rate by burstFactor
    Milliseconds burstUntil { 0 };
    double burstFactor = 1;
    Milliseconds enginesFrom { 0 }; ///< when the engines start serving
    Milliseconds outageFrom { 0 }; ///< start of a loss of power of all engines, whose calls end
    Milliseconds outageUntil { 0 };
    bool callersReturn = false; ///< a refused caller returns once, after a third of its time at the latest
    bool returnsCountAsNew = false; ///< an entry gives a returned call a whole new objective, unless it can tell its age
    bool callersStateTimeouts = false; ///< callers state how long they will still wait
    double shortestPatience = 1; ///< callers wait for at least this part of the deadline, uniformly up to all of it
    bool entriesRestart = false; ///< all entries lose their state and their calls, whose callers return, when the outage begins
    Milliseconds settledAfter { 0 }; ///< after the outage; from then on, completed calls are counted apart
    bool usesQueue = true; ///< false: calls go to the chosen engine immediately
};

/// Outcomes of the simulated calls.
struct LoadSimulationResult {
    unsigned calls = 0;
    unsigned inTime = 0; ///< first event within the objective
    unsigned late = 0;
    unsigned refused = 0;
    unsigned refusedAfterWaiting = 0; ///< part of refused: after more than an eighth of the objective
    unsigned timedOut = 0; ///< not answered by the deadline
    unsigned broken = 0; ///< ended by the loss of power
    unsigned returned = 0; ///< callers that returned after a refusal
    unsigned refusedAgain = 0; ///< part of refused: callers that had returned
    unsigned settledCompleted = 0; ///< calls that engines completed within 3 s from LoadSimulationSettings::settledAfter
    unsigned settledInTime = 0; ///< part of settledCompleted that was in time
    double medianPredictionError = 0; ///< |predicted - observed| / observed time to the first event

    double shareInTime() const { return double(inTime) / calls; }
    double shareServed() const { return double(inTime + late) / calls; }
};

/// Simulates a load in virtual time with the real queue and routing decisions of entry VMs.
LoadSimulationResult simulateLoad(const LoadSimulationSettings& settings, std::uint64_t seed);

}
