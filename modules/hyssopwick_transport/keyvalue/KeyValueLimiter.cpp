#include "KeyValueLimiter.h"

#include <algorithm>

namespace hyssopwick {

namespace {

    // Share of the token bucket that must remain after a call of this priority.
    double reservedShare(KeyValuePriority priority)
    {
        switch (priority) {
        case KeyValuePriority::Claim:
        case KeyValuePriority::Head:
            return 0;
        case KeyValuePriority::Lease:
            return 0.1;
        case KeyValuePriority::Background:
            return 0.4;
        }
        return 0;
    }

}

KeyValueLimiterDecision::KeyValueLimiterDecision(KeyValueLimits limits, std::uint64_t seed, TimePoint now)
    : m_limits(limits)
    , m_random(seed)
    , m_tokens(limits.burst)
    , m_refilledAt(now)
    , m_openUntil(now)
{
}

void KeyValueLimiterDecision::refill(TimePoint now)
{
    const double seconds = std::chrono::duration<double>(now - m_refilledAt).count();
    m_tokens = std::min(m_limits.burst, m_tokens + seconds * m_limits.callsPerSecond);
    m_refilledAt = now;
}

KeyValueRefusal KeyValueLimiterDecision::tryAcquire(KeyValuePriority priority, TimePoint now)
{
    refill(now);
    if (m_failures >= m_limits.failuresToOpen) {
        if (now < m_openUntil || m_isProbing)
            return KeyValueRefusal::CircuitOpen;
        m_isProbing = true;
    }
    if (m_tokens - 1 < reservedShare(priority) * m_limits.burst) {
        m_isProbing = false;
        return KeyValueRefusal::Budget;
    }
    m_tokens -= 1;
    return KeyValueRefusal::None;
}

void KeyValueLimiterDecision::recordResult(bool isSuccess, TimePoint now)
{
    m_isProbing = false;
    if (isSuccess) {
        m_failures = 0;
        return;
    }
    ++m_failures;
    if (m_failures < m_limits.failuresToOpen)
        return;
    const auto doublings = std::min(m_failures - m_limits.failuresToOpen, 10u);
    const auto ceiling = std::min<std::int64_t>(m_limits.maxDelay.count(), m_limits.initialDelay.count() << doublings);
    const auto delay = ceiling / 2 + static_cast<std::int64_t>(m_random.below(static_cast<std::uint64_t>(ceiling / 2 + 1)));
    m_openUntil = now + Milliseconds(delay);
}

KeyValueLimiter::KeyValueLimiter(KeyValueStore& store, KeyValueLimits limits, std::uint64_t seed, MetricsRegistry& metrics)
    : m_store(store)
    , m_metrics(metrics)
    , m_decision(limits, seed, monotonicNow())
{
}

template <typename Call>
auto KeyValueLimiter::callIfAllowed(KeyValuePriority priority, const char* kind, Call call) -> decltype(call())
{
    KeyValueRefusal refusal = KeyValueRefusal::None;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        refusal = m_decision.tryAcquire(priority, monotonicNow());
    }
    if (refusal == KeyValueRefusal::Budget) {
        m_metrics.count("keyvalue_refusals_total", "budget");
        return failure(ErrorCode::RateLimited, "key-value budget of this process is spent");
    }
    if (refusal == KeyValueRefusal::CircuitOpen) {
        m_metrics.count("keyvalue_refusals_total", "circuit-open");
        return failure(ErrorCode::Unavailable, "key-value service is failing; calls are paused");
    }
    m_metrics.count("keyvalue_calls_total", kind);
    auto result = call();
    std::lock_guard<std::mutex> lock(m_mutex);
    m_decision.recordResult(result.has_value(), monotonicNow());
    return result;
}

Outcome<KeyValue> KeyValueLimiter::read(const std::string& key, KeyValuePriority priority)
{
    return callIfAllowed(priority, "read", [&] { return m_store.read(key); });
}

Outcome<KeyValue> KeyValueLimiter::watch(const std::string& key, KeyRevision after, TimePoint deadline, KeyValuePriority priority)
{
    return callIfAllowed(priority, "watch", [&] { return m_store.watch(key, after, deadline); });
}

Outcome<SwapResult> KeyValueLimiter::swap(const std::string& key, KeyRevision expected, const std::string& value, Milliseconds timeToLive,
    KeyValuePriority priority)
{
    return callIfAllowed(priority, "swap", [&] { return m_store.swap(key, expected, value, timeToLive); });
}

Outcome<SwapResult> KeyValueLimiter::remove(const std::string& key, KeyRevision expected, KeyValuePriority priority)
{
    return callIfAllowed(priority, "remove", [&] { return m_store.remove(key, expected); });
}

Outcome<std::vector<std::string>> KeyValueLimiter::list(const std::string& prefix, KeyValuePriority priority)
{
    return callIfAllowed(priority, "list", [&] { return m_store.list(prefix); });
}

}
