#include "TestSupport.h"

#include <algorithm>
#include <hyssopwick_fakes.h>
#include <hyssopwick_gateway.h>

using namespace hyssopwick;

namespace {

SwarmMember member(const std::string& region, int number) { return { region + std::to_string(number), region, region + "-a", 1 }; }

// Time for one copy over a VM's link.
std::int64_t copyMilliseconds(const SwarmNetworkSettings& settings) { return static_cast<std::int64_t>(1000.0 * settings.chunks * double(settings.chunkBytes) / settings.vmBytesPerSecond); }

void addFleet(FakeSwarmNetwork& network, int perRegion, bool isWhole)
{
    for (const auto* region : { "north", "central", "south" }) {
        for (int i = 0; i < perRegion; ++i)
            network.add(member(region, i), isWhole);
    }
}

}

TEST_GROUP(PullDecision) {};

// Load answered: a new version for 24 VMs that hold nothing of it.
TEST(PullDecision, ANewVersionReachesAllInLittleMoreThanACopysTime)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        const SwarmNetworkSettings settings;
        FakeSwarmNetwork network(settings, seed);
        addFleet(network, 8, false);
        network.run(Milliseconds(6000));
        const auto times = network.completionTimes();
        LONGS_EQUAL(24, times.size());
        // Half of the time in which a named version has to be in service (8 s); the loads
        // need the other half.
        CHECK(times.back() <= 4000);
        CHECK(network.originBytes() <= 1.3 * settings.chunks * double(settings.chunkBytes));
    }
}

// Load answered: VMs added to a fleet that holds everything.
TEST(PullDecision, AnAddedVmIsWholeWithinItsLinksTime)
{
    const SwarmNetworkSettings settings;
    FakeSwarmNetwork network(settings, 3);
    addFleet(network, 5, true);
    network.run(Milliseconds(1000));
    for (int i = 10; i < 14; ++i)
        network.add(member("north", i), false);
    network.run(Milliseconds(6000));
    const auto times = network.completionTimes();
    LONGS_EQUAL(19, times.size());
    CHECK(times.back() <= copyMilliseconds(settings) * 13 / 10);
    CHECK(network.regionBytes() <= settings.chunks * double(settings.chunkBytes));
}

TEST(PullDecision, DeadVmsDoNotHoldUpTheOthers)
{
    const SwarmNetworkSettings settings;
    FakeSwarmNetwork network(settings, 4);
    addFleet(network, 6, false);
    network.run(Milliseconds(700));
    for (int i = 0; i < 3; ++i)
        network.kill(member("central", i).id);
    network.kill(member("south", 0).id);
    network.run(Milliseconds(9000));
    LONGS_EQUAL(14, network.completionTimes().size());
}

TEST(PullDecision, AnOriginThatWasAwayIsAskedAgainWithoutACrowd)
{
    const SwarmNetworkSettings settings;
    FakeSwarmNetwork network(settings, 5);
    network.setOriginUp(false);
    addFleet(network, 6, false);
    network.run(Milliseconds(6000));
    LONGS_EQUAL(0, network.completionTimes().size());
    network.setOriginUp(true);
    network.run(Milliseconds(9000));
    LONGS_EQUAL(18, network.completionTimes().size());
    CHECK(network.originBytes() <= 1.5 * settings.chunks * double(settings.chunkBytes));
}

TEST(PullDecision, ACorruptChunkIsFetchedElsewhere)
{
    const auto now = testStart();
    PullDecision decision({ member("north", 0), 1e6, 1e6, 24 }, "key", 1, 1000, 1, now);
    decision.setMembers({ member("north", 1), member("north", 2) });
    ChunkSet all(1);
    all.insert(0);
    decision.recordHeld("north1", all);
    std::string first;
    for (const auto& action : decision.advance(now)) {
        if (const auto* pull = std::get_if<PullChunk>(&action))
            first = pull->member;
    }
    STRCMP_EQUAL("north1", first.c_str());
    decision.recordCorruptChunk(0, first, now);
    decision.recordHeld("north2", all);
    std::string second;
    for (const auto& action : decision.advance(now + Milliseconds(1))) {
        if (const auto* pull = std::get_if<PullChunk>(&action))
            second = pull->member;
    }
    STRCMP_EQUAL("north2", second.c_str());
    CHECK_FALSE(decision.isComplete());
}

// Load answered: many VMs fetch at once, and few of them hold the rarest chunks.
TEST(PullDecision, TheHoldersOfRareChunksAreNotAskedByEverybody)
{
    constexpr std::uint32_t chunks = 12;
    ChunkSet common(chunks);
    for (std::uint32_t chunk = 1; chunk < chunks; ++chunk)
        common.insert(chunk);
    ChunkSet all = common;
    all.insert(0);
    int rareFirst = 0;
    constexpr int vms = 100;
    for (std::uint64_t seed = 1; seed <= vms; ++seed) {
        PullDecision decision({ member("north", 0), 1e6, 1e6, 24 }, "key", chunks, 1000, seed, testStart());
        std::vector<SwarmMember> members;
        for (int i = 1; i <= 6; ++i)
            members.push_back(member("north", i));
        decision.setMembers(members);
        for (int i = 1; i <= 6; ++i)
            decision.recordHeld(member("north", i).id, i == 1 ? all : common);
        for (const auto& action : decision.advance(testStart())) {
            const auto* pull = std::get_if<PullChunk>(&action);
            if (!pull)
                continue;
            rareFirst += pull->member == "north1";
            break;
        }
    }
    // One of six holds it; half of all requests at that one would leave other links idle.
    CHECK(rareFirst < vms / 2);
    CHECK(rareFirst > 0);
}

TEST_GROUP(EngineActivation) {};

TEST(EngineActivation, AnEngineThatServesNothingIsNotHeldBackBeforeItsLoad)
{
    EngineReport empty;
    CHECK(EngineActivation::drainingTime(empty) == Milliseconds(0));
    EngineReport serving;
    serving.loadedVersions["model"] = 1;
    CHECK(EngineActivation::drainingTime(serving) > Milliseconds(0));
    EngineReport busy;
    busy.runningCalls = 1;
    CHECK(EngineActivation::drainingTime(busy) > Milliseconds(0));
}

TEST_GROUP(ActivationSchedule) {};

// Plays a rollout: every VM asks for its turn each 50 ms and loads for 800 ms.
TEST(ActivationSchedule, LoadsAreSpreadOverTheTimeThatIsLeft)
{
    constexpr int count = 24;
    constexpr std::int64_t startBy = 4200;
    constexpr std::int64_t loadTime = 800;
    std::vector<std::string> ids;
    for (int i = 0; i < count; ++i)
        ids.push_back("vm" + std::to_string(i));
    std::vector<ActivationSchedule> turns;
    for (const auto& id : ids) {
        turns.emplace_back(id, "model/2", Milliseconds(loadTime), at(0), at(startBy));
        auto peers = ids;
        peers.erase(std::find(peers.begin(), peers.end(), id));
        turns.back().setPeers(peers);
    }
    std::vector<std::int64_t> loadingSince(count, -1);
    int most = 0;
    for (std::int64_t now = 0; now <= startBy; now += 50) {
        for (int i = 0; i < count; ++i) {
            const bool isLoaded = loadingSince[i] >= 0 && now >= loadingSince[i] + loadTime;
            const ActivationState state { true, loadingSince[i] >= 0 && !isLoaded, isLoaded };
            for (int j = 0; j < count; ++j)
                turns[j].recordPeer(ids[i], state, at(now));
        }
        int loading = 0;
        for (int i = 0; i < count; ++i) {
            if (loadingSince[i] < 0 && turns[i].mayLoad(true, at(now)))
                loadingSince[i] = now;
            loading += loadingSince[i] >= 0 && now < loadingSince[i] + loadTime;
        }
        most = std::max(most, loading);
    }
    for (const auto since : loadingSince)
        CHECK(since >= 0 && since <= startBy);
    CHECK(most <= count / 3);
}

// Load answered: engines that are ready at the same moment and all serve.
TEST(ActivationSchedule, TheFirstLoadsDoNotBeginAtOnce)
{
    std::vector<std::string> ids;
    for (int i = 0; i < 24; ++i)
        ids.push_back("vm" + std::to_string(i));
    int atFirst = 0;
    int later = 0;
    for (const auto& id : ids) {
        ActivationSchedule turn(id, "model/2", Milliseconds(1000), at(0), at(4500));
        auto peers = ids;
        peers.erase(std::find(peers.begin(), peers.end(), id));
        turn.setPeers(peers);
        for (const auto& peer : peers)
            turn.recordPeer(peer, { true, false, false }, at(0));
        atFirst += turn.mayLoad(true, at(0));
        later += turn.mayLoad(true, at(1000));
    }
    LONGS_EQUAL(1, atFirst);
    CHECK(later > 3);
}

TEST(ActivationSchedule, NobodyWaitsWithoutServingOrPastTheBound)
{
    ActivationSchedule turn("vm0", "model/2", Milliseconds(800), at(0), at(1000));
    turn.setPeers({ "vm1" });
    turn.recordPeer("vm1", { true, true, false }, at(0));
    CHECK(turn.mayLoad(false, at(0)));
    CHECK(turn.mayLoad(true, at(1000)));
}

TEST(ActivationSchedule, AVmThatFellSilentHoldsUpNobody)
{
    ActivationSchedule turn("vm0", "model/2", Milliseconds(800), at(0), at(60000));
    turn.setPeers({ "vm1" });
    turn.recordPeer("vm1", { true, true, false }, at(0));
    CHECK_FALSE(turn.mayLoad(true, at(100)));
    CHECK(turn.mayLoad(true, at(5000)));
}
