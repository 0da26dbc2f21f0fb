#pragma once

#include <hyssopwick_deployment.h>
#include <hyssopwick_requests.h>

namespace hyssopwick {

/// Why a failed attempt is not followed by another one.
enum class RetryObstacle {
    None,
    NotRepeatable, ///< the upstream may have run the call, which may run only once
    AttemptsUsed,
    DeadlinePassed,
    BudgetSpent,
};

/// Returns the name of an obstacle in log lines, for example "budget-spent".
const char* retryObstacleName(RetryObstacle obstacle);

/// Returns what prevents another attempt of a call, the retry budget aside. Pure.
/// \param sentAttempts  attempts that may have reached an upstream, the failed one included
RetryObstacle findRetryObstacle(AttemptFailure failure, const CallRoute& route, unsigned sentAttempts, TimePoint deadline, TimePoint now);

}
