#include "TestSupport.h"

#include <hyssopwick_fakes.h>
#include <hyssopwick_gateway.h>

using namespace hyssopwick;

namespace {

EngineDemand demandOf(double rate, unsigned priority = 0)
{
    EngineDemand demand;
    demand.add(priority, rate);
    return demand;
}

// One engine's agent and the entry VMs that use the engine, in virtual time. Entry VMs state their
// demand every second, the agent its division every 200 ms.
struct DividedEngine {
    explicit DividedEngine(std::size_t entries)
        : shares(entries)
        , demands(entries, 100)
        , isCutOff(entries, false)
    {
        restartAgent();
        for (auto& entry : shares)
            entry.setEntryCount(double(entries));
    }

    void restartAgent()
    {
        division = {};
        division.setExpectedSubscribers(double(shares.size()));
    }

    void run(std::int64_t from, std::int64_t until)
    {
        for (auto now = from; now < until; now += 200) {
            for (std::size_t i = 0; i < shares.size(); ++i) {
                if (now % 1000 == std::int64_t(i % 5) * 200 && !isLost(i))
                    division.recordSubscription(std::to_string(i), demandOf(demands[i]), at(now));
            }
            division.advance(at(now));
            for (std::size_t i = 0; i < shares.size(); ++i) {
                if (!isLost(i))
                    shares[i].record("engine", division.statementFor(std::to_string(i)), at(now));
            }
            maxSum = std::max(maxSum, sum(now));
        }
    }

    bool isLost(std::size_t entry) { return isCutOff[entry] || random.unit() < loss; }

    double sum(std::int64_t now) const
    {
        double sum = 0;
        for (const auto& entry : shares)
            sum += entry.shareOf("engine", at(now));
        return sum;
    }

    EngineDivision division;
    std::vector<EngineShares> shares;
    std::vector<double> demands;
    std::vector<bool> isCutOff;
    double loss = 0;
    double maxSum = 0;
    RandomSource random { 1 };
};

// As documented by the platform for the contended deployment.
EngineSpeed contendedSpeed()
{
    EngineSpeed speed;
    speed.slots = 12;
    speed.stepMilliseconds = 8.87;
    speed.perSequenceMilliseconds = 0.0388;
    speed.promptTokensPerMillisecond = 19.1;
    speed.stepsPerAdmission = 5;
    speed.typicalPromptTokens = 912;
    speed.typicalAnswerTokens = 98;
    return speed;
}

// The contended deployment: three kinds of stream, which need 1.2 times the time of the engines,
// and a burst of the least urgent one.
PoolSimulationSettings contendedLoad()
{
    PoolSimulationSettings settings;
    settings.speed = contendedSpeed();
    settings.kinds = { { 0, Milliseconds(400), 787, 107, 212 }, { 1, Milliseconds(400), 607, 70, 118 }, { 2, Milliseconds(1000), 1290, 107, 166 } };
    settings.burstKind = 2;
    settings.burstFactor = 1.9;
    settings.burstFrom = Milliseconds(5000);
    settings.burstUntil = Milliseconds(8000);
    return settings;
}

bool isInBurst(const CallOutcome& call) { return call.arrivedAt >= Milliseconds(5000) && call.arrivedAt < Milliseconds(8000); }

auto kind(std::size_t number)
{
    return [number](const CallOutcome& call) { return call.kind == number; };
}

// Half of the calls move to a third of the entry VMs from 2 to 4 s. Returns the share in time of the
// calls that arrive later than 3 s after the move.
double inTimeAfterMove(unsigned entries, unsigned engines, double load, bool isDivided, bool usesCommonQueue)
{
    constexpr double callsPerEngine = 7.93; // a second, at full use
    PoolSimulationSettings settings;
    settings.speed = contendedSpeed();
    settings.entries = entries;
    settings.engines = engines;
    settings.kinds = { { 0, Milliseconds(400), 912, 98, engines * callsPerEngine * load } };
    settings.length = Milliseconds(9000);
    settings.movedShare = 0.5;
    settings.moveFrom = Milliseconds(2000);
    settings.moveUntil = Milliseconds(4000);
    settings.isDivided = isDivided;
    settings.usesCommonQueue = usesCommonQueue;
    return simulatePool(settings, 1).shareInTime([](const CallOutcome& call) { return call.arrivedAt >= Milliseconds(7000); });
}

void checkMove(unsigned entries, unsigned engines, double load)
{
    const auto even = inTimeAfterMove(entries, engines, load, false, false);
    const auto divided = inTimeAfterMove(entries, engines, load, true, false);
    const auto common = inTimeAfterMove(entries, engines, load, false, true);
    UT_PRINT(("in time after the move: even split " + std::to_string(even) + ", shares " + std::to_string(divided) + ", common queue " + std::to_string(common)).c_str());
    CHECK_COMPARE(divided, >=, common - 0.05);
    CHECK_COMPARE(divided, >=, even);
}

}

TEST_GROUP(EngineDivision) {};

TEST(EngineDivision, SharesFollowDemandAndAFifthIsEven)
{
    DividedEngine engine(4);
    engine.demands = { 300, 100, 0, 0 };
    engine.run(0, 2000);
    DOUBLES_EQUAL(0.05 + 0.8 * 0.75, engine.shares[0].shareOf("engine", at(2000)), 1e-9);
    DOUBLES_EQUAL(0.05, engine.shares[2].shareOf("engine", at(2000)), 1e-9);
    DOUBLES_EQUAL(1, engine.sum(2000), 1e-9);
}

// Deployments with an even load are served as without shares.
TEST(EngineDivision, EvenDemandGivesTheEvenSplit)
{
    DividedEngine engine(38);
    engine.run(0, 2000);
    for (const auto& entry : engine.shares)
        DOUBLES_EQUAL(1.0 / 38, entry.shareOf("engine", at(2000)), 1e-9);
}

// A restarted agent that divided among the first entry VMs it hears would take the engine from the others.
TEST(EngineDivision, ARestartedAgentStatesNoShareUntilHalfOfTheSubscribersAreKnown)
{
    DividedEngine engine(10);
    engine.demands[0] = 1000;
    engine.run(0, 3000);
    engine.restartAgent();
    for (std::size_t i = 0; i < 4; ++i)
        engine.division.recordSubscription(std::to_string(i), demandOf(100), at(3000));
    engine.division.advance(at(3000));
    CHECK_FALSE(engine.division.statementFor("0").share.has_value());
    CHECK_FALSE(engine.division.statementFor("0").level.has_value());
    engine.shares[0].record("engine", engine.division.statementFor("0"), at(3000));
    DOUBLES_EQUAL(0.1, engine.shares[0].shareOf("engine", at(3000)), 1e-9);
    engine.division.recordSubscription("4", demandOf(100), at(3000));
    engine.division.advance(at(3000));
    CHECK(engine.division.statementFor("0").share.has_value());
}

// Cut off entry VMs must not go on with shares that the agent has given to others.
TEST(EngineDivision, SharesStayWithinAFifthAboveTheEngineWhileSomeEntriesAreCutOff)
{
    DividedEngine engine(12);
    engine.demands = { 900, 900, 900, 900, 900, 900, 100, 100, 100, 100, 100, 100 };
    engine.run(0, 3000);
    for (std::size_t i = 0; i < 6; ++i)
        engine.isCutOff[i] = true;
    engine.run(3000, 12000);
    DOUBLES_EQUAL(1.0 / 12 / 5, engine.shares[0].shareOf("engine", at(12000)), 1e-9);
    CHECK_COMPARE(engine.shares[6].shareOf("engine", at(12000)), >, 0.1);
    CHECK_COMPARE(engine.maxSum, <=, 1 + EngineDivision::evenPart + 1e-9);
}

// One datagram in ten is lost while demand moves from half of the entry VMs to the others.
TEST(EngineDivision, SharesAreRegainedAfterLostDatagrams)
{
    DividedEngine engine(10);
    engine.loss = 0.1;
    engine.demands = { 200, 200, 200, 200, 200, 0, 0, 0, 0, 0 };
    engine.run(0, 4000);
    engine.demands = { 0, 0, 0, 0, 0, 200, 200, 200, 200, 200 };
    engine.run(4000, 10000);
    CHECK_COMPARE(engine.shares[9].shareOf("engine", at(10000)), >, 0.1);
    CHECK_COMPARE(engine.shares[0].shareOf("engine", at(10000)), <, 0.05);
}

TEST(EngineDivision, ARestartedEntryGetsTheEvenPart)
{
    DividedEngine engine(4);
    engine.run(0, 2000);
    engine.division.recordSubscription("new", demandOf(0), at(2000));
    engine.division.advance(at(2000));
    DOUBLES_EQUAL(EngineDivision::evenPart / 5, *engine.division.statementFor("new").share, 1e-9);
}

// Randomly rounded places of many entry VMs add up to a varying number, which fills the engine or leaves it idle.
TEST(EngineDivision, TheWholePlacesOfAllEntriesAddUpToThoseOfTheEngine)
{
    DividedEngine engine(38);
    for (std::size_t i = 0; i < engine.demands.size(); ++i)
        engine.demands[i] = double(i);
    engine.run(0, 2000);
    for (const double offset : { 0.0, 0.3, 0.99 }) {
        engine.division.setOffset(offset);
        double places = 0;
        for (std::size_t i = 0; i < engine.shares.size(); ++i) {
            engine.shares[i].record("engine", engine.division.statementFor(std::to_string(i)), at(2000));
            places += engine.shares[i].placesOf("engine", 4, 0, at(2000));
        }
        DOUBLES_EQUAL(4, places, 1.01);
    }
}

// A cold engine crashes when entry VMs that it does not hear use it too.
TEST(EngineDivision, AnExpiredShareOfAnEngineThatMayBeColdIsNothing)
{
    DividedEngine engine(4);
    engine.run(0, 2000);
    engine.shares[0].setColdEngines({ "engine" });
    DOUBLES_EQUAL(0.25, engine.shares[0].shareOf("engine", at(2000)), 1e-9);
    DOUBLES_EQUAL(0, engine.shares[0].shareOf("engine", at(9000)), 1e-9);
}

TEST_GROUP(AdmissionLevel) {};

TEST(AdmissionLevel, EachPriorityKeepsItsPartAndTheRestGoesByPriority)
{
    EngineDemand demand;
    demand.add(0, 500);
    demand.add(1, 500);
    demand.add(2, 1000);
    const auto level = AdmissionLevel::highestFitting(demand, 1000);
    DOUBLES_EQUAL(1, level.fractionOf(0), 1e-9);
    DOUBLES_EQUAL(0.4, level.fractionOf(1), 1e-9);
    DOUBLES_EQUAL(AdmissionLevel::minShare, level.fractionOf(2), 1e-9);
    DOUBLES_EQUAL(1000, level.admittedOf(demand), 1e-6);
    CHECK(AdmissionLevel::highestFitting(demand, 2000).admitsAll());
    DOUBLES_EQUAL(0.1, AdmissionLevel::highestFitting(demand, 200).fractionOf(0), 1e-9);
}

// A pool whose calls all have one priority is served as without a level, whatever the load.
TEST(AdmissionLevel, OnePriorityHasNoLevel)
{
    EngineDivision division;
    division.recordSubscription("a", demandOf(5000, 3), at(0));
    division.advance(at(0));
    CHECK(division.statementFor("a").level->admitsAll());
}

// A level that rises as fast as it falls makes refused callers return into the next burst.
TEST(AdmissionLevel, FallsAtOnceAndRisesByAQuarterASecond)
{
    EngineDivision division;
    auto demand = demandOf(400, 0);
    demand.add(demandOf(2000, 1));
    division.recordSubscription("a", demand, at(0));
    division.advance(at(200));
    const double low = division.level().value();
    CHECK_COMPARE(low, <, 2);
    for (int now = 400; now <= 2200; now += 200) {
        division.recordSubscription("a", demandOf(400, 0), at(now));
        auto lower = demandOf(400, 0);
        lower.add(demandOf(100, 1));
        division.recordSubscription("a", lower, at(now));
        division.advance(at(now));
    }
    DOUBLES_EQUAL(low + 0.5, division.level().value(), 1e-6);
}

TEST(AdmissionLevel, LargeCallsKeepHalfOfTheChanceOfTheirKind)
{
    DeferralDecision decision;
    RandomSource random(1);
    std::vector<std::pair<double, bool>> calls;
    double admittedTime = 0;
    double time = 0;
    for (int i = 0; i < 20000; ++i) {
        const double size = 60 + 180 * random.unit();
        const bool isAdmitted = !decision.isDeferred(2, size, 0.3);
        calls.push_back({ size, isAdmitted });
        time += size;
        admittedTime += isAdmitted ? size : 0;
    }
    std::sort(calls.begin(), calls.end());
    const auto admittedPart = [&calls](std::ptrdiff_t from, std::ptrdiff_t until) {
        return double(std::count_if(calls.begin() + from, calls.begin() + until, [](const auto& call) { return call.second; })) / double(until - from);
    };
    DOUBLES_EQUAL(0.3, admittedTime / time, 0.02);
    CHECK_COMPARE(admittedPart(18000, 20000), >=, admittedPart(0, 20000) / 2);
    CHECK_COMPARE(admittedPart(0, 1000), >=, 0.9); // small calls cost the least
}

// A deferred caller that returns before the level can have risen is refused again.
TEST(AdmissionLevel, ADeferredCallThatCannotBeServedIsRefusedAtOnceWithTheTimeOfRoom)
{
    EnginePool pool(1);
    pool.setSpeed(contendedSpeed());
    pool.setEngines({ "a" });
    EngineReport report;
    report.runningCalls = 12;
    report.waitingCalls = 10;
    pool.recordReport("a", report, at(0), { 1.0, 0.0, AdmissionLevel(1.5) });
    CallQueue queue(pool);
    queue.add({ 1, { 900, 90 }, 2, at(1000), at(1600), {}, false }, at(1));
    const auto decisions = queue.advance(at(1));
    LONGS_EQUAL(1, decisions.refused.size());
    LONGS_EQUAL(1, queue.levelCounts().deferredRefused);
    LONGS_EQUAL(2800, decisions.retryAfterOf(1).count()); // 0.7 at 0.25 a second
}

// Calls that do not wait would otherwise use places that belong to other entry VMs.
TEST(EngineDivision, AnEngineWithAPlaceInTheShareIsPreferred)
{
    EnginePool pool(1);
    pool.setSpeed(contendedSpeed());
    pool.setEngines({ "mine", "others" });
    pool.recordReport("mine", {}, at(0), { 1.0, 0.0, std::nullopt });
    pool.recordReport("others", {}, at(0), { 0.0, 0.0, std::nullopt });
    for (std::uint64_t call = 1; call <= 3; ++call) {
        const auto choice = pool.choose({ 900, 90 }, {}, at(1));
        STRCMP_EQUAL("mine", choice->upstream.c_str());
        pool.recordSend("mine", call, { 900, 90 }, at(1));
    }
}

TEST_GROUP(SubscriptionSchedule) {};

TEST(SubscriptionSchedule, ChangedDemandIsStatedAtOnceButNotMoreOftenThanFiveTimesASecond)
{
    SubscriptionSchedule schedule;
    LONGS_EQUAL(2, schedule.due({ "a", "b" }, demandOf(100), at(0)).size());
    LONGS_EQUAL(0, schedule.due({ "a", "b" }, demandOf(120), at(400)).size());
    LONGS_EQUAL(2, schedule.due({ "a", "b" }, demandOf(130), at(400)).size());
    LONGS_EQUAL(0, schedule.due({ "a", "b" }, demandOf(300), at(500)).size());
    LONGS_EQUAL(1, schedule.due({ "a", "b", "c" }, demandOf(130), at(500)).size());
    LONGS_EQUAL(3, schedule.due({ "a", "b", "c" }, demandOf(130), at(1500)).size());
}

TEST_GROUP(DivisionMessage) {};

// At 360 entry VMs, 32 engines inform one entry VM five times a second, and it states its demand to each.
TEST(DivisionMessage, MessagesStayWithinTheirSizes)
{
    EngineUpdate update { "engine-north-a-0123", "10.123.123.123:18080", {}, true, EngineAvailability::Serving, Milliseconds(12345), { 0.0123, 0.9876, AdmissionLevel(2.345) } };
    update.report = { 123456, true, 123, 12, 123456789.5, 223456789.5, 12345, 1.2345, 1796400000000, Milliseconds(0), false, { { "model-a", 123 } } };
    auto demand = demandOf(123, 0);
    demand.add(1, 88);
    demand.add(2, 456);
    const UpdateSubscription subscription { { "entry-north-a-0123", "10.123.123.123:17070", "north", "north-a", "entry" }, demand };
    UT_PRINT(("bytes: subscription " + std::to_string(encodePeerMessage(subscription).size()) + ", update " + std::to_string(encodePeerMessage(update).size())).c_str());
    CHECK_COMPARE(encodePeerMessage(subscription).size(), <, 120u);
    CHECK_COMPARE(encodePeerMessage(update).size(), <, 200u);
    const auto decoded = std::get<UpdateSubscription>(decodePeerMessage(encodePeerMessage(subscription)).value());
    CHECK(decoded.demand == demand);
    const auto statement = std::get<EngineUpdate>(decodePeerMessage(encodePeerMessage(update)).value()).division;
    DOUBLES_EQUAL(0.0123, *statement.share, 1e-4);
    DOUBLES_EQUAL(0.9876, statement.begin, 1e-4);
    DOUBLES_EQUAL(2.345, statement.level->value(), 1e-3);
}

// During an upgrade, processes of both versions exchange messages.
TEST(DivisionMessage, MessagesOfProcessesBeforeAnUpgradeAreDecoded)
{
    const auto subscription = decodePeerMessage(encodePeerMessage(UpdateSubscription { { "a", "b", "c", "d", "e" }, std::nullopt }));
    CHECK_FALSE(std::get<UpdateSubscription>(subscription.value()).demand.has_value());
    auto bytes = encodePeerMessage(EngineUpdate {});
    // CBOR arrays below 24 elements begin with 0x80 plus their number; the last element, an empty array, is one byte.
    bytes[0] = char(bytes[0] - 1);
    bytes.pop_back();
    CHECK_FALSE(std::get<EngineUpdate>(decodePeerMessage(bytes).value()).division.share.has_value());
}

TEST_GROUP(PoolDivision) {};

// Callers move to other entry VMs, as after the loss of a failure domain, at 0.8 of the engines'
// time. With even shares, the calls of busy entry VMs wait while engines are free.
TEST(PoolDivision, SharesFollowAMoveAt18Entries) { checkMove(18, 24, 0.8); }
TEST(PoolDivision, SharesFollowAMoveAt62Entries) { checkMove(62, 52, 0.8); }
TEST(PoolDivision, SharesFollowAMoveAt360Entries) { checkMove(360, 120, 0.8); }

// The same at 1.1 times the engines' time.
TEST(PoolDivision, SharesFollowAMoveOfAnOverload) { checkMove(62, 52, 1.1); }

// Without a level, the burst of the least urgent kind makes all kinds late.
TEST(PoolDivision, UrgentCallsAreInTimeDuringABurstOfLessUrgentOnes)
{
    const auto result = simulatePool(contendedLoad(), 1);
    CHECK_COMPARE(result.shareInTime([](const CallOutcome& call) { return call.kind == 0 && isInBurst(call); }), >=, 0.95);
}

TEST(PoolDivision, TheLevelRaisesTheUrgentCallsInTimeDuringABurst)
{
    auto settings = contendedLoad();
    const auto isUrgentInBurst = [](const CallOutcome& call) { return call.kind == 0 && isInBurst(call); };
    const auto leveled = simulatePool(settings, 1).shareInTime(isUrgentInBurst);
    settings.usesLevel = false;
    CHECK_COMPARE(leveled, >, simulatePool(settings, 1).shareInTime(isUrgentInBurst) + 0.3);
}

// A level without floors serves no call of the least urgent kind, and no large one.
TEST(PoolDivision, NoKindOrSizeStarvesDuringABurst)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        const auto result = simulatePool(contendedLoad(), seed);
        const double all = result.shareServed([](const CallOutcome&) { return true; });
        for (std::size_t number = 0; number < 3; ++number) {
            CHECK_COMPARE(result.shareServed(kind(number)), >=, all / 4);
            for (std::size_t lessUrgent = number + 1; lessUrgent < 3; ++lessUrgent)
                CHECK_COMPARE(result.shareServed(kind(number)), >=, result.shareServed(kind(lessUrgent)) - 0.05);
            const double largest = contendedLoad().kinds[number].promptTokens * (1.6 - 0.12); // sizes are uniform from 0.4 to 1.6
            const auto isLargest = [number, largest](const CallOutcome& call) { return call.kind == number && call.promptTokens >= largest; };
            CHECK_COMPARE(result.shareServed(isLargest), >=, result.shareServed(kind(number)) / 2);
        }
    }
}

// Callers that return before there is room are refused a second time, and for good.
TEST(PoolDivision, FewReturnedCallersAreRefusedAgain)
{
    CHECK_COMPARE(simulatePool(contendedLoad(), 1).shareRefusedAgain(), <, 0.2);
}
