#pragma once

#include "EngineModel.h"

namespace hyssopwick {

/// Streams of one kind that arrive at a pool of engines.
struct StreamLoad {
    unsigned priority = 0;
    Milliseconds objective { 400 }; ///< until the first event
    double promptTokens = 1000; ///< mean
    double answerTokens = 100; ///< mean
    double callsPerSecond = 100;
};

/// Loads on a pool of engines that entry VMs share without a common queue, while agents divide
/// the engines (EngineDivision).
struct PoolSimulationSettings {
    unsigned entries = 62;
    unsigned engines = 52;
    unsigned regions = 3;
    EngineSpeed speed;
    std::vector<StreamLoad> kinds;
    Milliseconds length { 12000 }; ///< of the arrivals
    Milliseconds callerTimeout { 6000 };
    bool callersReturn = true; ///< a refused caller returns once, after a third of its time at the latest
    std::size_t burstKind = 0; ///< arrives at burstFactor times its rate from burstFrom to burstUntil
    double burstFactor = 1;
    Milliseconds burstFrom { 0 };
    Milliseconds burstUntil { 0 };
    double movedShare = 0; ///< part of the calls that moves to a third of the entry VMs
    Milliseconds moveFrom { 0 };
    Milliseconds moveUntil { 0 };
    bool isDivided = true; ///< agents state shares and the level; otherwise engines are divided evenly
    bool usesLevel = true; ///< agents state the level
    bool usesCommonQueue = false; ///< one entry VM gets all calls: the bound of any division
    Milliseconds messageDelay { 1 };
    double messageLoss = 0.001;
};

/// What became of a call.
struct CallOutcome {
    std::size_t kind = 0;
    Milliseconds arrivedAt { 0 }; ///< since the start
    double promptTokens = 0;
    bool isInTime = false;
    bool isServed = false;
    bool hasReturned = false; ///< was refused once
    bool isRefusedAgain = false;
};

struct PoolSimulationResult {
    std::vector<CallOutcome> calls;
    std::uint64_t subscriptions = 0; ///< sent by all entry VMs
    std::uint64_t updates = 0; ///< sent by all agents

    using Filter = std::function<bool(const CallOutcome&)>;
    double shareInTime(const Filter& filter) const;
    double shareServed(const Filter& filter) const;
    /// Returns the part of the returned calls that was refused again.
    double shareRefusedAgain() const;
};

/// Simulates a load in virtual time with the real decisions of entry VMs and agents.
PoolSimulationResult simulatePool(const PoolSimulationSettings& settings, std::uint64_t seed);

}
