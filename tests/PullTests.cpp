#include "TestSupport.h"

#include <algorithm>
#include <hyssopwick_fakes.h>
#include <hyssopwick_gateway.h>

using namespace hyssopwick;

namespace {

SwarmMember member(const std::string& region, int number) { return { region + std::to_string(number), region, region + "-a", 1 }; }

// Time to transfer one copy over a VM's link.
std::int64_t copyMilliseconds(const SwarmNetworkSettings& settings) { return static_cast<std::int64_t>(1000.0 * settings.chunks * double(settings.chunkBytes) / settings.vmBytesPerSecond); }

void addFleet(FakeSwarmNetwork& network, int perRegion, bool hasAllChunks)
{
    for (const auto* region : { "north", "central", "south" }) {
        for (int i = 0; i < perRegion; ++i)
            network.add(member(region, i), hasAllChunks);
    }
}

}

TEST_GROUP(PullDecision) {};

// Case: 24 VMs fetch a new version of which none holds a chunk.
TEST(PullDecision, ANewVersionReachesAllVmsInHalfTheTimeToActivateIt)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        const SwarmNetworkSettings settings;
        FakeSwarmNetwork network(settings, seed);
        addFleet(network, 8, false);
        network.run(Milliseconds(6000));
        const auto times = network.completionTimes();
        LONGS_EQUAL(24, times.size());
        // Half of the time in which a published version has to be in service (8 s); the loads
        // need the other half.
        CHECK(times.back() <= 4000);
        CHECK(network.originBytes() <= 1.3 * settings.chunks * double(settings.chunkBytes));
    }
}

// Case: VMs are added to a fleet that holds all chunks.
TEST(PullDecision, AddedVmsAreCompleteInLittleMoreThanTheTimeOfOneCopy)
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

TEST(PullDecision, FailedVmsDoNotDelayTheOthers)
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

TEST(PullDecision, AnOriginIsAskedForLittleMoreThanOneCopyAfterAnOutage)
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

TEST(PullDecision, ACorruptChunkIsFetchedFromAnotherMember)
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

// Case: many VMs fetch at the same time, and few of them hold the rarest chunk.
TEST(PullDecision, RequestsAreSpreadOverMembersWhenFewHoldTheRarestChunk)
{
    constexpr std::uint32_t chunks = 12;
    ChunkSet common(chunks);
    for (std::uint32_t chunk = 1; chunk < chunks; ++chunk)
        common.insert(chunk);
    ChunkSet all = common;
    all.insert(0);
    int askedRareHolder = 0;
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
            askedRareHolder += pull->member == "north1";
            break;
        }
    }
    // One of six members holds it; with half of all requests, it would leave the links of
    // the others idle.
    CHECK(askedRareHolder < vms / 2);
    CHECK(askedRareHolder > 0);
}

TEST_GROUP(EngineActivation) {};

TEST(EngineActivation, AnEngineThatServesNothingLoadsWithoutDelay)
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

// Simulates a rollout: every VM asks each 50 ms whether it may load, and loads for 800 ms.
TEST(ActivationSchedule, LoadsAreSpreadOverTheTimeLeft)
{
    constexpr int count = 24;
    constexpr std::int64_t startBy = 4200;
    constexpr std::int64_t loadTime = 800;
    std::vector<std::string> ids;
    for (int i = 0; i < count; ++i)
        ids.push_back("vm" + std::to_string(i));
    std::vector<ActivationSchedule> schedules;
    for (const auto& id : ids) {
        schedules.emplace_back(id, "model/2", Milliseconds(loadTime), at(0), at(startBy));
        auto peers = ids;
        peers.erase(std::find(peers.begin(), peers.end(), id));
        schedules.back().setPeers(peers);
    }
    std::vector<std::int64_t> loadingSince(count, -1);
    int mostLoading = 0;
    for (std::int64_t now = 0; now <= startBy; now += 50) {
        for (int i = 0; i < count; ++i) {
            const bool isLoaded = loadingSince[i] >= 0 && now >= loadingSince[i] + loadTime;
            const ActivationState state { true, loadingSince[i] >= 0 && !isLoaded, isLoaded };
            for (int j = 0; j < count; ++j)
                schedules[j].recordPeer(ids[i], state, at(now));
        }
        int loading = 0;
        for (int i = 0; i < count; ++i) {
            if (loadingSince[i] < 0 && schedules[i].mayLoad(true, at(now)))
                loadingSince[i] = now;
            loading += loadingSince[i] >= 0 && now < loadingSince[i] + loadTime;
        }
        mostLoading = std::max(mostLoading, loading);
    }
    for (const auto since : loadingSince)
        CHECK(since >= 0 && since <= startBy);
    CHECK(mostLoading <= count / 3);
}

// Case: all engines serve and are ready to load at the same time.
TEST(ActivationSchedule, TheLoadsOfAWaveStartOneAfterAnother)
{
    std::vector<std::string> ids;
    for (int i = 0; i < 24; ++i)
        ids.push_back("vm" + std::to_string(i));
    int atFirst = 0;
    int later = 0;
    for (const auto& id : ids) {
        ActivationSchedule schedule(id, "model/2", Milliseconds(1000), at(0), at(4500));
        auto peers = ids;
        peers.erase(std::find(peers.begin(), peers.end(), id));
        schedule.setPeers(peers);
        for (const auto& peer : peers)
            schedule.recordPeer(peer, { true, false, false }, at(0));
        atFirst += schedule.mayLoad(true, at(0));
        later += schedule.mayLoad(true, at(1000));
    }
    LONGS_EQUAL(1, atFirst);
    CHECK(later > 3);
}

TEST(ActivationSchedule, AnEngineThatServesNothingOrReachedItsLatestStartLoadsAtOnce)
{
    ActivationSchedule schedule("vm0", "model/2", Milliseconds(800), at(0), at(1000));
    schedule.setPeers({ "vm1" });
    schedule.recordPeer("vm1", { true, true, false }, at(0));
    CHECK(schedule.mayLoad(false, at(0)));
    CHECK(schedule.mayLoad(true, at(1000)));
}

TEST(ActivationSchedule, AVmWithoutRecentReportsDelaysNobody)
{
    ActivationSchedule schedule("vm0", "model/2", Milliseconds(800), at(0), at(60000));
    schedule.setPeers({ "vm1" });
    schedule.recordPeer("vm1", { true, true, false }, at(0));
    CHECK_FALSE(schedule.mayLoad(true, at(100)));
    CHECK(schedule.mayLoad(true, at(5000)));
}
