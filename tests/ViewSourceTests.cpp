#include "TestSupport.h"

#include <algorithm>
#include <hyssopwick_deployment.h>
#include <set>

using namespace hyssopwick;

TEST_GROUP(ViewSourceFailover) {
    VmIdentity entry(const std::string& id, const std::string& region) const { return { id, id + ":1", region, region + "-a", "entry" };
}
}
;

// Regression: the store turned 26 of 74 entry VMs away, among them those that follow it for their
// regions. One region stayed eight seconds behind, since its VMs asked only these in other
// regions, and its own ones one after the other.
TEST(ViewSourceFailover, EntriesThatTheStoreTurnsAwayLearnFromAnyThatItServes)
{
    std::vector<VmIdentity> all;
    for (const auto* region : { "north", "central", "south" }) {
        for (int i = 0; i < 24; ++i)
            all.push_back(entry(region + std::to_string(i), region));
    }
    std::set<std::string> turnedAway;
    for (const auto* region : { "north", "central", "south" }) {
        std::vector<std::string> ids;
        for (const auto& vm : all) {
            if (vm.region == region)
                ids.push_back(vm.id);
        }
        const auto order = rendezvousOrder(std::string("store-followers/") + region, ids);
        turnedAway.insert(order.begin(), order.begin() + (region == std::string("south") ? 14 : 6));
    }
    std::map<std::string, ViewSourceDecision> decisions;
    std::map<std::string, int> nextAt;
    for (const auto& vm : all) {
        auto entries = all;
        entries.erase(std::find(entries.begin(), entries.end(), vm));
        auto& decision = decisions.emplace(vm.id, ViewSourceDecision(vm, true)).first->second;
        decision.setEntries(entries);
        decision.recordAnswer(StoreSource {}, Milliseconds(0), at(0));
    }
    int storeCalls = 0;
    for (int now = 50; now <= 12000; now += 50) {
        for (const auto& vm : all) {
            if (now < nextAt[vm.id])
                continue;
            auto& decision = decisions.at(vm.id);
            const auto source = decision.source();
            const auto* peer = std::get_if<PeerSource>(&source);
            nextAt[vm.id] = now + (peer ? 300 : 500);
            if (peer) {
                const auto age = decisions.at(peer->id).age(at(now));
                decision.recordAnswer(source, age, at(now));
                if (decision.isTooOld(age))
                    nextAt[vm.id] = now + 100;
            } else if (turnedAway.count(vm.id) == 0) {
                ++storeCalls;
                decision.recordAnswer(source, Milliseconds(0), at(now));
            } else {
                ++storeCalls;
                decision.recordFailure(source, at(now));
                nextAt[vm.id] = now + 100;
            }
            if (now > 3500)
                CHECK(decision.age(at(now)) < Milliseconds(3000));
        }
    }
    // Fewer than if a tenth of the entries followed the store.
    CHECK(storeCalls < 72 / 10 * 24 + 200);
}

// Guards against a second request to a peer that shares the slow link of the first.
TEST(ViewSourceFailover, TheAlternativeToASlowSourceIsInAnotherRegionIfThereIsOne)
{
    ViewSourceDecision agent({ "agent", "agent:1", "north", "north-a", "agent" }, false);
    CHECK_FALSE(agent.alternative().has_value()); // it follows the store
    agent.setEntries({ entry("a", "north"), entry("b", "north") });
    const auto followed = std::get<PeerSource>(agent.source());
    CHECK(agent.alternative().has_value());
    CHECK(!(*agent.alternative() == followed));
    agent.setEntries({ entry("a", "north"), entry("b", "north"), entry("c", "south") });
    STRCMP_EQUAL("c", agent.alternative()->id.c_str());
}

// Guards against agents that replace a source which works: it follows another entry VM, and its view is older for that.
TEST(ViewSourceFailover, AnAgentKeepsASourceThatFollowsAnotherEntry)
{
    ViewSourceDecision agent({ "agent", "agent:1", "north", "north-a", "agent" }, false);
    agent.setEntries({ entry("a", "north"), entry("b", "north") });
    const auto followed = agent.source();
    for (const int now : { 2000, 2500, 3000 }) {
        agent.recordAnswer(followed, Milliseconds(1250), at(now));
        CHECK(agent.source() == followed);
    }
    agent.recordAnswer(followed, Milliseconds(1500), at(3500));
    CHECK_FALSE(agent.source() == followed);
}

TEST(ViewSourceFailover, AProcessThatLostItsSourceIsTooOldForEveryOther)
{
    for (const bool isEntry : { true, false })
        CHECK(ViewSourceDecision({ "a", "a:1", "north", "north-a", "entry" }, isEntry).isTooOld(ViewSourceDecision::minStaleAge()));
    CHECK(ViewSourceDecision::minStaleAge() > ViewSourceDecision::maxUsableAge());
}

// An answer that was read late, or a failure that this process caused, does not move that time.
TEST(ViewSourceFailover, FailuresOfTheProcessItselfAreNoOutageOfTheStore)
{
    ViewSourceDecision decision(entry("north0", "north"), true);
    decision.recordAnswer(StoreSource {}, Milliseconds(0), at(1200));
    decision.confirmCurrentAt(at(700));
    decision.confirmCurrentAt(at(500));
    CHECK(decision.confirmedAge(at(2000)) == Milliseconds(1300));
    for (const int now : { 3000, 5000, 7000 })
        decision.recordFailure(StoreSource {}, at(now), FailureCause::Self);
    CHECK_FALSE(decision.isAfterOutage(at(8000)));
    CHECK(decision.earliestChangeTime(at(8000)) == at(700));
    for (const int now : { 8100, 8200 })
        decision.recordFailure(StoreSource {}, at(now));
    CHECK(decision.isAfterOutage(at(9000)));
    CHECK(decision.earliestChangeTime(at(9000)) == at(9000));
}

TEST(ViewSourceFailover, WatchesThatAreCutAreNoOutageOfTheStore)
{
    ViewSourceDecision decision(entry("north0", "north"), true);
    decision.recordAnswer(StoreSource {}, Milliseconds(0), at(0));
    decision.confirmCurrentAt(at(0));
    for (const int now : { 700, 1450 })
        decision.recordFailure(StoreSource {}, at(now));
    CHECK(decision.earliestChangeTime(at(1550)) == at(0));
}
