#include "TestSupport.h"

#include <hyssopwick_distribution.h>
#include <nlohmann/json.hpp>

using namespace hyssopwick;

namespace {
Manifest smallManifest() { return Manifest::build("m", "v1", std::string(10, 'a') + std::string(10, 'b') + std::string(5, 'c'), 10); }

ErrorCode parseError(const nlohmann::json& json)
{
    const auto text = json.dump();
    return Manifest::parse(text, Digest::of(text)).error().code;
}

PlacementCandidate candidate(const std::string& id, const std::string& domain, bool isLeaving = false) { return { { id, "", "r", domain, "model" }, isLeaving }; }

PlacementRecord placementOf(std::int64_t replicas, std::int64_t minServing)
{
    PlacementRecord record;
    record.name = "m";
    record.version = "v2";
    record.manifest = digestOf(2);
    record.workerKind = "model";
    record.replicas = replicas;
    record.minServing = minServing;
    return record;
}
}

TEST_GROUP(ManifestParsing) {};

TEST(ManifestParsing, RoundTripWithSizes)
{
    const auto manifest = smallManifest();
    const auto parsed = Manifest::parse(manifest.text(), manifest.digest());
    CHECK(parsed.value() == manifest);
    LONGS_EQUAL(3, manifest.chunkCount());
    LONGS_EQUAL(5, manifest.sizeOf(2));
}

TEST(ManifestParsing, OnlyThePinnedDigestIsAccepted)
{
    CHECK(Manifest::parse(smallManifest().text() + " ", smallManifest().digest()).error().code == ErrorCode::Corrupt);
}

TEST(ManifestParsing, MalformedManifestsAreRejected)
{
    const auto good = nlohmann::json::parse(smallManifest().text());
    for (const auto& change : std::vector<std::pair<std::string, nlohmann::json>> {
             { "total_bytes", 26 * 10 }, { "total_bytes", 0 }, { "chunk_bytes", 0 }, { "chunk_bytes", -1 }, { "chunk_bytes", 1ll << 40 },
             { "format", 2 }, { "chunks", nlohmann::json::array() }, { "chunks", "x" }, { "total_bytes", "25" },
             { "chunks", { good["chunks"][0], good["chunks"][0], good["chunks"][1] } }, { "chunks", { "00", "11", "22" } } }) {
        auto bad = good;
        bad[change.first] = change.second;
        CHECK(parseError(bad) == ErrorCode::InvalidInput);
    }
}

TEST_GROUP(Chunks) {};

TEST(Chunks, OnlyVerifiedBytesWithinBudgetAreStored)
{
    const auto manifest = smallManifest();
    ChunkStore store(15);
    const auto bytes = std::make_shared<const std::string>(std::string(10, 'a'));
    CHECK(store.insert(manifest.chunks()[1], 10, bytes).error().code == ErrorCode::Corrupt);
    CHECK(store.insert(manifest.chunks()[0], 9, bytes).error().code == ErrorCode::Corrupt);
    CHECK(store.insert(manifest.chunks()[0], 10, bytes).has_value());
    CHECK(store.insert(manifest.chunks()[0], 10, bytes).has_value());
    LONGS_EQUAL(10, store.usedBytes());
    CHECK(store.insert(manifest.chunks()[1], 10, std::make_shared<const std::string>(std::string(10, 'b'))).error().code == ErrorCode::RateLimited);
    CHECK_FALSE(store.holdsAll(manifest));
    LONGS_EQUAL(15, store.missingBytes(manifest));
}

TEST(Chunks, RetainOnlyFreesAllOtherChunks)
{
    const auto manifest = smallManifest();
    ChunkStore store(100);
    CHECK(store.insert(manifest.chunks()[0], 10, std::make_shared<const std::string>(std::string(10, 'a'))).has_value());
    CHECK(store.insert(Digest::of("zz"), 2, std::make_shared<const std::string>("zz")).has_value());
    LONGS_EQUAL(2, store.retainOnly({ manifest }));
    CHECK(store.find(manifest.chunks()[0]) != nullptr);
    CHECK(store.find(Digest::of("zz")) == nullptr);
}

TEST(Chunks, SetsRoundTripThroughHexAndIgnoreBitsOutOfRange)
{
    ChunkSet set(70);
    set.insert(0);
    set.insert(69);
    CHECK(ChunkSet::fromHex(set.hex(), 70) == set);
    CHECK(ChunkSet::fromHex("xyz", 70).isEmpty());
    LONGS_EQUAL(70, ChunkSet::fromHex(std::string(32, 'f'), 70).size());
    LONGS_EQUAL(1, set.without(ChunkSet::fromHex(std::string(16, 'f') + std::string(16, '0'), 70)).size());
}

TEST_GROUP(Placement) {};

TEST(Placement, ReplicasAreSpreadOverDomainsWithoutLeavingVms)
{
    std::vector<PlacementCandidate> candidates;
    for (int i = 0; i < 12; ++i)
        candidates.push_back(candidate("vm-" + std::to_string(i), "d" + std::to_string(i % 3), i == 4));
    const auto placement = placementOf(6, 0);
    const auto chosen = chooseReplicas(Bundle({ placement }), placement, candidates);
    LONGS_EQUAL(6, chosen.size());
    std::map<std::string, int> perDomain;
    for (const auto& id : chosen) {
        CHECK(id != "vm-4");
        ++perDomain["d" + std::to_string(std::stoi(id.substr(3)) % 3)];
    }
    for (const auto& [domain, count] : perDomain)
        LONGS_EQUAL(2, count);
}

TEST(Placement, AFailedVmIsReplacedAndTheOthersStay)
{
    std::vector<PlacementCandidate> candidates;
    for (int i = 0; i < 9; ++i)
        candidates.push_back(candidate("vm-" + std::to_string(i), "d" + std::to_string(i % 3)));
    const auto placement = placementOf(3, 0);
    const auto before = chooseReplicas(Bundle({ placement }), placement, candidates);
    candidates.erase(std::find_if(candidates.begin(), candidates.end(), [&](const auto& item) { return item.vm.id == before[0]; }));
    const auto after = chooseReplicas(Bundle({ placement }), placement, candidates);
    LONGS_EQUAL(3, after.size());
    CHECK(std::count(after.begin(), after.end(), before[1]) + std::count(after.begin(), after.end(), before[2]) == 2);
}

TEST(Placement, AdaptersArePlacedOnlyOnVmsOfTheirBase)
{
    auto base = placementOf(2, 0);
    auto adapter = placementOf(4, 0);
    adapter.name = "adapter";
    adapter.base = "m";
    const std::vector<PlacementCandidate> candidates { candidate("a", "1"), candidate("b", "2"), candidate("c", "3"), candidate("d", "1") };
    const Bundle bundle({ base, adapter });
    const auto onBase = chooseReplicas(bundle, base, candidates);
    const auto onAdapter = chooseReplicas(bundle, adapter, candidates);
    LONGS_EQUAL(2, onAdapter.size());
    for (const auto& id : onAdapter)
        CHECK(std::count(onBase.begin(), onBase.end(), id) == 1);
    CHECK(chooseReplicas(Bundle({ adapter }), adapter, candidates).empty());
}

TEST_GROUP(Rollout)
{
    RolloutDecision rollout { placementOf(4, 3), at(0) };
    void setup() override
    {
        rollout.setReplicas({ "a", "b", "c", "d" });
        for (const auto* vm : { "a", "b", "c", "d" })
            report(vm, 1, true);
    }
    void report(const std::string& vm, int serving, bool isStaged, int failed = 0, std::int64_t now = 10)
    {
        rollout.recordReport({ vm, serving ? digestOf(serving) : Digest(), isStaged ? digestOf(2) : Digest(), failed ? digestOf(failed) : Digest() }, at(now));
    }
    bool isGranted(const std::string& vm, std::int64_t now = 20) { return rollout.decide(vm, 7, at(now + 3000), at(now)).has_value(); }
};

TEST(Rollout, GrantsLeaveAtLeastMinServingReplicasInService)
{
    CHECK(isGranted("a"));
    CHECK_FALSE(isGranted("b"));
    report("a", 0, true);
    CHECK_FALSE(isGranted("b"));
    report("a", 2, true);
    CHECK(isGranted("b"));
    CHECK_FALSE(isGranted("c"));
}

TEST(Rollout, AVmThatServesNothingLoadsAtOnce)
{
    report("a", 0, true);
    report("b", 0, true);
    CHECK(isGranted("a"));
    CHECK(isGranted("b"));
    CHECK_FALSE(isGranted("c"));
}

TEST(Rollout, StaleReportsDoNotCountAsServing)
{
    report("a", 1, true, 0, 9000);
    CHECK_FALSE(isGranted("a", 9010));
}

TEST(Rollout, NoGrantForUnstagedOrUnknownVmsOrOutsideTheLease)
{
    report("a", 0, false);
    CHECK_FALSE(isGranted("a"));
    CHECK_FALSE(isGranted("stranger"));
    CHECK_FALSE(rollout.decide("b", 7, at(20), at(20)).has_value());
    RolloutDecision newCoordinator(placementOf(1, 0), at(100));
    newCoordinator.setReplicas({ "a" });
    newCoordinator.recordReport({ "a", {}, digestOf(2), {} }, at(10));
    CHECK_FALSE(newCoordinator.decide("a", 7, at(9000), at(99)).has_value());
    CHECK(newCoordinator.decide("a", 7, at(9000), at(101)).has_value());
}

TEST(Rollout, FailedLoadsHaltTheRolloutUntilANewVersion)
{
    report("a", 1, true, 2);
    CHECK_FALSE(rollout.status().isHalted);
    report("b", 1, true, 2);
    CHECK(rollout.status().isHalted);
    CHECK_FALSE(isGranted("c"));
    auto next = placementOf(4, 3);
    next.manifest = digestOf(3);
    rollout.setPlacement(next);
    CHECK_FALSE(rollout.status().isHalted);
}
