#include "TestSupport.h"

#include <algorithm>
#include <functional>
#include <hyssopwick_deployment.h>
#include <set>

using namespace hyssopwick;

namespace {

CallRoute route(const std::string& host, const std::string& prefix)
{
    CallRoute result;
    result.name = host + prefix;
    result.host = host;
    result.pathPrefix = prefix;
    result.targets = { { "service", 1 } };
    return result;
}

Upstream upstream(const std::string& id, const std::string& address)
{
    Upstream result;
    result.id = id;
    result.service = "models";
    result.address = address;
    return result;
}

}

TEST_GROUP(RouteTable) {};

TEST(RouteTable, TheLongestPrefixOfTheHostWins)
{
    DeploymentConfiguration configuration;
    configuration.routes = { route("a.example", "/x/"), route("a.example", "/x/y/"), route("b.example", "/x/") };
    const RouteTable table(configuration);
    STRCMP_EQUAL("a.example/x/y/", table.find("a.example", "/x/y/z?q=1")->name.c_str());
    STRCMP_EQUAL("a.example/x/", table.find("a.example", "/x/yz")->name.c_str());
    CHECK(!table.find("a.example", "/x")); // the prefix ends with a slash
    CHECK(!table.find("a.example", "/?p=/x/"));
    CHECK(!table.find("c.example", "/x/"));
}

TEST(RouteTable, TargetsAreChosenByWeight)
{
    auto split = route("a", "/");
    split.targets = { { "one", 90 }, { "two", 10 } };
    STRCMP_EQUAL("one", RouteTable::chooseTarget(split, 0.0).c_str());
    STRCMP_EQUAL("one", RouteTable::chooseTarget(split, 0.899).c_str());
    STRCMP_EQUAL("two", RouteTable::chooseTarget(split, 0.901).c_str());
    STRCMP_EQUAL("two", RouteTable::chooseTarget(split, 0.9999999).c_str());
}

TEST_GROUP(UpstreamRegistry) {};

TEST(UpstreamRegistry, DrainingUpstreamIsNotUsable)
{
    UpstreamRegistry registry(Milliseconds(1000));
    auto leaving = upstream("i-1", "10.0.0.1:80");
    registry.set(leaving);
    LONGS_EQUAL(1, registry.usable("models").size());
    leaving.state = UpstreamState::Draining;
    registry.set(leaving);
    LONGS_EQUAL(0, registry.usable("models").size());
    LONGS_EQUAL(1, registry.registered("models").size());
}

TEST(UpstreamRegistry, RepeatedRegistrationIsNoChange)
{
    UpstreamRegistry registry(Milliseconds(1000));
    CHECK(registry.set(upstream("i-1", "10.0.0.1:1")));
    const auto revision = registry.revision();
    CHECK_FALSE(registry.set(upstream("i-1", "10.0.0.1:1")));
    CHECK(revision == registry.revision());
    // A renewal within the grace period is a change: the upstream is usable beyond it again.
    registry.remove("i-1", RegistrationEnd::Ended, at(0));
    CHECK(registry.set(upstream("i-1", "10.0.0.1:1")));
    registry.expire(at(5000));
    LONGS_EQUAL(1, registry.usableAt("10.0.0.1:1").size());
    LONGS_EQUAL(0, registry.usableAt("10.0.0.2:1").size());
}

TEST(UpstreamRegistry, LapsedRegistrationIsUsableForTheGracePeriodOnly)
{
    UpstreamRegistry registry(Milliseconds(1000));
    registry.set(upstream("i-1", "10.0.0.1:80"));
    registry.remove("i-1", RegistrationEnd::Ended, at(0));
    LONGS_EQUAL(1, registry.usable("models").size());
    CHECK(*registry.nextExpiry() == at(1000));
    CHECK_FALSE(registry.expire(at(999)));
    CHECK(registry.expire(at(1000)));
    LONGS_EQUAL(0, registry.usable("models").size());
}

TEST(UpstreamRegistry, UnreadableOrDrainingRegistrationGetsNoGracePeriod)
{
    UpstreamRegistry registry(Milliseconds(1000));
    registry.set(upstream("i-1", "10.0.0.1:80"));
    registry.remove("i-1", RegistrationEnd::Unreadable, at(0));
    LONGS_EQUAL(0, registry.usable("models").size());
    auto leaving = upstream("i-2", "10.0.0.2:80");
    leaving.state = UpstreamState::Draining;
    registry.set(leaving);
    registry.remove("i-2", RegistrationEnd::Ended, at(0));
    CHECK(!registry.find("i-2"));
}

TEST(UpstreamRegistry, NewInstanceAtTheSameAddressReplacesALapsedOne)
{
    UpstreamRegistry registry(Milliseconds(1000));
    registry.set(upstream("i-1", "10.0.0.1:80"));
    registry.remove("i-1", RegistrationEnd::Ended, at(0));
    registry.set(upstream("i-2", "10.0.0.1:80"));
    LONGS_EQUAL(1, registry.usable("models").size());
    STRCMP_EQUAL("i-2", registry.usable("models").front()->id.c_str());
}

TEST_GROUP(StoreView) {};

TEST(StoreView, OlderUpdatesAreIgnored)
{
    StoreView view;
    view.apply({ 10, true, { { "a", "new", 9, false } } });
    LONGS_EQUAL(0, view.apply({ 8, true, { { "a", "old", 3, false } } }).size());
    LONGS_EQUAL(0, view.apply({ 11, false, { { "a", "old", 8, false } } }).size());
    STRCMP_EQUAL("new", view.records().at("a").value.c_str());
    LONGS_EQUAL(11, view.revision());
}

TEST(StoreView, SnapshotRemovesMissingRecords)
{
    StoreView view;
    view.apply({ 10, true, { { "a", "1", 5, false }, { "b", "1", 6, false } } });
    const auto changed = view.apply({ 20, true, { { "a", "1", 5, false } } });
    LONGS_EQUAL(1, changed.size());
    CHECK(changed[0].isDeleted);
    STRCMP_EQUAL("b", changed[0].key.c_str());
}

TEST(StoreView, FollowerThatSwitchesSourcesConvergesToTheStore)
{
    // Sources receive the changes one by one or as snapshots. A follower that switches
    // between the sources must end with the records of the store.
    RandomSource random(7);
    for (int trial = 0; trial < 200; ++trial) {
        StoreView sources[2];
        StoreView follower;
        std::map<std::string, StoreRecord> store;
        std::uint64_t revision = 1;
        std::vector<StoreRecord> log;
        std::uint64_t sourceRevisions[2] = { 0, 0 };
        for (int step = 0; step < 60; ++step) {
            const std::string key(1, static_cast<char>('a' + random.below(4)));
            ++revision;
            const bool isDelete = store.count(key) != 0 && random.below(3) == 0;
            const StoreRecord record { key, isDelete ? "" : std::to_string(revision), revision, isDelete };
            if (isDelete)
                store.erase(key);
            else
                store[key] = record;
            log.push_back(record);
            const auto index = random.below(2);
            if (random.below(2) == 0)
                continue;
            ViewUpdate update { revision, random.below(4) == 0 || sourceRevisions[index] == 0, {} };
            if (update.isSnapshot) {
                for (const auto& [name, item] : store)
                    update.records.push_back(item);
            } else {
                for (const auto& item : log) {
                    if (item.revision > sourceRevisions[index])
                        update.records.push_back(item);
                }
            }
            sources[index].apply(update);
            sourceRevisions[index] = revision;
            const auto& askedSource = sources[random.below(2)];
            if (askedSource.revision() > 0)
                follower.apply(askedSource.updateSince(follower.position()));
        }
        ViewUpdate last { ++revision, true, {} };
        for (const auto& [name, item] : store)
            last.records.push_back(item);
        sources[0].apply(last);
        follower.apply(sources[0].updateSince(follower.position()));
        LONGS_EQUAL(store.size(), follower.records().size());
        for (const auto& [name, item] : store)
            STRCMP_EQUAL(item.value.c_str(), follower.records().at(name).value.c_str());
    }
}

TEST_GROUP(ViewSourceDecision) {
    VmIdentity entry(const std::string& id, const std::string& region) const { return { id, id + ":1", region, region + "-a", "entry" };
}

std::vector<VmIdentity> fleet() const
{
    std::vector<VmIdentity> all;
    for (const auto* region : { "north", "south" }) {
        for (int i = 0; i < 5; ++i)
            all.push_back(entry(region + std::to_string(i), region));
    }
    return all;
}

std::vector<VmIdentity> others(const std::string& self) const
{
    auto all = fleet();
    all.erase(std::remove_if(all.begin(), all.end(), [&](const VmIdentity& vm) { return vm.id == self; }), all.end());
    return all;
}
}
;

TEST(ViewSourceDecision, OneEntryOfEachRegionFollowsTheStore)
{
    std::map<std::string, int> followers;
    for (const auto& vm : fleet()) {
        ViewSourceDecision decision(vm, true);
        decision.setEntries(others(vm.id));
        followers[vm.region] += decision.isDesignated();
        CHECK_EQUAL(decision.isDesignated(), std::holds_alternative<StoreSource>(decision.source()));
    }
    LONGS_EQUAL(1, followers["north"]);
    LONGS_EQUAL(1, followers["south"]);
}

TEST(ViewSourceDecision, AgentWithoutKnownEntriesReadsTheStore)
{
    const ViewSourceDecision decision(entry("agent", "north"), false);
    CHECK(std::holds_alternative<StoreSource>(decision.source()));
}

TEST(ViewSourceDecision, FailedOrStaleSourceIsReplaced)
{
    ViewSourceDecision decision(entry("agent", "north"), false);
    decision.setEntries(fleet());
    const auto first = decision.source();
    decision.recordAnswer(first, Milliseconds(10), at(0));
    CHECK(decision.source() == first);
    decision.recordAnswer(first, Milliseconds(5000), at(100));
    const auto second = decision.source();
    CHECK_FALSE(second == first);
    decision.recordFailure(second, at(200));
    CHECK_FALSE(decision.source() == second);
    CHECK(decision.age(at(1000)) == Milliseconds(1010));
}

TEST(ViewSourceDecision, ChangeAfterASuspensionMayDateFromItsStart)
{
    ViewSourceDecision decision(entry("agent", "north"), false);
    decision.setEntries(fleet());
    decision.recordAnswer(decision.source(), Milliseconds(500), at(10000));
    decision.confirmCurrentAt(at(9500));
    CHECK(decision.earliestChangeTime(at(10500)) == at(9500));
    CHECK(decision.earliestChangeTime(at(17000)) == at(9500));
    decision.recordFailure(decision.source(), at(17000));
    CHECK(decision.earliestChangeTime(at(17100)) == at(9500));
    // Peers that fail are no outage of the store.
    decision.recordFailure(decision.source(), at(18000));
    CHECK(decision.earliestChangeTime(at(18100)) == at(9500));
    // A second failure of the store means that it was unreachable, not that this process was suspended.
    decision.recordFailure(StoreSource {}, at(18500));
    CHECK(decision.earliestChangeTime(at(18600)) == at(9500));
    decision.recordFailure(StoreSource {}, at(19000));
    CHECK(decision.earliestChangeTime(at(19100)) == at(19100));
}

TEST(ViewSourceDecision, ChangeAfterAStaleAnswerMayDateFromTheLastCurrentOne)
{
    ViewSourceDecision decision(entry("agent", "north"), false);
    decision.setEntries(fleet());
    decision.recordAnswer(decision.source(), Milliseconds(0), at(10000));
    decision.confirmCurrentAt(at(10000));
    decision.recordLag(decision.source(), at(11000));
    CHECK(decision.earliestChangeTime(at(11200)) == at(10000));
    decision.recordAnswer(decision.source(), Milliseconds(1200), at(11200));
    CHECK(decision.earliestChangeTime(at(11400)) == at(10000));
}

// A watch whose connection goes silent ends after its wait and round trip.
TEST(ViewSourceDecision, ChangeAfterASilentWatchMayDateFromItsStart)
{
    ViewSourceDecision decision(entry("north0", "north"), true);
    decision.recordAnswer(StoreSource {}, Milliseconds(0), at(0));
    decision.confirmCurrentAt(at(0));
    decision.recordFailure(StoreSource {}, at(1300));
    CHECK(decision.earliestChangeTime(at(1360)) == at(0));
}

// Regression: the store dropped its history, which broke all watches at once. The processes
// then followed each other in a cycle for two seconds.
TEST(ViewSourceDecision, BrokenWatchIsRetriedBeforePeersAreAsked)
{
    for (const auto& vm : fleet()) {
        ViewSourceDecision decision(vm, true);
        decision.setEntries(others(vm.id));
        if (!decision.isDesignated())
            continue;
        decision.recordAnswer(StoreSource {}, Milliseconds(0), at(0));
        decision.recordFailure(StoreSource {}, at(10));
        CHECK(std::holds_alternative<StoreSource>(decision.source()));
        decision.recordFailure(StoreSource {}, at(20));
        CHECK(std::holds_alternative<PeerSource>(decision.source()));
    }
}

// There must be an order of the entries in which each one follows only entries before it.
TEST(ViewSourceDecision, EntriesOfARegionFollowWithoutCycles)
{
    std::map<std::string, std::set<std::string>> sourcesByEntry;
    std::set<std::string> designated;
    for (const auto& vm : fleet()) {
        ViewSourceDecision decision(vm, true);
        decision.setEntries(others(vm.id));
        if (decision.isDesignated())
            designated.insert(vm.id);
        for (int i = 0; i < 6; ++i) {
            const auto source = decision.source();
            const auto* peer = std::get_if<PeerSource>(&source);
            // Cycles across regions are excluded by ages (NoViewStaysCurrentWhileTheStoreIsUnreachable).
            if (peer && peer->id.compare(0, vm.region.size(), vm.region) == 0)
                sourcesByEntry[vm.id].insert(peer->id);
            decision.recordFailure(source, at(i));
        }
    }
    std::set<std::string> acyclic = designated;
    for (std::size_t i = 0; i < fleet().size(); ++i) {
        for (const auto& [id, sources] : sourcesByEntry) {
            if (std::includes(acyclic.begin(), acyclic.end(), sources.begin(), sources.end()))
                acyclic.insert(id);
        }
    }
    LONGS_EQUAL(fleet().size(), acyclic.size());
}

// Simulates a fleet for 20 s and returns the age of each process's view at the end.
std::map<std::string, Milliseconds> viewAgesAfterRun(const std::vector<VmIdentity>& fleet, const std::function<bool(const VmIdentity&)>& reachesStore)
{
    std::map<std::string, ViewSourceDecision> decisions;
    for (const auto& vm : fleet) {
        auto others = fleet;
        others.erase(std::find(others.begin(), others.end(), vm));
        auto& decision = decisions.emplace(vm.id, ViewSourceDecision(vm, true)).first->second;
        decision.setEntries(others);
        decision.recordAnswer(StoreSource {}, Milliseconds(0), at(0));
    }
    for (int now = 50; now <= 20000; now += 50) {
        for (const auto& vm : fleet) {
            auto& decision = decisions.at(vm.id);
            const auto source = decision.source();
            if (const auto* peer = std::get_if<PeerSource>(&source))
                decision.recordAnswer(source, decisions.at(peer->id).age(at(now)), at(now));
            else if (reachesStore(vm))
                decision.recordAnswer(source, Milliseconds(0), at(now));
            else
                decision.recordFailure(source, at(now));
        }
    }
    std::map<std::string, Milliseconds> ages;
    for (const auto& [id, decision] : decisions)
        ages[id] = decision.age(at(20000));
    return ages;
}

// Excludes cycles across regions too: no view is newer than what a process got from the store.
TEST(ViewSourceDecision, NoViewStaysCurrentWhileTheStoreIsUnreachable)
{
    for (const auto& [id, age] : viewAgesAfterRun(fleet(), [](const VmIdentity&) { return false; }))
        CHECK(age == Milliseconds(20000));
}

TEST(ViewSourceDecision, OneRegionThatReachesTheStoreKeepsAllViewsCurrent)
{
    for (const auto& [id, age] : viewAgesAfterRun(fleet(), [](const VmIdentity& vm) { return vm.region == "north"; }))
        CHECK(age < Milliseconds(2000));
}

// The link to the store's region is saturated, and all views of another region are stale.
// Its processes must not all send their requests over that link.
TEST(ViewSourceDecision, ProcessesOfAStaleRegionDoNotAllLeaveItAtOnce)
{
    std::vector<VmIdentity> region;
    for (int i = 0; i < 24; ++i)
        region.push_back(entry("entry" + std::to_string(i), "south"));
    const auto store = entry("store0", "north");
    std::map<std::string, ViewSourceDecision> processes;
    for (const auto& vm : region) {
        auto entries = region;
        entries.erase(std::find(entries.begin(), entries.end(), vm));
        entries.push_back(store);
        processes.emplace(vm.id, ViewSourceDecision(vm, true)).first->second.setEntries(entries);
    }
    for (int i = 0; i < 40; ++i) {
        const auto agent = entry("agent" + std::to_string(i), "south");
        auto entries = region;
        entries.push_back(store);
        processes.emplace(agent.id, ViewSourceDecision(agent, false)).first->second.setEntries(entries);
    }
    for (auto& [id, decision] : processes)
        decision.recordAnswer(decision.source(), Milliseconds(0), at(0));
    int outsideRequests = 0;
    int earlyOutsideRequests = 0;
    for (int now = 2000; now < 12000; now += 100) {
        for (auto& [id, decision] : processes) {
            const auto source = decision.source();
            const auto* peer = std::get_if<PeerSource>(&source);
            if (!peer || peer->id == store.id) {
                ++outsideRequests;
                earlyOutsideRequests += now < 2400;
                decision.recordFailure(source, at(now));
            } else {
                decision.recordAnswer(source, Milliseconds(now), at(now));
            }
        }
    }
    // Two processes leave at once, with requests in the 4 steps before 2.4 s. The others leave in
    // their slots, so that at most a tenth of all requests go outside.
    CHECK(earlyOutsideRequests <= 2 * 4);
    CHECK(outsideRequests < 64 * 100 / 10);
    CHECK(outsideRequests > 0);
}

// All processes of a deployment start at once after a power failure. They must not all read
// the whole store.
TEST(ViewSourceDecision, StartingFleetReadsTheStoreThroughItsSeeds)
{
    int storeRequests = 0;
    for (int i = 0; i < 160; ++i) {
        ViewSourceDecision decision(entry("vm" + std::to_string(i), "south"), i % 2 == 0, { "seed1:1", "seed2:1" });
        decision.setEntries({ entry("seed1", "south") });
        for (int now = 0; now < 300; now += 100) {
            storeRequests += std::holds_alternative<StoreSource>(decision.source());
            if (now == 0)
                decision.recordFailure(decision.source(), at(now)); // the seed does not listen yet
            else
                decision.recordLag(decision.source(), at(now)); // the seed has not read the store yet
        }
        const auto seed = decision.source();
        decision.recordAnswer(seed, Milliseconds(10), at(300));
        const auto source = decision.source();
        const auto* peer = std::get_if<PeerSource>(&source);
        CHECK(i % 2 == 0 || (peer && peer->id == "seed1")); // an entry may be first in the region's order itself
    }
    CHECK(storeRequests <= 160 * 3 / 10);
}

TEST(ViewSourceDecision, ProcessWhoseSeedsAreDownReadsTheStoreItself)
{
    ViewSourceDecision decision(entry("vm", "south"), true, { "seed1:1", "seed2:1" });
    bool asksStore = false;
    for (int now = 0; now < 5000; now += 100) {
        asksStore = asksStore || std::holds_alternative<StoreSource>(decision.source());
        decision.recordFailure(decision.source(), at(now));
    }
    CHECK(asksStore);
}

TEST(ViewSourceDecision, TheStoreIsAskedWhenNoPeerAnswers)
{
    ViewSourceDecision decision(entry("agent", "north"), false);
    decision.setEntries(fleet());
    bool asksStore = false;
    for (int i = 0; i < 4; ++i) {
        asksStore = asksStore || std::holds_alternative<StoreSource>(decision.source());
        decision.recordFailure(decision.source(), at(i * 100));
    }
    CHECK(asksStore);
}
