#include "../TestSupport.h"

#include <entry/RetryObstacle.h>

using namespace hyssopwick;

TEST_GROUP(RetryObstacle)
{
    CallRoute route;

    void setup() override
    {
        route.kind = CallKind::Idempotent;
        route.maxUpstreams = 2;
    }

    RetryObstacle find(AttemptFailure failure, unsigned sentAttempts = 1, int now = 0) const { return findRetryObstacle(failure, route, sentAttempts, at(1000), at(now)); }
};

TEST(RetryObstacle, ACallThatNoUpstreamReceivedMayAlwaysBeSent)
{
    route.kind = CallKind::AtMostOnce;
    CHECK(find(AttemptFailure::NotSent, 2, 1000) == RetryObstacle::None);
}

TEST(RetryObstacle, ACallThatMayRunOnlyOnceIsSentAgainAfterARefusalOnly)
{
    for (const auto kind : { CallKind::AtMostOnce, CallKind::Stream }) {
        route.kind = kind;
        CHECK(find(AttemptFailure::Refused) == RetryObstacle::None);
        CHECK(find(AttemptFailure::Lost) == RetryObstacle::NotRepeatable);
        CHECK(find(AttemptFailure::StreamBroken) == RetryObstacle::NotRepeatable);
    }
    route.isResumable = true;
    CHECK(find(AttemptFailure::StreamBroken) == RetryObstacle::None);
}

TEST(RetryObstacle, AttemptsAndTimeAreBounded)
{
    CHECK(find(AttemptFailure::Lost, 1, 999) == RetryObstacle::None);
    CHECK(find(AttemptFailure::Lost, 2, 999) == RetryObstacle::AttemptsUsed);
    CHECK(find(AttemptFailure::Refused, 2, 999) == RetryObstacle::AttemptsUsed);
    CHECK(find(AttemptFailure::Lost, 1, 1000) == RetryObstacle::DeadlinePassed);
    STRCMP_EQUAL("deadline-passed", retryObstacleName(find(AttemptFailure::Lost, 1, 1000)));
}
