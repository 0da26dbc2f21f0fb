#pragma once

#include "../routing/Refusal.h"

namespace hyssopwick {

/// How an attempt at an upstream failed.
enum class AttemptFailure {
    NotSent, ///< no byte of the call left this VM
    Refused, ///< the agent answered that the call was not run
    Lost, ///< the call was sent but no complete answer arrived
    StreamBroken, ///< a streamed answer broke off
};

/// Returns the label of a failure in counters, for example "not-sent".
const char* attemptFailureName(AttemptFailure failure);

/// Limits the retries of a process: each first attempt earns a fraction of a retry, so
/// that retries add only a bounded load when upstreams fail. Pure.
class RetryBudget {
public:
    RetryBudget() = default;

    /// \param perFirstAttempt  fraction of a retry that a first attempt earns
    /// \param capacity         how many retries can accumulate
    RetryBudget(double perFirstAttempt, double capacity)
        : m_perFirstAttempt(perFirstAttempt)
        , m_capacity(capacity)
        , m_tokens(capacity)
    {
    }

    /// Changes how many retries can accumulate, for example when more entry VMs share the budget.
    void setCapacity(double capacity);

    void recordFirstAttempt();

    /// Returns whether no retry is left.
    bool isSpent() const { return m_tokens < 1; }

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
    TimePoint notBefore; ///< when to retry
    Refusal refusal; ///< the final answer if there is no retry
};

/// Decides whether to retry a failed attempt: only if the call is idempotent or is known
/// not to have run, within budget and deadline, after a delay with full jitter. Pure.
/// \param attempt       number of attempts made, at least 1
/// \param isIdempotent  the call may run more than once
RetryVerdict decideRetry(AttemptFailure failure, bool isIdempotent, unsigned attempt, TimePoint deadline, RetryBudget& budget,
    RandomSource& random, TimePoint now);

}
