#include "RegionSupport.h"

#include <ConfigurationFormat.h>

using namespace hyssopwick;

namespace {

const std::string servedAnswer = okHead + "Content-Length: 2\r\n\r\nok";

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

TEST_GROUP_BASE(AllowedRegion, RegionalUpstreamsGroup) {};

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
    checkRefused("no-upstream-in-region\n");
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
    checkRefused("no-upstream-in-region\n");
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

TEST_GROUP_BASE(AllowedRegionOfEngines, RegionalEnginesGroup) {};

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
    checkRefused("no-upstream-in-region\n");
    LONGS_EQUAL(0, services.queue("models").size());
}

// A broken stream would be resumed at the free engine in the other region.
TEST(AllowedRegionOfEngines, AStreamIsResumedInItsRegionsOnly)
{
    allow({ "north" });
    breakStream([this] { setEngine("e-2", "south", second.address(), 1); });
    LONGS_EQUAL(0, second.requests().size());
}

TEST_GROUP_BASE(AllowedRegionFleet, RegionalFleetGroup) {};

// Single calls come to every entry right after a configuration takes effect; all entries are in north.
TEST(AllowedRegionFleet, EachEntryRunsACallInTheAllowedRegion)
{
    configure(2, R"("south-a")");
    checkEachEntry([](const WholeResponse& response) { return response.status == 200; });
    LONGS_EQUAL(0, near.requests);
    CHECK_COMPARE(far.requests, >=, 6 * fleet.size());
    configure(3, R"("west")");
    checkEachEntry([](const WholeResponse& response) { return response.status == 503 && response.body == "no-upstream-in-region\n"; });
}
