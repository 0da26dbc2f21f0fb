#pragma once

#include <cstdint>
#include <hyssopwick_core.h>
#include <map>

namespace hyssopwick {

/// State of a model engine, as it reports it.
struct EngineReport {
    std::uint64_t orderSequence = 0; ///< number of orders that it has begun since its start
    bool isOrderRunning = false;
    unsigned waitingCalls = 0;
    unsigned runningCalls = 0;
    double usedTokens = 0; ///< memory that cannot be freed, in tokens times layers
    double tokenCapacity = 0; ///< in the same unit
    double pendingPromptTokens = 0; ///< of running calls, not prefilled yet; an estimate (PrefillEstimate), since engines do not report it
    double slowdownFactor = 1; ///< 1 for a healthy engine, above 1 for a slow one
    UnixMilliseconds startedAt = 0;
    Milliseconds coldLeft { 0 }; ///< how long it is still cold
    bool isLeaving = false; ///< accepts no further calls and ends soon
    std::map<std::string, std::uint64_t> loadedVersions; ///< by model, only fully loaded ones

    auto tied() const
    {
        return std::tie(orderSequence, isOrderRunning, waitingCalls, runningCalls, usedTokens, tokenCapacity, pendingPromptTokens, slowdownFactor, startedAt, coldLeft, isLeaving, loadedVersions);
    }
    bool operator==(const EngineReport& other) const { return tied() == other.tied(); }
    bool operator!=(const EngineReport& other) const { return !(*this == other); }
};

}
