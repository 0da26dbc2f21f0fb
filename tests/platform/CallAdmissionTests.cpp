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

TEST(CallAdmission, AStoppingProcessAcceptsWhatItWouldEndInTime)
{
    const RouteTable routes(configuration);
    const auto admitted = std::get<AdmittedCall>(admitCall(request, call, routes, 0.5));
    CHECK(canEndBefore(at(1000), admitted, nullptr, at(0))); // ten times the objective
    CHECK_FALSE(canEndBefore(at(999), admitted, nullptr, at(0)));
    EnginePool engines(1);
    const auto needed = static_cast<std::int64_t>(engines.predictIdle(admitted.size).endMilliseconds * 5);
    CHECK(canEndBefore(at(needed), admitted, &engines, at(0)));
    CHECK_FALSE(canEndBefore(at(needed - 1), admitted, &engines, at(0)));
}

// Guards against a call that a stopping process aborts although its caller may not repeat it.
TEST(CallAdmission, AStoppingProcessAcceptsACallThatMayRunOnlyOnceIfItsTimeEndsBefore)
{
    call.callerTimeout = Milliseconds(2500);
    EnginePool engines(1);
    for (const auto kind : { CallKind::AtMostOnce, CallKind::Stream }) {
        configuration.routes[0].kind = kind;
        const RouteTable routes(configuration);
        const auto admitted = std::get<AdmittedCall>(admitCall(request, call, routes, 0.5));
        for (const auto* pool : { static_cast<const EnginePool*>(nullptr), static_cast<const EnginePool*>(&engines) }) {
            CHECK(canEndBefore(at(2500), admitted, pool, at(0)));
            CHECK_FALSE(canEndBefore(at(2499), admitted, pool, at(0)));
        }
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
