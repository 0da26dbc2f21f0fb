#pragma once

#include "../routing/Refusal.h"

namespace hyssopwick {

/// How an attempt at an upstream failed.
enum class AttemptFailure {
    NotSent, ///< no byte of the call left this VM
    Refused, ///< the agent answered that the call was not run
    Lost, ///< the call was sent and no whole answer came
    StreamBroken, ///< a streamed answer broke off
};

/// Returns the counter label of a failure, for example "not-sent".
const char* attemptFailureName(AttemptFailure failure);

/// Retries allowed to a process: each first attempt earns a part of a retry, so
/// that retries add a bounded load when upstreams fail. Pure.
class RetryBudget {
public:
    RetryBudget() = default;

    /// \param perFirstAttempt  retries that a first attempt earns
    /// \param capacity         retries that can be saved up
    RetryBudget(double perFirstAttempt, double capacity)
        : m_perFirstAttempt(perFirstAttempt)
        , m_capacity(capacity)
        , m_tokens(capacity)
    {
    }

    /// Changes what can be saved up, for example when the budget is shared by more nodes.
    void setCapacity(double capacity);

    /// Earns the part of a retry that a first attempt is worth.
    void recordFirstAttempt();

    /// Takes one retry; returns false when the budget is spent.
    bool tryTake();

private:
    double m_perFirstAttempt = 0.1;
    double m_capacity = 20;
    double m_tokens = 10;
};

/// What to do after a failed attempt.
struct RetryVerdict {
    bool isRetry = false;
    TimePoint notBefore; ///< when to try again
    Refusal refusal; ///< the final answer otherwise
};

/// Decides whether a failed attempt may be tried again: only what is known not to
/// have run or is idempotent, within budget and deadline, with full jitter. Pure.
/// \param attempt       number of attempts made, at least 1
/// \param isIdempotent  the call may run more than once
RetryVerdict decideRetry(AttemptFailure failure, bool isIdempotent, unsigned attempt, TimePoint deadline, RetryBudget& budget,
    RandomSource& random, TimePoint now);

}
