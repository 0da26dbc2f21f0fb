#include "TestSupport.h"

#include <functional>
#include <hyssopwick_distribution.h>
#include <queue>

using namespace hyssopwick;

namespace {

constexpr std::uint32_t chunkCount = 16;
constexpr std::uint64_t chunkBytes = 1000;
constexpr Milliseconds linkDelay { 2 };

// Simulates a few VMs in virtual time: delivers the actions of their decisions to each
// other, with failed VMs and messages lost at random by seed.
class SwarmSimulation {
public:
    SwarmSimulation(const std::vector<std::pair<std::string, std::string>>& vms, RolloutObjective objective, std::uint64_t seed)
        : m_random(seed)
    {
        for (const auto& [id, region] : vms)
            m_members.push_back({ id, region, region + "-1", 1 });
        for (const auto& member : m_members) {
            PushSettings settings;
            settings.self = member;
            settings.originRegion = "north";
            settings.objective = objective;
            settings.uplinkBytesPerSecond = 10000;
            settings.downlinkBytesPerSecond = 10000;
            settings.regionLinkBytesPerSecond = 5000;
            m_vms.emplace(member.id, PushDecision(settings, "key", std::vector<std::uint64_t>(chunkCount, chunkBytes), m_random.next(), at(0)));
        }
        publishMembers();
    }

    void run(std::int64_t until)
    {
        for (; m_now < until; m_now += 5) {
            while (!m_events.empty() && m_events.top().when <= m_now) {
                const auto work = m_events.top().work;
                m_events.pop();
                work();
            }
            for (auto& [id, vm] : m_vms)
                perform(id, vm.advance(at(m_now)));
        }
    }

    void kill(const std::string& id)
    {
        m_vms.erase(id);
        m_members.erase(std::find_if(m_members.begin(), m_members.end(), [&](const SwarmMember& member) { return member.id == id; }));
        publishMembers();
    }

    bool isComplete() const
    {
        return std::all_of(m_vms.begin(), m_vms.end(), [](const auto& item) { return item.second.isComplete(); });
    }

    PushDecision& vm(const std::string& id) { return m_vms.at(id); }

    std::uint64_t originFetches = 0;
    std::map<std::string, std::uint64_t> crossRegionTransfers; // into each region
    double messageLossProbability = 0;
    double originCorruptionProbability = 0;
    bool isOriginDown = false;

private:
    struct Event {
        std::int64_t when;
        std::uint64_t order;
        std::function<void()> work;
        bool operator<(const Event& other) const { return std::tie(other.when, other.order) < std::tie(when, order); }
    };

    void publishMembers()
    {
        for (auto& [id, vm] : m_vms)
            vm.setMembers(m_members);
    }

    std::string regionOf(const std::string& id) const
    {
        for (const auto& member : m_members) {
            if (member.id == id)
                return member.region;
        }
        return "";
    }

    void schedule(std::int64_t when, std::function<void()> work) { m_events.push({ when, m_order++, std::move(work) }); }
    bool isLost() { return m_random.unit() < messageLossProbability; }
    bool isLive(const std::string& id) const { return m_vms.count(id) != 0; }

    void perform(const std::string& id, const std::vector<PushAction>& actions)
    {
        for (const auto& action : actions)
            std::visit([&](const auto& value) { perform(id, value); }, action);
    }

    void perform(const std::string& id, const FetchFromOrigin& action)
    {
        ++originFetches;
        schedule(m_now + 60, [this, id, chunk = action.chunk] {
            if (!isLive(id))
                return;
            if (isOriginDown)
                vm(id).recordOriginFailure(chunk, Milliseconds(0), at(m_now));
            else if (m_random.unit() < originCorruptionProbability)
                vm(id).recordCorruptChunk(chunk, "", at(m_now));
            else
                vm(id).recordChunkStored(chunk, at(m_now));
        });
    }

    void perform(const std::string& id, const SendOffer& action)
    {
        const auto isFailed = isLost() || !isLive(action.member);
        schedule(m_now + linkDelay.count(), [this, id, action, isFailed] {
            if (!isLive(id))
                return;
            if (isFailed || !isLive(action.member)) {
                vm(id).recordOfferFailure(action.member, action.isAcrossRegions, at(m_now));
                return;
            }
            const auto answer = vm(action.member).answerOffer(id, action.offered, vm(id).held(), action.isAcrossRegions, at(m_now));
            perform(id, vm(id).recordOfferAnswer(action.member, action.isAcrossRegions, answer, at(m_now)));
        });
    }

    void perform(const std::string& id, const SendChunk& action)
    {
        const auto when = millisecondsBetween(testStart(), action.notBefore) + linkDelay.count();
        if (action.isAcrossRegions)
            ++crossRegionTransfers[regionOf(action.member)];
        const bool isFailed = isLost();
        schedule(when, [this, id, action, isFailed] {
            const bool isDelivered = !isFailed && isLive(action.member);
            if (isDelivered && isLive(id))
                vm(action.member).recordChunkStored(action.chunk, at(m_now));
            if (isLive(id))
                vm(id).recordChunkSent(action.member, action.chunk, isDelivered, at(m_now));
        });
    }

    RandomSource m_random;
    std::vector<SwarmMember> m_members;
    std::map<std::string, PushDecision> m_vms;
    std::priority_queue<Event> m_events;
    std::uint64_t m_order = 0;
    std::int64_t m_now = 0;
};

std::vector<std::pair<std::string, std::string>> vmsIn(const std::vector<std::pair<std::string, int>>& regions)
{
    std::vector<std::pair<std::string, std::string>> vms;
    for (const auto& [region, count] : regions) {
        for (int i = 0; i < count; ++i)
            vms.emplace_back(region + "-" + std::to_string(i), region);
    }
    return vms;
}

}

TEST_GROUP(PushDecision) {};

TEST(PushDecision, OneOriginCopyCompletesARegion)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        SwarmSimulation swarm(vmsIn({ { "north", 12 } }), RolloutObjective::OriginBytes, seed);
        swarm.run(20'000);
        CHECK(swarm.isComplete());
        LONGS_EQUAL(chunkCount, swarm.originFetches);
    }
}

TEST(PushDecision, EachRemoteRegionGetsEachChunkOnce)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        SwarmSimulation swarm(vmsIn({ { "north", 5 }, { "central", 5 }, { "south", 4 } }), RolloutObjective::Time, seed);
        swarm.run(30'000);
        CHECK(swarm.isComplete());
        LONGS_EQUAL(chunkCount, swarm.crossRegionTransfers["central"]);
        LONGS_EQUAL(chunkCount, swarm.crossRegionTransfers["south"]);
        LONGS_EQUAL(0, swarm.crossRegionTransfers["north"]);
    }
}

TEST(PushDecision, CompletesDespiteFailuresOfAnyTwoVms)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        RandomSource random(seed);
        const auto vms = vmsIn({ { "north", 4 }, { "central", 4 }, { "south", 3 } });
        SwarmSimulation swarm(vms, RolloutObjective::OriginBytes, seed);
        const auto first = random.below(vms.size());
        swarm.run(static_cast<std::int64_t>(200 + random.below(1500)));
        swarm.kill(vms[first].first);
        swarm.run(static_cast<std::int64_t>(1800 + random.below(1500)));
        swarm.kill(vms[(first + 1 + random.below(vms.size() - 1)) % vms.size()].first);
        swarm.run(60'000);
        CHECK(swarm.isComplete());
    }
}

TEST(PushDecision, AChunkWhoseOnlyHolderInARegionDiedIsSentThereAgain)
{
    // Found by the demo: region central never completed after its gateway VM was killed.
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        SwarmSimulation swarm(vmsIn({ { "north", 3 }, { "central", 2 } }), RolloutObjective::Time, seed);
        swarm.run(1200);
        swarm.kill("central-0");
        swarm.run(60'000);
        CHECK(swarm.isComplete());
    }
}

TEST(PushDecision, CompletesWithLostMessagesAndACorruptOrigin)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        SwarmSimulation swarm(vmsIn({ { "north", 5 }, { "south", 4 } }), RolloutObjective::OriginBytes, seed);
        swarm.messageLossProbability = 0.1;
        swarm.originCorruptionProbability = 0.05;
        swarm.run(90'000);
        CHECK(swarm.isComplete());
    }
}

TEST(PushDecision, CompletesWithoutTheOriginAfterOneCopy)
{
    SwarmSimulation swarm(vmsIn({ { "north", 6 } }), RolloutObjective::Time, 3);
    std::int64_t now = 0;
    while (swarm.originFetches < chunkCount)
        swarm.run(now += 50);
    swarm.run(now += 100);
    swarm.isOriginDown = true;
    swarm.run(30'000);
    CHECK(swarm.isComplete());
}

TEST(PushDecision, ASenderOfCorruptChunksIsAvoided)
{
    SwarmSimulation swarm(vmsIn({ { "north", 3 } }), RolloutObjective::Time, 4);
    auto& vm = swarm.vm("north-0");
    vm.recordCorruptChunk(1, "north-1", at(0));
    CHECK_FALSE(vm.isAvoided("north-1", at(1)));
    vm.recordCorruptChunk(2, "north-1", at(1));
    CHECK(vm.isAvoided("north-1", at(2)));
    ChunkSet offered(chunkCount);
    offered.insert(3);
    CHECK_FALSE(vm.answerOffer("north-1", offered, offered, false, at(3)).accepted.has_value());
    CHECK(vm.answerOffer("north-2", offered, offered, false, at(3)).accepted.has_value());
}

TEST(PushDecision, AChunkIsAcceptedFromOneSenderOnly)
{
    SwarmSimulation swarm(vmsIn({ { "north", 3 } }), RolloutObjective::Time, 5);
    auto& vm = swarm.vm("north-0");
    ChunkSet offered(chunkCount);
    offered.insert(3);
    CHECK(vm.answerOffer("north-1", offered, offered, false, at(0)).accepted == std::optional<std::uint32_t>(3));
    CHECK_FALSE(vm.answerOffer("north-2", offered, offered, false, at(1)).accepted.has_value());
    CHECK(vm.answerOffer("north-2", offered, offered, false, at(20'000)).accepted.has_value());
    CHECK_FALSE(vm.answerOffer("stranger", offered, offered, false, at(40'000)).accepted.has_value());
}

TEST(PushDecision, ARestartedMemberIsOfferedChunksAgain)
{
    SwarmSimulation swarm(vmsIn({ { "north", 2 } }), RolloutObjective::Time, 6);
    swarm.run(10'000);
    CHECK(swarm.isComplete());
    auto& vm = swarm.vm("north-0");
    vm.setMembers({ { "north-1", "north", "north-1", 2 } });
    const auto actions = vm.advance(at(20'000));
    LONGS_EQUAL(1, actions.size());
    CHECK(std::holds_alternative<SendOffer>(actions[0]));
}

TEST(PushDecision, EqualSeedsGiveEqualResults)
{
    for (int run = 0; run < 2; ++run) {
        SwarmSimulation left(vmsIn({ { "north", 6 }, { "south", 3 } }), RolloutObjective::Time, 9);
        SwarmSimulation right(vmsIn({ { "north", 6 }, { "south", 3 } }), RolloutObjective::Time, 9);
        left.run(1500);
        right.run(1500);
        CHECK(left.vm("south-1").held() == right.vm("south-1").held());
        CHECK(left.vm("north-5").held() == right.vm("north-5").held());
    }
}
