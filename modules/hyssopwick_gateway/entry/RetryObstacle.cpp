#include "RetryObstacle.h"

#include "CallAdmission.h"

namespace hyssopwick {

const char* retryObstacleName(RetryObstacle obstacle)
{
    switch (obstacle) {
    case RetryObstacle::None:
        return "none";
    case RetryObstacle::NotRepeatable:
        return "not-repeatable";
    case RetryObstacle::AttemptsUsed:
        return "attempts-used";
    case RetryObstacle::DeadlinePassed:
        return "deadline-passed";
    case RetryObstacle::BudgetSpent:
        return "budget-spent";
    }
    return "none";
}

RetryObstacle findRetryObstacle(AttemptFailure failure, const CallRoute& route, unsigned sentAttempts, TimePoint deadline, TimePoint now)
{
    if (failure == AttemptFailure::NotSent)
        return RetryObstacle::None;
    if (failure != AttemptFailure::Refused && !mayRunAgain(route))
        return RetryObstacle::NotRepeatable;
    if (sentAttempts >= route.maxUpstreams)
        return RetryObstacle::AttemptsUsed;
    return now < deadline ? RetryObstacle::None : RetryObstacle::DeadlinePassed;
}

}
