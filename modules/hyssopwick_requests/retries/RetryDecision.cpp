#include "RetryDecision.h"

#include <algorithm>

namespace hyssopwick {

namespace {
    constexpr unsigned maxAttempts = 4;
    constexpr std::int64_t initialDelayMilliseconds = 10;
    constexpr std::int64_t maxDelayMilliseconds = 400;
    constexpr Milliseconds retryAfterFailure { 500 };

    RunState runStateAfter(AttemptFailure failure)
    {
        switch (failure) {
        case AttemptFailure::NotSent:
        case AttemptFailure::Refused:
            return RunState::NotRun;
        case AttemptFailure::Lost:
            return RunState::Unknown;
        case AttemptFailure::StreamBroken:
            return RunState::Partial;
        }
        return RunState::Unknown;
    }

    RefusalReason reasonFor(AttemptFailure failure)
    {
        switch (failure) {
        case AttemptFailure::NotSent:
        case AttemptFailure::Lost:
            return RefusalReason::UpstreamFailed;
        case AttemptFailure::Refused:
            return RefusalReason::UpstreamBusy;
        case AttemptFailure::StreamBroken:
            return RefusalReason::StreamBroken;
        }
        return RefusalReason::UpstreamFailed;
    }
}

const char* attemptFailureName(AttemptFailure failure)
{
    switch (failure) {
    case AttemptFailure::NotSent:
        return "not-sent";
    case AttemptFailure::Refused:
        return "refused";
    case AttemptFailure::Lost:
        return "lost";
    case AttemptFailure::StreamBroken:
        return "stream-broken";
    }
    return "lost";
}

void RetryBudget::recordFirstAttempt() { m_tokens = std::min(m_capacity, m_tokens + m_perFirstAttempt); }

void RetryBudget::setCapacity(double capacity)
{
    m_capacity = capacity;
    m_tokens = std::min(m_tokens, capacity);
}

bool RetryBudget::tryTake()
{
    if (isSpent())
        return false;
    m_tokens -= 1;
    return true;
}

RetryVerdict decideRetry(AttemptFailure failure, bool isIdempotent, unsigned attempt, TimePoint deadline, RetryBudget& budget,
    RandomSource& random, TimePoint now)
{
    const auto run = runStateAfter(failure);
    RetryVerdict verdict;
    verdict.refusal = { reasonFor(failure), run, retryAfterFailure, "", {} };
    if (run != RunState::NotRun && !isIdempotent) {
        verdict.refusal.reason = RefusalReason::OutcomeUnknown;
        verdict.refusal.retryAfter = Milliseconds(0);
        return verdict;
    }
    if (attempt >= maxAttempts)
        return verdict;
    const auto delayLimit = std::min(maxDelayMilliseconds, initialDelayMilliseconds << std::min(attempt, 8u));
    const auto delay = Milliseconds(random.below(static_cast<std::uint64_t>(delayLimit) + 1));
    if (now + delay >= deadline) {
        verdict.refusal.reason = RefusalReason::DeadlinePassed;
        return verdict;
    }
    if (!budget.tryTake()) {
        verdict.refusal.reason = RefusalReason::RetryBudgetSpent;
        return verdict;
    }
    verdict.isRetry = true;
    verdict.notBefore = now + delay;
    return verdict;
}

}
