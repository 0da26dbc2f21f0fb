#include "FleetSupport.h"

using namespace hyssopwick;

TEST_GROUP(PromptCrash)
{
    EventLoop loop { 1 };
    Fleet fleet { loop, 6, 8, "bad0" };
};

// No two requests are alike; sound ones share their caller and all other blocks of their prompts.
TEST(PromptCrash, ABlockThatCrashesEnginesIsRefusedByAllEntriesAndOthersAreServed)
{
    constexpr int rounds = 40;
    unsigned served = 0;
    for (int round = 0; round < rounds; ++round) {
        const auto number = std::to_string(round);
        fleet.call(static_cast<std::size_t>(round) % 6, "crashing" + number, "a1:40,b2:200,bad0:300,c" + number + ":100");
        served += fleet.call(static_cast<std::size_t>(round + 1) % 6, "sound" + number, "a1:40,b2:200,d" + number + ":100") == 200;
    }
    // Five crashes, and three more until all entry VMs know of them.
    CHECK_COMPARE(fleet.crashes(), <=, 8u);
    LONGS_EQUAL(rounds, served);
}

TEST(PromptCrash, AnEntryThatStartsLaterRefusesTheBlockToo)
{
    int round = 0;
    fleet.runUntil([&] { // a recheck has confirmed the quarantine
        const auto number = std::to_string(round++);
        fleet.call(static_cast<std::size_t>(round) % 6, "crashing" + number, "a1:40,bad0:300,c" + number + ":100");
        return fleet.store().countUnder("hyssopwick/prompt-blocks/") > 0;
    });
    const auto crashes = fleet.crashes();
    CHECK_COMPARE(crashes, <=, 8u);
    fleet.addEntry();
    for (int late = 0; late < 10; ++late)
        fleet.call(6, "late" + std::to_string(late), "a1:40,bad0:300,e" + std::to_string(late) + ":100");
    LONGS_EQUAL(200, fleet.call(6, "sound", "f1:40,f2:100"));
    CHECK_COMPARE(fleet.crashes(), <=, crashes + 1); // a recheck may be due meanwhile
}

TEST_GROUP(CrashContainment)
{
    EventLoop loop { 1 };
    EventLog log { "test", [](const std::string&) {} };
    MetricsRegistry metrics;
    GatewayContext context { loop, {}, platform::platformPorts(), log, metrics, 1 };
    CrashContainment containment { context };
    std::vector<CrashObservation> observations;

    void setup() override
    {
        containment.onObservation([this](const PeerMessage& message) { observations.push_back(std::get<CrashObservation>(message)); });
    }

    void lose(TimePoint sentAt, bool isAnswered) { containment.recordLost("10.0.0.1:1", { { digestOf(1), { "b" } }, "r", sentAt, isAnswered }); }
};

TEST(CrashContainment, ACallThatIsLostAfterItsUpstreamWasFoundDownCounts)
{
    const auto sentAt = monotonicNow() - Milliseconds(1);
    containment.recordUpstreamDown("10.0.0.1:1");
    lose(sentAt, false);
    LONGS_EQUAL(1, observations.size());
    CHECK(observations.front().promptBlocks == std::vector<std::string>({ "b" }));
}

TEST(CrashContainment, ACallThatWasSentAfterItsUpstreamWasFoundDownDoesNotCount)
{
    containment.recordUpstreamDown("10.0.0.1:1");
    lose(monotonicNow() + Milliseconds(1), false);
    CHECK(observations.empty());
}

TEST(CrashContainment, TheBlocksOfACallThatWasAnsweredForSomeTimeAreNotBlamed)
{
    lose(monotonicNow() - Milliseconds(1000), true);
    containment.recordUpstreamDown("10.0.0.1:1");
    LONGS_EQUAL(1, observations.size());
    CHECK(observations.front().promptBlocks.empty());
}
