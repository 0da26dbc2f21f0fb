#include "CallFlowSupport.h"
#include "PlainServiceSupport.h"

#include <ConfigurationFormat.h>

using namespace hyssopwick;

namespace {

const std::string servedAnswer = okHead + "Content-Length: 2\r\n\r\nok";
const std::string oneEvent = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Seal: s1\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("id: 1\ndata: a\n\n");

}

TEST_GROUP(AllowedRegionFormat) {};

TEST(AllowedRegionFormat, TheListsOfRoutesAndAccountsAreDecoded)
{
    const auto json = [](const std::string& regions) {
        return nlohmann::json::parse(R"({"version":1,"routes":[{"host":"h","prefix":"/","kind":"safe","service":"s",)" + regions + R"("priority":1}],"services":[],"tenants":[{"name":"t","keys":["k"],)" + regions + R"("priority":1}]})");
    };
    const auto configuration = platform::decodeConfiguration(json(R"("allowedRegions":["north","south"],)"));
    CHECK(configuration.routes.front().allowedRegions == RegionSet::listed({ "north", "south" }));
    CHECK(configuration.accounts.front().allowedRegions == RegionSet::listed({ "north", "south" }));
    CHECK(platform::decodeConfiguration(json(R"("allowedRegions":[],)")).routes.front().allowedRegions.isAny());
    CHECK(platform::decodeConfiguration(json("")).accounts.front().allowedRegions.isAny());
    // A restriction that cannot be read must not count as none.
    CHECK_THROWS(std::exception, platform::decodeConfiguration(json(R"("allowedRegions":"north",)")));
}

/// Plain upstreams: i-1 in north-a, i-2 in south-a; both failure domains are regions of their own.
TEST_GROUP_BASE(AllowedRegion, CallFlowGroup) {
    void restrict(const std::vector<std::string>& regions, const std::vector<std::string>& accountRegions = {}, CallKind kind = CallKind::Idempotent) {
        route(kind, 2, kind == CallKind::Stream);
configuration.routes.front().allowedRegions = RegionSet::listed(regions);
configuration.accounts.front().allowedRegions = RegionSet::listed(accountRegions);
services.setConfiguration(configuration);
auto south = *services.upstream("i-2");
south.failureDomain = "south-a";
services.setUpstream(south);
services.refresh();
}

void checkRefused()
{
    CHECK(exchange->hasEnded); // at once
    LONGS_EQUAL(503, exchange->status);
    STRCMP_EQUAL("no-upstream-in-region\n", exchange->body.c_str());
    CHECK(!headerValue(exchange->fields, "Retry-After").empty());
}
}
;

// An upstream elsewhere would get calls that must not leave the region.
TEST(AllowedRegion, CallsGoToTheAllowedRegionOnly)
{
    restrict({ "south-a" });
    for (int i = 0; i < 20; ++i) {
        second.answer(servedAnswer);
        send();
        finish();
        LONGS_EQUAL(200, exchange->status);
    }
    LONGS_EQUAL(0, first.requests().size());
}

TEST(AllowedRegion, ACallMayUseTheRegionsThatItsRouteAndItsAccountShare)
{
    restrict({ "south-a", "north-a" }, { "south-a", "west" });
    second.answer(servedAnswer);
    send();
    finish();
    LONGS_EQUAL(200, exchange->status);
    LONGS_EQUAL(0, first.requests().size());
    restrict({ "north-a" }, { "south-a" });
    send();
    checkRefused();
    LONGS_EQUAL(1, requestCount());
}

// A key restricts its caller on routes too that need none.
TEST(AllowedRegion, TheAccountCountsOnARouteThatNeedsNoKey)
{
    restrict({}, { "south-a" });
    configuration.routes.front().allowsAnonymous = true;
    services.setConfiguration(configuration);
    for (int i = 0; i < 10; ++i) {
        second.answer(servedAnswer);
        send();
        finish();
    }
    LONGS_EQUAL(0, first.requests().size());
}

TEST(AllowedRegion, ACallWithoutAnUpstreamInItsRegionsIsRefusedAtOnce)
{
    restrict({ "west" });
    send();
    checkRefused();
    LONGS_EQUAL(0, requestCount());
}

// The next upstream of a retry may be in another region.
TEST(AllowedRegion, ARetryStaysInTheAllowedRegion)
{
    restrict({ "south-a" });
    second.answer("", true);
    send();
    finish();
    LONGS_EQUAL(0, first.requests().size());
    LONGS_EQUAL(1, second.requests().size());
    CHECK(exchange->status != 200 && exchange->status != 503); // it may have run
}

// The configuration changed after the first attempt was sent.
TEST(AllowedRegion, ARetryFollowsTheConfigurationInForce)
{
    restrict({ "south-a" });
    send();
    while (second.requests().empty())
        loop.run_one();
    configuration.version = 2;
    configuration.routes.front().allowedRegions = RegionSet::listed({ "west" });
    services.setConfiguration(configuration);
    services.refresh();
    flow->reconsider();
    CHECK_FALSE(exchange->hasEnded); // it runs on
    flow->handleUpstreamDown(second.address());
    CHECK(exchange->hasEnded);
    LONGS_EQUAL(502, exchange->status); // it may have run
    LONGS_EQUAL(0, first.requests().size());
}

/// Engines of the service "models": e-1 in north, e-2 in south, which has no weights at first.
TEST_GROUP_BASE(AllowedRegionOfEngines, CallFlowGroup) {
    void setup() override {
        CallFlowGroup::setup();
ServiceDescription service;
service.name = "models";
service.engine = EngineSpeed {};
configuration.services["models"] = service;
route(CallKind::Stream, 2, true);
configuration.routes.front().targets = { { "models", 1 } };
configuration.routes.front().latencyObjective = Milliseconds(8000);
configuration.routes.front().answerTimeout = Milliseconds(8000);
allow({ "south" });
setEngine("e-1", "north", first.address(), 1);
setEngine("e-2", "south", second.address(), 0);
}

void allow(const std::vector<std::string>& regions)
{
    ++configuration.version;
    configuration.routes.front().allowedRegions = RegionSet::listed(regions);
    services.setConfiguration(configuration);
    services.refresh();
    if (flow)
        flow->reconsider();
}

void setEngine(const std::string& id, const std::string& region, const std::string& address, std::uint64_t version)
{
    Upstream engine;
    engine.id = id;
    engine.service = "models";
    engine.address = address;
    engine.failureDomain = region;
    if (version > 0)
        engine.loadedVersions["m"] = version;
    services.setUpstream(engine);
    services.refresh();
}

// Sends the calls that the queue decides to send.
void advance()
{
    for (const auto& decision : services.queue("models").advance(monotonicNow()).sent)
        flow->sendTo(decision);
}

void runUntilSentTo(ScriptedUpstream& upstream)
{
    for (const auto deadline = monotonicNow() + Milliseconds(5000); upstream.requests().empty() && monotonicNow() < deadline;)
        loop.run_one_for(Milliseconds(5));
    LONGS_EQUAL(1, upstream.requests().size());
}
}
;

TEST(AllowedRegionOfEngines, ACallWaitsForAnEngineInItsRegionAlthoughAnotherIsFree)
{
    send();
    advance();
    LONGS_EQUAL(1, services.queue("models").size());
    CHECK_FALSE(exchange->hasEnded);
    EngineUpdate loaded;
    loaded.engineAddress = second.address();
    loaded.isAnswering = true;
    loaded.report.loadedVersions["m"] = 1;
    services.recordEngineUpdate(loaded);
    advance();
    runUntilSentTo(second);
    LONGS_EQUAL(0, first.requests().size());
}

// A waiting call would keep the regions of its arrival.
TEST(AllowedRegionOfEngines, AWaitingCallGetsTheRegionsOfANewConfiguration)
{
    send();
    advance();
    allow({ "north" });
    advance();
    runUntilSentTo(first);
    LONGS_EQUAL(0, second.requests().size());
}

TEST(AllowedRegionOfEngines, AWaitingCallIsRefusedAtOnceIfNothingIsLeft)
{
    send();
    advance();
    allow({ "west" });
    CHECK(exchange->hasEnded);
    LONGS_EQUAL(503, exchange->status);
    STRCMP_EQUAL("no-upstream-in-region\n", exchange->body.c_str());
    LONGS_EQUAL(0, services.queue("models").size());
}

// A broken stream would be resumed at the free engine in the other region.
TEST(AllowedRegionOfEngines, AStreamIsResumedInItsRegionsOnly)
{
    allow({ "north" });
    first.answer(oneEvent, true);
    send();
    advance();
    setEngine("e-2", "south", second.address(), 1);
    while (!exchange->isStream)
        loop.run_one();
    for (const auto deadline = monotonicNow() + Milliseconds(300); monotonicNow() < deadline;) {
        loop.run_one_for(Milliseconds(5));
        if (!exchange->hasEnded)
            advance();
    }
    LONGS_EQUAL(0, second.requests().size());
    LONGS_EQUAL(1, first.requests().size());
}

TEST_GROUP(AllowedRegionFleet)
{
    EventLoop loop { 1 };
    Fleet fleet { loop, 3, 1, "none" };
};

// Single calls come to every entry right after a configuration takes effect; all entries are in north.
TEST(AllowedRegionFleet, EachEntryRunsACallInTheAllowedRegion)
{
    CrashingUpstream near { loop, "/none" };
    CrashingUpstream far { loop, "/none" };
    const auto registration = [](const CrashingUpstream& upstream, const std::string& zone) { return Fleet::base64(R"({"service":"d","address":")" + upstream.address() + R"(","zone":")" + zone + R"(","slots":6,"state":"ready"})"); };
    fleet.store().set("servers/d-1", registration(near, "north-a"));
    fleet.store().set("servers/d-2", registration(far, "south-a"));
    const auto configure = [&](int version, const std::string& regions) {
        fleet.store().set("op/config", Fleet::base64(R"({"version":)" + std::to_string(version) + R"(,"routes":[{"name":"q","host":"a.example","prefix":"/q/","kind":"safe","timeoutMs":6000,"goalMs":2000,"service":"d","attempts":2,"allowedRegions":[)" + regions + R"(]}],"services":[{"name":"d"}]})"));
    };
    unsigned number = 0;
    const auto call = [&](std::size_t entry) {
        return fleet.send(entry, { "GET", "/q/a", { { "Host", "a.example" }, { "Request-Id", "r" + std::to_string(++number) }, { "Deadline-Ms", "3000" } }, "" });
    };
    configure(2, R"("south-a")");
    for (std::size_t entry = 0; entry < fleet.size(); ++entry) {
        fleet.runUntil([&] { return call(entry).status == 200; });
        for (int i = 0; i < 5; ++i)
            LONGS_EQUAL(200, call(entry).status);
    }
    LONGS_EQUAL(0, near.requests);
    CHECK_COMPARE(far.requests, >=, 6 * fleet.size());
    configure(3, R"("west")");
    for (std::size_t entry = 0; entry < fleet.size(); ++entry)
        fleet.runUntil([&] { return call(entry).body == "no-upstream-in-region\n"; });
}
