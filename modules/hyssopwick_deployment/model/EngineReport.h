#pragma once

#include <cstdint>
#include <hyssopwick_core.h>
#include <map>

namespace hyssopwick {

/// What a model engine says of itself.
struct EngineReport {
    std::uint64_t orderSequence = 0; ///< orders that it has begun since its start
    bool isOrderRunning = false;
    unsigned waitingCalls = 0;
    unsigned runningCalls = 0;
    double usedTokens = 0; ///< memory that cannot be freed, in tokens times layers
    double tokenCapacity = 0; ///< in the same unit
    double pendingPromptTokens = 0; ///< estimate of what running calls have left of their prompts; no engine tells it (PrefillEstimate)
    double slowdownFactor = 1; ///< 1 for a healthy engine, more for a slow one
    UnixMilliseconds startedAt = 0; ///< when the engine started
    std::map<std::string, std::uint64_t> loadedVersions; ///< model to version, only models that are loaded in full

    auto tied() const
    {
        return std::tie(orderSequence, isOrderRunning, waitingCalls, runningCalls, usedTokens, tokenCapacity, pendingPromptTokens, slowdownFactor, startedAt, loadedVersions);
    }
    bool operator==(const EngineReport& other) const { return tied() == other.tied(); }
    bool operator!=(const EngineReport& other) const { return !(*this == other); }
};

}
