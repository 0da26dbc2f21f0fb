#pragma once

#include "KeyValueStore.h"

#include <mutex>

namespace hyssopwick {

/// Priority of a call to the key-value service, highest first; Claim and Head are equal.
enum class KeyValuePriority {
    Claim,
    Head,
    Lease,
    Background,
};

/// Why the limiter refused a call.
enum class KeyValueRefusal {
    None,
    Budget,
    CircuitOpen,
};

/// Limits of a KeyValueLimiter.
struct KeyValueLimits {
    double callsPerSecond = 20;
    double burst = 20;
    unsigned failuresToOpen = 3;
    Milliseconds initialDelay { 200 };
    Milliseconds maxDelay { 5000 };
};

/// Decides whether this process may call the key-value service now: a token
/// bucket of which lower priorities may use only a part, and a circuit breaker with
/// exponential backoff and equal jitter (Brooker, "Exponential Backoff And Jitter",
/// 2015). Pure: no clock, no I/O, no thread.
class KeyValueLimiterDecision {
public:
    KeyValueLimiterDecision(KeyValueLimits limits, std::uint64_t seed, TimePoint now);

    /// Takes a token if the call may be made now.
    KeyValueRefusal tryAcquire(KeyValuePriority priority, TimePoint now);

    /// Records the end of a call.
    void recordResult(bool isSuccess, TimePoint now);

    /// Returns when the open circuit breaker lets a probe pass.
    TimePoint openUntil() const { return m_openUntil; }

private:
    void refill(TimePoint now);

    KeyValueLimits m_limits;
    RandomSource m_random;
    double m_tokens;
    TimePoint m_refilledAt;
    TimePoint m_openUntil;
    unsigned m_failures = 0;
    bool m_isProbing = false;
};

/// Passes every call of a process to the key-value service through one
/// KeyValueLimiterDecision and counts refusals by reason. Thread-safe.
class KeyValueLimiter {
public:
    KeyValueLimiter(KeyValueStore& store, KeyValueLimits limits, std::uint64_t seed, MetricsRegistry& metrics);

    Outcome<KeyValue> read(const std::string& key, KeyValuePriority priority);
    Outcome<KeyValue> watch(const std::string& key, KeyRevision after, TimePoint deadline, KeyValuePriority priority);
    Outcome<SwapResult> swap(const std::string& key, KeyRevision expected, const std::string& value, Milliseconds timeToLive,
        KeyValuePriority priority);
    Outcome<SwapResult> remove(const std::string& key, KeyRevision expected, KeyValuePriority priority);
    Outcome<std::vector<std::string>> list(const std::string& prefix, KeyValuePriority priority);

private:
    template <typename Call>
    auto callIfAllowed(KeyValuePriority priority, const char* kind, Call call) -> decltype(call());

    KeyValueStore& m_store;
    MetricsRegistry& m_metrics;
    std::mutex m_mutex; // guards m_decision
    KeyValueLimiterDecision m_decision;
};

}
