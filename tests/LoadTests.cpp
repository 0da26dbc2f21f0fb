#include "TestSupport.h"

#include <hyssopwick_fakes.h>

using namespace hyssopwick;

namespace {

// Engine speed as documented by the platform.
EngineSpeed platformSpeed()
{
    EngineSpeed speed;
    speed.slots = 16;
    speed.stepMilliseconds = 8.87;
    speed.perSequenceMilliseconds = 0.0388;
    speed.perThousandContextMilliseconds = 0.0227;
    speed.promptTokensPerMillisecond = 19.1;
    speed.perMillionPairsMilliseconds = 1.47;
    speed.stepsPerAdmission = 5;
    speed.maxPromptTokensPerAdmission = 2048;
    speed.typicalPromptTokens = 977;
    speed.typicalAnswerTokens = 94;
    return speed;
}

LoadSimulationSettings typicalLoad()
{
    LoadSimulationSettings settings;
    settings.speed = platformSpeed();
    return settings;
}

}

TEST_GROUP(CallQueue) {};

// 18 entries share 24 engines at two thirds of their capacity.
TEST(CallQueue, ATypicalLoadIsServedInTime)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        const auto result = simulateLoad(typicalLoad(), seed);
        CHECK(result.shareInTime() >= 0.95);
        LONGS_EQUAL(0, result.refused);
        LONGS_EQUAL(0, result.timedOut);
    }
}

// For three seconds, calls arrive at nearly twice the capacity of the engines. Without
// a queue, all calls after the burst would be late.
TEST(CallQueue, AQueueLimitsTheCostOfABurst)
{
    auto settings = typicalLoad();
    settings.callsPerSecond = 190;
    settings.burstFrom = Milliseconds(4000);
    settings.burstUntil = Milliseconds(7000);
    settings.burstFactor = 2;
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        const auto queued = simulateLoad(settings, seed);
        settings.usesQueue = false;
        const auto direct = simulateLoad(settings, seed);
        settings.usesQueue = true;
        CHECK(queued.shareInTime() > direct.shareInTime());
        CHECK(queued.shareServed() >= 0.85);
    }
}

// No engine serves for four seconds, as after a power failure. Calls that can still be
// served wait, others are refused as soon as they cannot be, and calls that arrive once
// engines serve are answered in time.
TEST(CallQueue, CallsBeforeTheEnginesAreBackDoNotMakeTheLaterOnesLate)
{
    auto settings = typicalLoad();
    settings.callsPerSecond = 180;
    settings.enginesFrom = Milliseconds(4000);
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        const auto result = simulateLoad(settings, seed);
        // Engines serve during 16 of the 20 s.
        CHECK(result.shareInTime() >= 0.8 * 0.8);
        CHECK(result.refused > 0);
        CHECK(result.refusedAfterWaiting <= result.calls / 20);
        CHECK(result.timedOut <= result.calls / 50);
    }
}

TEST(CallQueue, ACallIsRefusedAtOnceIfNoEngineIsExpected)
{
    EnginePool pool(1);
    pool.setSpeed(platformSpeed());
    CallQueue queue(pool);
    queue.add({ 1, { 900, 90 }, 0, at(450), at(6000), {}, false }, at(0));
    const auto decisions = queue.advance(at(0));
    LONGS_EQUAL(1, decisions.refused.size());
    CHECK(decisions.retryAfter >= Milliseconds(100));
    LONGS_EQUAL(0, queue.size());
}

TEST(CallQueue, RetryAfterOfARefusalIsWhenEnginesAreExpected)
{
    EnginePool pool(1);
    pool.setSpeed(platformSpeed());
    CallQueue queue(pool);
    queue.setExpectedEngines(at(5500), 10);
    queue.add({ 1, { 900, 90 }, 0, at(450), at(6000), {}, false }, at(0));
    const auto decisions = queue.advance(at(0));
    LONGS_EQUAL(1, decisions.refused.size());
    CHECK(decisions.retryAfter >= Milliseconds(5500));
}

// Most engines load new weights for a second while calls wait.
TEST(CallQueue, EnginesThatLoadWeightsCountForCallsThatCanWait)
{
    EnginePool pool(1);
    pool.setSpeed(platformSpeed());
    pool.setEngines({ "a" });
    for (std::uint64_t call = 100; call < 140; ++call)
        pool.recordSend("a", call, { 900, 90 }, at(0));
    const auto refusedWith = [&pool](std::size_t expectedEngines) {
        CallQueue queue(pool);
        queue.setEntryCount(18);
        queue.setExpectedEngines(std::nullopt, expectedEngines);
        for (std::uint64_t id = 1; id <= 10; ++id)
            queue.add({ id, { 900, 90 }, 0, at(100), at(6000), {}, false }, at(0));
        return queue.advance(at(0)).refused.size();
    };
    CHECK(refusedWith(24) < refusedWith(1));
    LONGS_EQUAL(0, refusedWith(24));
}

TEST(CallQueue, ACallWithAPartialAnswerIsSentAtOnceAndNeverRefused)
{
    EnginePool pool(1);
    pool.setSpeed(platformSpeed());
    CallQueue queue(pool);
    queue.add({ 1, { 900, 90 }, 0, at(-500), at(3000), {}, true }, at(0));
    LONGS_EQUAL(0, queue.advance(at(0)).refused.size());
    pool.setEngines({ "a" });
    for (std::uint64_t call = 10; call < 40; ++call)
        pool.recordSend("a", call, { 900, 90 }, at(0));
    LONGS_EQUAL(1, queue.advance(at(1)).sent.size());
}

TEST(CallQueue, AnExcludedEngineIsNotChosen)
{
    EnginePool pool(1);
    pool.setSpeed(platformSpeed());
    pool.setEngines({ "a", "b" });
    CallQueue queue(pool);
    for (std::uint64_t id = 1; id <= 20; ++id)
        queue.add({ id, { 10, 10 }, 0, at(60000), at(90000), { "a" }, false }, at(0));
    for (const auto& sent : queue.advance(at(0)).sent)
        STRCMP_EQUAL("b", sent.upstream.c_str());
}

// 62 entries restart together before 115 engines that are away for 4 s; callers wait 5.1 to 6 s and return
// once. Guards against giving a returned call, which is late already, a whole new objective.
TEST(CallQueue, CallsThatCanBeInTimeComeFirstAfterARestartOfEverything)
{
    auto settings = typicalLoad();
    settings.entries = 62;
    settings.engines = 115;
    settings.callsPerSecond = 620;
    settings.objective = Milliseconds(400);
    settings.outageFrom = Milliseconds(3000);
    settings.outageUntil = Milliseconds(7000);
    settings.length = Milliseconds(14000);
    settings.callersReturn = true;
    settings.entriesRestart = true;
    settings.returnsCountAsNew = true;
    settings.shortestPatience = 0.85;
    settings.settledAfter = Milliseconds(2000);
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
        settings.callersStateTimeouts = false;
        const auto before = simulateLoad(settings, seed);
        settings.callersStateTimeouts = true;
        const auto after = simulateLoad(settings, seed);
        CHECK_COMPARE(double(after.settledInTime), >=, 0.9 * after.settledCompleted);
        CHECK_COMPARE(after.inTime, >=, before.inTime);
    }
}

TEST_GROUP(CallerTimeouts) {};

// Callers of one route wait 5.1 to 6 s. Guards against taking an impatient first attempt for a return.
TEST(CallerTimeouts, OnlyCallsBelowWhatFirstAttemptsStateAreReturns)
{
    CallerTimeouts timeouts;
    LONGS_EQUAL(0, timeouts.age("a", Milliseconds(1000)).count());
    for (int i = 0; i < 200; ++i)
        timeouts.record("a", Milliseconds(5100 + (i * 37) % 901));
    LONGS_EQUAL(0, timeouts.age("a", Milliseconds(5100)).count());
    LONGS_EQUAL(0, timeouts.age("a", Milliseconds(7000)).count());
    const auto age = timeouts.age("a", Milliseconds(4000));
    CHECK(age >= Milliseconds(1100));
    CHECK(age <= Milliseconds(2000));
    LONGS_EQUAL(0, timeouts.age("other", Milliseconds(4000)).count());
}

// Guards against treating all calls as late where more of them are returns than first attempts.
TEST(CallerTimeouts, ManyReturnsMakeFewerCallsCountAsReturns)
{
    CallerTimeouts timeouts;
    for (int i = 0; i < 200; ++i)
        timeouts.record("a", Milliseconds(i % 2 == 0 ? 6000 : 3900 + i));
    LONGS_EQUAL(0, timeouts.age("a", Milliseconds(4000)).count());
}

TEST_GROUP(PrefillEstimate) {};

// An engine that returns to service fills all of its slots at once.
TEST(PrefillEstimate, PromptsOfCallsThatStartTogetherAreProcessedOneAfterTheOther)
{
    const auto speed = platformSpeed();
    PrefillEstimate estimate;
    EngineReport report;
    DOUBLES_EQUAL(0, estimate.record(report, speed, at(0)), 0.1);
    report.runningCalls = speed.slots;
    DOUBLES_EQUAL(speed.slots * speed.typicalPromptTokens, estimate.record(report, speed, at(80)), 1);
    // Processing sixteen prompts takes 0.8 s when nothing else runs.
    const double left = estimate.record(report, speed, at(480));
    CHECK(left > speed.slots * speed.typicalPromptTokens / 4);
    CHECK(left < speed.slots * speed.typicalPromptTokens * 3 / 4);
    DOUBLES_EQUAL(0, estimate.record(report, speed, at(2500)), 0.1);
}

TEST(PrefillEstimate, ACallThatTakesAFreedSlotAddsItsPrompt)
{
    const auto speed = platformSpeed();
    PrefillEstimate estimate;
    EngineReport report;
    report.runningCalls = speed.slots;
    report.waitingCalls = 3;
    estimate.record(report, speed, at(0));
    estimate.record(report, speed, at(5000));
    report.waitingCalls = 1;
    CHECK(estimate.record(report, speed, at(5010)) >= 2 * speed.typicalPromptTokens - 1);
}

TEST(PrefillEstimate, ARestartedEngineHasNoPromptsLeft)
{
    const auto speed = platformSpeed();
    PrefillEstimate estimate;
    EngineReport report;
    report.runningCalls = 8;
    estimate.record(report, speed, at(0));
    report.runningCalls = 0;
    report.startedAt = 77;
    DOUBLES_EQUAL(0, estimate.record(report, speed, at(10)), 0.1);
}

TEST_GROUP(EnginePool) {};

// Checks the prediction behind all decisions against the engine model.
TEST(EnginePool, TheMedianRelativeErrorOfFirstEventPredictionsIsAtMostHalf)
{
    for (const double rate : { 60.0, 120.0, 180.0 }) {
        auto settings = typicalLoad();
        settings.callsPerSecond = rate;
        CHECK(simulateLoad(settings, 11).medianPredictionError <= 0.5);
    }
}

TEST(EnginePool, AnEngineInTheSameRegionIsPreferredAtEqualLoad)
{
    EnginePool pool(1);
    pool.setSpeed(platformSpeed());
    pool.setEngines({ "far", "near" });
    pool.setRemoteEngines({ "far" });
    STRCMP_EQUAL("near", pool.choose({ 900, 90 }, {}, at(0))->upstream.c_str());
    for (std::uint64_t call = 1; call <= 4; ++call)
        pool.recordSend("near", call, { 900, 90 }, at(0));
    STRCMP_EQUAL("far", pool.choose({ 900, 90 }, {}, at(0))->upstream.c_str());
}

TEST(EnginePool, AnEngineThatReloadsBeforeTheCallWouldBeginIsNotChosen)
{
    EnginePool pool(1);
    pool.setSpeed(platformSpeed());
    pool.setEngines({ "a" });
    const auto beginsIn = Milliseconds(static_cast<std::int64_t>(pool.predict("a", { 900, 90 }, at(0)).firstEventMilliseconds));
    pool.setReloadingSoon({ { "a", at(0) + beginsIn + Milliseconds(2) } });
    CHECK(pool.choose({ 900, 90 }, {}, at(0)).has_value());
    CHECK_FALSE(pool.choose({ 900, 90 }, {}, at(3)).has_value());
}

// Guards against calls that an engine has to hold back or that exceed its memory, and against
// comparing tokens with tokens times layers.
TEST(EnginePool, ACallThatExceedsAnEnginesFreeTokenMemoryIsNotSentToIt)
{
    EnginePool pool(1);
    auto speed = platformSpeed();
    speed.tokenCapacity = 10000;
    pool.setSpeed(speed);
    pool.setEngines({ "a" });
    EngineReport report;
    report.tokenCapacity = 320000; // 32 layers
    report.usedTokens = 288000; // leaves 1,000 tokens
    pool.recordReport("a", report, at(0));
    CHECK_FALSE(pool.choose({ 900, 101 }, {}, at(10)).has_value());
    CHECK(pool.choose({ 900, 100 }, {}, at(10)).has_value());
    pool.recordSend("a", 1, { 900, 90 }, at(10));
    CHECK_FALSE(pool.choose({ 10, 1 }, {}, at(10)).has_value());
    pool.recordEnd(1, at(20));
    CHECK(pool.choose({ 900, 100 }, {}, at(20)).has_value());
    CHECK(pool.choose({ 900, 101 }, {}, at(60000)).has_value()); // the report is too old
}

TEST(EnginePool, AReportThatIsTooOldIsIgnored)
{
    EnginePool pool(1);
    pool.setSpeed(platformSpeed());
    pool.setEngines({ "a" });
    EngineReport report;
    report.waitingCalls = 10;
    pool.recordReport("a", report, at(0));
    const auto fresh = pool.predict("a", { 900, 90 }, at(100));
    const auto stale = pool.predict("a", { 900, 90 }, at(60000));
    CHECK(fresh.firstEventMilliseconds > stale.firstEventMilliseconds);
}

TEST_GROUP(UpstreamPool) {};

// One of three upstreams fails all calls while its health check succeeds.
TEST(UpstreamPool, AnUpstreamThatFailsIsAvoided)
{
    UpstreamPool pool(2);
    pool.setUpstreams({ { "a", 6 }, { "b", 6 }, { "grey", 6 } });
    int sentToFailing = 0;
    for (int i = 0; i < 300; ++i) {
        const auto chosen = *pool.choose({}, at(i * 10));
        pool.recordResult(chosen, chosen != "grey", at(i * 10));
        sentToFailing += chosen == "grey";
    }
    CHECK(sentToFailing < 20);
    CHECK(pool.choose({ "a", "b" }, at(3000)).value() == "grey");
}

TEST_GROUP(EventStreamSplitter) {};

TEST(EventStreamSplitter, EventsAreCompleteHoweverTheBytesAreSplit)
{
    const std::string text = "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\ndata: no id\n\nid: 4\ndata: cu";
    for (std::size_t size = 1; size <= text.size(); ++size) {
        EventStreamSplitter splitter;
        std::vector<EventStreamSplitter::Event> events;
        for (std::size_t from = 0; from < text.size(); from += size) {
            for (auto& event : splitter.feed(text.substr(from, size)))
                events.push_back(std::move(event));
        }
        LONGS_EQUAL(3, events.size());
        STRCMP_EQUAL("1", events[0].id.c_str());
        STRCMP_EQUAL("2", events[1].id.c_str());
        STRCMP_EQUAL("", events[2].id.c_str());
        CHECK(splitter.hasPartialEvent());
        STRCMP_EQUAL((events[0].text + events[1].text + events[2].text + splitter.partialEvent()).c_str(), text.c_str());
    }
}

TEST_GROUP(RetryBudget) {};

TEST(RetryBudget, RetriesStayWithinTheirShareOfFirstAttempts)
{
    RetryBudget budget(0.1, 5);
    int taken = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.recordFirstAttempt();
        taken += budget.tryTake();
    }
    CHECK(taken >= 95 && taken <= 105);
    budget.setCapacity(1);
    CHECK(budget.tryTake() + budget.tryTake() <= 1);
}

TEST(CallQueue, AnEngineThatLimitsItsCallsGetsNoMoreInOneRound)
{
    EnginePool pool(1);
    pool.setSpeed(platformSpeed());
    pool.setEngines({ "free", "limited" });
    pool.setCallLimits({ { "limited", { 1, 0.001 } } }, at(500));
    CallQueue queue(pool);
    for (std::uint64_t call = 1; call <= 12; ++call)
        queue.add({ call, { 900, 90 }, 5, at(4000), at(6000), {}, false }, at(0));
    const auto sent = queue.advance(at(0)).sent;
    const auto atLimited = std::count_if(sent.begin(), sent.end(), [](const auto& send) { return send.upstream == "limited"; });
    CHECK_COMPARE(atLimited, <=, 1);
    CHECK_COMPARE(sent.size(), >, 4u);
}

// Waiting until its deadline would not help the caller.
TEST(CallQueue, ACallIsRefusedAtOnceWhenNoEngineHasAPlaceInTime)
{
    EnginePool pool(1);
    pool.setSpeed(platformSpeed());
    pool.setEngines({ "limited" });
    pool.setCallLimits({ { "limited", { 0, 0.001 } } }, at(9000));
    CallQueue queue(pool);
    queue.setExpectedEngines(std::nullopt, 1);
    queue.add({ 1, { 900, 90 }, 5, at(500), at(6000), {}, false }, at(0));
    const auto decisions = queue.advance(at(0));
    LONGS_EQUAL(1, decisions.refused.size());
    CHECK_COMPARE(decisions.retryAfter.count(), >=, 9000);
}
