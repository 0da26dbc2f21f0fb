#include "TestSupport.h"

#include <cmath>
#include <hyssopwick_requests.h>

using namespace hyssopwick;

namespace {

const RegionSet north = RegionSet::listed({ "north" });
const RegionSet south = RegionSet::listed({ "south" });

CallRoute routeOf(const std::string& host, const RegionSet& allowed)
{
    CallRoute route;
    route.host = host;
    route.allowedRegions = allowed;
    return route;
}

EngineSpeed engineSpeed()
{
    EngineSpeed speed;
    speed.slots = 12;
    speed.stepMilliseconds = 8.87;
    speed.perSequenceMilliseconds = 0.0388;
    speed.promptTokensPerMillisecond = 19.1;
    speed.stepsPerAdmission = 5;
    speed.typicalPromptTokens = 900;
    speed.typicalAnswerTokens = 90;
    return speed;
}

const CallSize typicalSize { 900, 90 };

}

TEST_GROUP(RegionSet) {};

// An empty intersection taken for "any" would send a call out of both of its restrictions.
TEST(RegionSet, DisjointRestrictionsAllowNoRegion)
{
    CHECK(RegionSet::listed({}).isAny());
    CHECK(north.intersectedWith({}) == north);
    CHECK(RegionSet().intersectedWith(north) == north);
    const auto none = north.intersectedWith(south);
    CHECK(none.isNone());
    CHECK_FALSE(none.isAny());
    CHECK_FALSE(none.allows("north"));
    CHECK(north.unitedWith(south).allows("south"));
    CHECK(north.unitedWith({}).isAny());
}

TEST_GROUP(AddressRegions)
{
    const AddressQuery query { "a.example", "east", "east-a" };

    static VmIdentity entryIn(const std::string& region) { return { region, "10.0.0.1:1", region, region + "-a", "entry" }; }

    static std::set<std::string> named(const AddressQuery& query, const std::vector<VmIdentity>& entries, const RegionSet& allowed)
    {
        std::set<std::string> regions;
        for (const auto& entry : entriesForQuery(entries, query, allowed))
            regions.insert(entry.region);
        return regions;
    }
};

// Callers would be sent to entry VMs whose region their calls may not use.
TEST(AddressRegions, OnlyEntriesOfTheCallersAndOfAllowedRegionsAreNamed)
{
    const std::vector<VmIdentity> entries { entryIn("north"), entryIn("east"), entryIn("south") };
    CHECK(named(query, entries, north) == (std::set<std::string> { "east", "north" }));
    CHECK(named(query, entries, {}).size() == 3);
    CHECK(named(query, { entryIn("south") }, north) == std::set<std::string> { "south" }); // better than no answer
}

TEST(AddressRegions, AHostWithSeveralRoutesHasTheRegionsThatTheyShare)
{
    DeploymentConfiguration configuration;
    configuration.routes = { routeOf("a.example", north.unitedWith(south)), routeOf("a.example", {}), routeOf("a.example", south), routeOf("b.example", north), routeOf("b.example", south) };
    const RouteTable routes(configuration);
    CHECK(addressRegions("a.example", routes) == south);
    CHECK(addressRegions("b.example", routes) == north.unitedWith(south)); // none in common
    CHECK(addressRegions("c.example", routes).isAny());
    CHECK(routes.restrictedRegions() == (std::set<std::string> { "north", "south" }));
}

TEST_GROUP(UpstreamEligibility)
{
    ProcessDescription description;
    UpstreamEligibility eligibility { description };
    Upstream first;
    Upstream second;

    void setup() override
    {
        description.regionOfFailureDomain = { { "north-a", "north" }, { "south-a", "south" } };
        first.id = "i-1";
        first.failureDomain = "north-a";
        second.id = "i-2";
        second.failureDomain = "south-a";
    }
};

// A call without an upstream in its regions would wait until its deadline.
TEST(UpstreamEligibility, ACallIsRefusedIfNoUpstreamIsRegisteredInItsRegions)
{
    CHECK(eligibility.setService("s", { &first }));
    CHECK_FALSE(eligibility.setService("s", { &first }));
    CHECK(eligibility.refusalFor("s", south) == RefusalReason::NoUpstreamInRegion);
    CHECK(eligibility.refusalFor("other", south) == RefusalReason::NoUpstreamInRegion);
    CHECK_FALSE(eligibility.refusalFor("s", north).has_value());
    CHECK_FALSE(eligibility.refusalFor("s", {}).has_value());
    CHECK(eligibility.setService("s", { &first, &second }));
    CHECK_FALSE(eligibility.refusalFor("s", south).has_value());
    CHECK(eligibility.excludedFor("s", south) == std::set<std::string> { "i-1" });
    CHECK(eligibility.excludedFor("s", {}).empty());
    CHECK_FALSE(eligibility.isEligible("s", "i-1", south));
    CHECK(eligibility.isEligible("s", "i-2", south));
}

// An evacuated upstream would keep its region's calls waiting.
TEST(UpstreamEligibility, NoUpstreamOfAnEvacuatedFailureDomainIsEligible)
{
    CHECK(eligibility.setEvacuated("north-a", true));
    CHECK_FALSE(eligibility.setEvacuated("north-a", true));
    eligibility.setService("s", { &first, &second });
    CHECK_FALSE(eligibility.isEligible("s", "i-1", {}));
    CHECK(eligibility.refusalFor("s", north) == RefusalReason::NoUpstreamInRegion);
    CHECK_FALSE(eligibility.refusalFor("s", {}).has_value());
    eligibility.setService("s", { &first });
    CHECK(eligibility.refusalFor("s", {}) == RefusalReason::NoUpstream);
    CHECK_FALSE(eligibility.refusalFor("unknown", {}).has_value()); // may be registered soon
    CHECK(eligibility.setEvacuated("north-a", false));
    eligibility.setService("s", { &first });
    CHECK_FALSE(eligibility.refusalFor("s", north).has_value());
}

TEST_GROUP(RestrictedSubset) {};

// An entry that uses no engine of a region cannot serve calls that are restricted to it. One of the
// six regions has 8 of 4,100 engines.
TEST(RestrictedSubset, EachEntryUsesEnginesOfEachRestrictedRegion)
{
    std::map<std::string, std::string> engines;
    for (int i = 0; i < 4100; ++i)
        engines["g" + std::to_string(i)] = i < 8 ? "region-5" : "region-" + std::to_string(i % 5);
    std::map<std::string, std::string> entries;
    for (int i = 0; i < 360; ++i)
        entries["e" + std::to_string(i)] = "region-" + std::to_string(i % 6);
    const std::set<std::string> restricted { "region-1", "region-5" };
    for (const auto& [entry, region] : entries) {
        EngineSubset subset(entry, region);
        subset.update(entries, engines, restricted);
        CHECK_COMPARE(subset.engines().size(), <=, EngineSubset::maxEngines);
        for (const auto& needed : restricted) {
            const auto count = std::count_if(subset.engines().begin(), subset.engines().end(), [&](const std::string& engine) { return engines.at(engine) == needed; });
            CHECK_COMPARE(count, >=, 8);
        }
    }
}

/// Six engines of 12 slots in three regions, for one entry.
TEST_GROUP(RestrictedCall)
{
    EnginePool pool { 1 };
    CallQueue queue { pool };
    const std::map<std::string, std::string> regions { { "n1", "north" }, { "n2", "north" }, { "s1", "south" }, { "s2", "south" }, { "w1", "west" }, { "w2", "west" } };

    void setup() override
    {
        pool.setSpeed(engineSpeed());
        std::set<std::string> ids;
        for (const auto& [id, region] : regions)
            ids.insert(id);
        pool.setEngines(ids);
        pool.setRegions(regions);
        queue.setExpectedEngines(std::map<std::string, ExpectedEngines> { { "north", { {}, 2 } }, { "south", { {}, 2 } }, { "west", { {}, 2 } } });
    }

    // Fills the engines of a region with 40 calls each.
    void fill(const std::string& region)
    {
        std::uint64_t call = 1000;
        for (const auto& [id, regionOfEngine] : regions) {
            for (int i = 0; regionOfEngine == region && i < 40; ++i)
                pool.recordSend(id, ++call, typicalSize, at(0), RegionSet::listed({ region }));
        }
    }

    QueuedCall call(std::uint64_t id, const RegionSet& allowed, Milliseconds objective = Milliseconds(400)) const { return { id, typicalSize, 0, at(0) + objective, at(6000), {}, false, allowed }; }
};

// No load but 40 calls at each engine of the region.
TEST(RestrictedCall, ItWaitsForItsRegionAlthoughOtherEnginesAreFree)
{
    fill("north");
    queue.add(call(1, north, Milliseconds(4000)), at(0));
    queue.add(call(2, {}), at(0));
    queue.add(call(3, south), at(0));
    const auto decisions = queue.advance(at(0));
    LONGS_EQUAL(2, decisions.sent.size());
    for (const auto& sent : decisions.sent) {
        CHECK(sent.call != 1);
        CHECK(regions.at(sent.upstream) != "north");
    }
    LONGS_EQUAL(1, queue.size());
    LONGS_EQUAL(0, decisions.refused.size());
}

TEST(RestrictedCall, ItIsNeverSentToAnotherRegion)
{
    for (std::uint64_t id = 1; id <= 200; ++id)
        queue.add(call(id, north, Milliseconds(20000)), at(0));
    const auto decisions = queue.advance(at(0));
    CHECK(decisions.sent.size() > 0);
    for (const auto& sent : decisions.sent)
        STRCMP_EQUAL("north", regions.at(sent.upstream).c_str());
}

// Predicted with the engines of all regions, 80 calls would wait 1.6 s and be accepted, then fail.
TEST(RestrictedCall, ItsRetryAfterCountsTheEnginesOfItsRegionOnly)
{
    fill("north");
    for (std::uint64_t id = 1; id <= 80; ++id)
        queue.add(call(id, north), at(0));
    const auto decisions = queue.advance(at(0));
    CHECK(!decisions.refused.empty());
    const double regionRate = 2 * pool.callsPerMillisecondPerEngine();
    const auto retryAfter = decisions.retryAfterOf(decisions.refused.front());
    CHECK_COMPARE(double(retryAfter.count()) + 1, >=, double(queue.size()) / regionRate);
    LONGS_EQUAL(100, decisions.retryAfter.count()); // calls without a restriction have free engines
}

// A call that was accepted late under other regions would never be refused.
TEST(RestrictedCall, NewRegionsReviewWhatWasDecided)
{
    fill("north");
    // Late for north; the first use the share of late calls, the rest is accepted.
    for (std::uint64_t id = 1; id <= 5; ++id)
        queue.add(call(id, north, Milliseconds(10)), at(0));
    LONGS_EQUAL(0, queue.advance(at(0)).refused.size());
    const auto accepted = queue.size();
    CHECK(accepted > 0);
    for (std::uint64_t id = 1; id <= 5; ++id)
        queue.setAllowedRegions(id, RegionSet::listed({ "east" }));
    LONGS_EQUAL(accepted, queue.advance(at(10)).refused.size());
    queue.add(call(6, north, Milliseconds(4000)), at(10));
    LONGS_EQUAL(0, queue.advance(at(10)).sent.size());
    queue.setAllowedRegions(6, south);
    LONGS_EQUAL(1, queue.advance(at(20)).sent.size());
}

// Four entries share the engines. While calls wait, each entry sends only its share of what engines can take,
// about one call for each engine and report; a call that waits for one region must not cause that elsewhere.
TEST(RestrictedCall, ItsWaitPutsNoOtherRegionUnderShares)
{
    queue.setEntryCount(4);
    for (const auto& [engine, region] : regions)
        pool.recordReport(engine, {}, at(0));
    fill("north");
    queue.add(call(1, north, Milliseconds(4000)), at(0));
    LONGS_EQUAL(0, queue.advance(at(0)).sent.size());
    for (std::uint64_t id = 2; id <= 13; ++id)
        queue.add(call(id, {}, Milliseconds(4000)), at(1));
    LONGS_EQUAL(12, queue.advance(at(1)).sent.size());
    LONGS_EQUAL(1, queue.size());
}

// Calls of one region arrive at 1.5 times what its two engines serve, others at half of what the other four
// serve, for 10 s. If the waiting calls of one region counted for all, the others would wait behind them.
TEST(RestrictedCall, OverloadInOneRegionDoesNotDelayCallsThatMayUseOthers)
{
    struct Event {
        std::uint64_t id;
        bool isEnd;
    };
    struct Running {
        std::string engine;
        bool hasFirstEvent;
    };
    std::map<std::uint64_t, Running> running;
    const double perEngine = pool.callsPerMillisecondPerEngine();
    std::multimap<TimePoint, Event> events;
    std::map<std::uint64_t, std::pair<TimePoint, bool>> calls; // arrival, and whether it is restricted
    std::map<bool, std::pair<int, int>> counts; // in time, of all
    double owed[2] = { 0, 0 };
    std::uint64_t id = 0;
    for (int time = 0; time < 10000; time += 5) {
        for (; !events.empty() && events.begin()->first <= at(time); events.erase(events.begin())) {
            const auto event = events.begin()->second;
            if (event.isEnd) {
                pool.recordEnd(event.id, at(time));
                running.erase(event.id);
            } else {
                pool.recordFirstEvent(event.id);
                running[event.id].hasFirstEvent = true;
            }
        }
        for (const auto& [engine, region] : regions) {
            EngineReport report;
            for (const auto& [call, state] : running) {
                report.runningCalls += state.engine == engine && state.hasFirstEvent;
                report.waitingCalls += state.engine == engine && !state.hasFirstEvent;
            }
            if (time % 200 == 0)
                pool.recordReport(engine, report, at(time));
        }
        for (const bool isRestricted : { false, true }) {
            owed[isRestricted] += 5 * perEngine * (isRestricted ? 1.5 * 2 : 0.5 * 4);
            for (; owed[isRestricted] >= 1; owed[isRestricted] -= 1) {
                calls[++id] = { at(time), isRestricted };
                ++counts[isRestricted].second;
                queue.add({ id, typicalSize, 0, at(time + 400), at(time + 6000), {}, false, isRestricted ? north : RegionSet() }, at(time));
            }
        }
        for (const auto& sent : queue.advance(at(time)).sent) {
            const auto& [arrival, isRestricted] = calls.at(sent.call);
            CHECK(!isRestricted || regions.at(sent.upstream) == "north");
            const auto first = at(time) + Milliseconds(static_cast<int>(sent.prediction.firstEventMilliseconds));
            counts[isRestricted].first += first <= arrival + Milliseconds(400);
            running[sent.call] = { sent.upstream, false };
            events.emplace(first, Event { sent.call, false });
            events.emplace(at(time) + Milliseconds(static_cast<int>(sent.prediction.endMilliseconds)), Event { sent.call, true });
        }
    }
    CHECK_COMPARE(counts[false].first, >=, counts[false].second * 0.95);
    CHECK_COMPARE(counts[true].first, >=, counts[true].second * 0.4);
}
