#include "../TestSupport.h"

#include <entry/CallAdmission.h>

using namespace hyssopwick;

TEST_GROUP(CallAdmission)
{
    DeploymentConfiguration configuration;
    ServerRequest request;
    CallDescription call;

    void setup() override
    {
        CallRoute route;
        route.name = "route";
        route.host = "a.example";
        route.pathPrefix = "/x/";
        route.priority = 3;
        route.latencyObjective = Milliseconds(100);
        route.targets = { { "plain", 1 } };
        configuration.routes = { route };
        configuration.services["plain"].name = "plain";
        configuration.accounts = { { "carrier", { "key" }, 1u } };
        request.method = "GET";
        request.host = "a.example";
        request.target = "/x/a";
        request.receivedAt = at(0);
        call.accountKey = "key";
    }

    // Checks that a call is accepted if the process stops at this time, and not if it stops earlier.
    void checkAcceptedUntil(int milliseconds) const
    {
        const RouteTable routes(configuration);
        const auto admitted = std::get<AdmittedCall>(admitCall(request, call, routes, 0.5));
        CHECK(endsBefore(at(milliseconds), admitted));
        CHECK_FALSE(endsBefore(at(milliseconds - 1), admitted));
    }

    CallAdmission admit() const { return admitCall(request, call, RouteTable(configuration), 0.5); }
};

TEST(CallAdmission, ACallWithoutARouteOrAKnownKeyIsRejected)
{
    call.accountKey = "other";
    auto admission = admit();
    LONGS_EQUAL(401, std::get<RejectedCall>(admission).status);
    CHECK(std::get<RejectedCall>(admission).route != nullptr);
    request.target = "/y/a";
    admission = admit();
    LONGS_EQUAL(404, std::get<RejectedCall>(admission).status);
    CHECK(std::get<RejectedCall>(admission).route == nullptr);
}

TEST(CallAdmission, TheAccountsPriorityOverridesTheRoutes)
{
    const RouteTable routes(configuration);
    const auto admitted = std::get<AdmittedCall>(admitCall(request, call, routes, 0.5));
    STRCMP_EQUAL("carrier", admitted.account.c_str());
    LONGS_EQUAL(1, admitted.priority);
    STRCMP_EQUAL("plain", admitted.service->name.c_str());
}

TEST(CallAdmission, TheEarlierOfTheCallersAndTheRoutesTimeIsTheDeadline)
{
    const auto deadline = [this] {
        const RouteTable routes(configuration);
        return std::get<AdmittedCall>(admitCall(request, call, routes, 0.5)).deadline;
    };
    CHECK(deadline() == at(10000)); // neither states one
    call.callerTimeout = Milliseconds(15000);
    CHECK(deadline() == at(15000));
    configuration.routes[0].answerTimeout = Milliseconds(6000);
    CHECK(deadline() == at(6000));
    call.callerTimeout = Milliseconds(4000);
    CHECK(deadline() == at(4000));
    call.callerTimeout.reset();
    CHECK(deadline() == at(6000));
}

// Guards against a call that a stopping process aborts because it took longer than expected.
TEST(CallAdmission, AStoppingProcessAcceptsWhatItWouldEndInTime)
{
    call.callerTimeout = Milliseconds(2500);
    configuration.routes[0].latencyObjective = Milliseconds(1);
    for (const auto kind : { CallKind::Idempotent, CallKind::Stream }) {
        configuration.routes[0].kind = kind;
        configuration.routes[0].isResumable = true;
        checkAcceptedUntil(2500);
    }
}

// Guards against a call that a stopping process aborts although its caller may not repeat it.
TEST(CallAdmission, AStoppingProcessAcceptsACallThatMayRunOnlyOnceIfItsTimeEndsBefore)
{
    call.callerTimeout = Milliseconds(2500);
    for (const auto kind : { CallKind::AtMostOnce, CallKind::Stream }) {
        configuration.routes[0].kind = kind;
        checkAcceptedUntil(2500);
    }
}

// Guards against a call that waits for an engine although none can ever hold it.
TEST(CallAdmission, ACallThatExceedsAnEnginesWholeTokenMemoryIsRefusedAtOnce)
{
    configuration.services["plain"].engine.emplace().tokenCapacity = 1000;
    call.promptTokens = 900;
    call.maxAnswerTokens = 100;
    CHECK(std::holds_alternative<AdmittedCall>(admit()));
    call.maxAnswerTokens = 101;
    const auto admission = admit();
    LONGS_EQUAL(503, std::get<RejectedCall>(admission).status);
}
