#include "CallFlowSupport.h"

#include <entry/AddressAnswers.h>
#include <nlohmann/json.hpp>
#include <numeric>

using namespace hyssopwick;

namespace {

constexpr std::int64_t tick = 20;
constexpr std::int64_t pingPeriod = 400;
constexpr std::int64_t answerLifetime = 2000;
constexpr Milliseconds contactBound { 2000 };
constexpr std::int64_t goneBound = 5000; // contactBound and 3 s

struct Place {
    std::string region;
    std::string failureDomain;
    double power = 1;
};

/// Entries that exchange statuses, and callers that keep answers and use their addresses evenly, in
/// virtual time. Entries that have ended stay members, so that only their statuses tell.
class AddressSimulation {
public:
    AddressSimulation(const std::vector<Place>& places, std::size_t callerCount, std::uint64_t seed)
        : m_random(seed)
    {
        m_description.callerAddress = "10.0.0.1:80";
        m_description.contactBound = contactBound;
        for (std::size_t i = 0; i < places.size(); ++i) {
            const auto id = "front-" + std::to_string(i);
            vms.push_back({ id, id + ":1", places[i].region, places[i].failureDomain, "entry" });
            powers.push_back(places[i].power);
            m_contexts.push_back(std::make_unique<GatewayContext>(GatewayContext { m_loop, m_description, platform::platformPorts(), m_log, m_metrics, i + seed }));
            m_contexts.back()->description.node = id;
            m_entries.emplace_back();
            start(i);
        }
        for (std::size_t i = 0; i < callerCount; ++i)
            callers.push_back({ vms[i % vms.size()].failureDomain, i % 3 == 0 ? 3 * answerLifetime : answerLifetime, static_cast<std::int64_t>(m_random.below(answerLifetime)), {} });
    }

    struct Caller {
        std::string failureDomain;
        std::int64_t lifetime;
        std::int64_t asksAt;
        std::vector<std::size_t> answer; // indices of entries
    };

    // Starts an entry that knows the others' registrations only.
    void start(std::size_t index)
    {
        auto& entry = m_entries[index];
        entry.statuses = std::make_unique<EntryStatusTable>(vms[index].id, m_random.below(1000000));
        entry.answers = std::make_unique<AddressAnswers>(*m_contexts[index], *entry.statuses);
        entry.endedAt = -1;
        entry.startedAt = now;
        for (std::size_t i = 0; i < m_entries.size(); ++i) {
            if (i == index)
                continue;
            entry.statuses->setRegisteredPower(vms[i].id, powers[i]);
            m_entries[i].statuses->setRegisteredPower(vms[index].id, powers[index]);
            entry.statuses->recordStart(vms[i].id, Milliseconds(now - m_entries[i].startedAt), at(now));
            m_entries[i].statuses->recordStart(vms[index].id, Milliseconds(0), at(now));
        }
        entry.pingsAt = now + static_cast<std::int64_t>(m_random.below(pingPeriod));
    }

    void end(std::size_t index) { m_entries[index].endedAt = now; }

    void run(std::int64_t until)
    {
        for (; now < until; now += tick) {
            for (std::size_t i = 0; i < m_entries.size(); ++i) {
                if (m_entries[i].endedAt < 0 && now >= m_entries[i].pingsAt)
                    ping(i);
            }
            for (auto& caller : callers) {
                if (now >= caller.asksAt)
                    ask(caller);
            }
            if (now % (10 * tick) == 0)
                measure();
        }
    }

    // The largest load of an entry, relative to its weight's part of all.
    double worstLoad() const
    {
        const auto total = std::accumulate(loads.begin(), loads.end(), 0.0);
        const auto power = std::accumulate(powers.begin(), powers.end(), 0.0);
        double worst = 0;
        for (std::size_t i = 0; i < loads.size(); ++i)
            worst = std::max(worst, loads[i] / total * power / powers[i]);
        return worst;
    }

    std::int64_t now = 0;
    std::vector<VmIdentity> vms;
    std::vector<double> powers;
    std::vector<Caller> callers;
    std::vector<double> loads;
    std::size_t namedGone = 0;
    std::size_t answers = 0;
    std::size_t smallest = 1000;
    std::size_t largest = 0;

private:
    struct Entry {
        std::unique_ptr<EntryStatusTable> statuses;
        std::unique_ptr<AddressAnswers> answers;
        std::int64_t startedAt = 0;
        std::int64_t endedAt = -1;
        std::int64_t pingsAt = 0;
        std::vector<std::size_t> order;
    };

    void pass(std::size_t from, std::size_t to)
    {
        auto& sender = m_entries[from];
        std::map<ShortName, double> queries;
        for (const auto& [domain, rate] : sender.answers->queriesPerSecond(at(now)))
            queries[shortNameOf(domain)] = rate;
        sender.statuses->setOwn(powers[from], loads.empty() ? 0 : static_cast<unsigned>(loads[from]), std::move(queries), static_cast<std::uint32_t>(now / tick + 1));
        m_entries[to].statuses->recordContact(vms[from].id, at(now));
        for (const auto& status : sender.statuses->take(EntryStatusTable::messageCount(vms.size()), at(now)))
            m_entries[to].statuses->merge(*entryStatusFromJson(entryStatusToJson(status)), at(now));
    }

    void ping(std::size_t index)
    {
        auto& entry = m_entries[index];
        entry.pingsAt += pingPeriod;
        if (entry.order.empty()) {
            for (std::size_t i = 0; i < vms.size(); ++i) {
                if (i != index)
                    entry.order.push_back(i);
            }
            for (std::size_t i = entry.order.size(); i > 1; --i)
                std::swap(entry.order[i - 1], entry.order[m_random.below(i)]);
        }
        const auto target = entry.order.back();
        entry.order.pop_back();
        if (m_entries[target].endedAt >= 0)
            return;
        pass(index, target);
        pass(target, index);
    }

    void ask(Caller& caller)
    {
        caller.asksAt = now + caller.lifetime;
        auto directory = caller.answer.empty() ? m_random.below(vms.size()) : caller.answer[m_random.below(caller.answer.size())];
        while (m_entries[directory].endedAt >= 0)
            directory = m_random.below(vms.size());
        const auto vm = std::find_if(vms.begin(), vms.end(), [&caller](const VmIdentity& entry) { return entry.failureDomain == caller.failureDomain; });
        caller.answer.clear();
        for (const auto& address : m_entries[directory].answers->choose(vms, { "", vm->region, caller.failureDomain }, at(now))) {
            caller.answer.push_back(std::stoul(address.substr(address.find('-') + 1)));
            const auto endedAt = m_entries[caller.answer.back()].endedAt;
            namedGone += endedAt >= 0 && now > endedAt + goneBound;
        }
        ++answers;
        smallest = std::min(smallest, caller.answer.size());
        largest = std::max(largest, caller.answer.size());
    }

    // Each caller has a quarter of a call in progress.
    void measure()
    {
        loads.assign(vms.size(), 0);
        for (const auto& caller : callers) {
            for (const auto index : caller.answer)
                loads[index] += 0.25 / double(caller.answer.size());
        }
    }

    EventLoop m_loop { 1 };
    EventLog m_log { "test", [](const std::string&) {} };
    MetricsRegistry m_metrics;
    ProcessDescription m_description;
    RandomSource m_random;
    std::vector<std::unique_ptr<GatewayContext>> m_contexts;
    std::vector<Entry> m_entries;
};

// Entries in three failure domains, six of them with more power than the others.
std::vector<Place> placesOf(int count, double weakPower, bool isOneRegion)
{
    std::vector<Place> places;
    for (int i = 0; i < count; ++i) {
        const auto domain = "d" + std::to_string(i % 3);
        places.push_back({ isOneRegion ? "r" : "r-" + domain, domain, i < 6 ? 0.5 : weakPower });
    }
    return places;
}

std::vector<Place> contendedPlaces(bool isOneRegion) { return placesOf(62, 0.17, isOneRegion); }

void checkShift(const std::vector<Place>& places, std::uint64_t seed)
{
    AddressSimulation fleet(places, 3000, seed);
    fleet.run(20000);
    CHECK_COMPARE(fleet.worstLoad(), <=, 1.5);
    for (std::size_t i = 0; i < fleet.callers.size(); i += 2)
        fleet.callers[i].failureDomain = "d0";
    fleet.run(26000);
    for (int i = 0; i < 12; ++i) {
        fleet.run(fleet.now + 500);
        CHECK_COMPARE(fleet.worstLoad(), <=, 1.5);
    }
    CHECK(fleet.smallest >= 2);
    CHECK(fleet.largest <= 64);
}

std::vector<EntryCandidate> candidatesOf(const std::vector<Place>& places)
{
    std::vector<EntryCandidate> candidates;
    for (const auto& place : places) {
        const auto id = std::to_string(candidates.size());
        candidates.push_back({ { id, id + ":1", place.region, place.failureDomain, "entry" }, false, 0, 0, place.power });
    }
    return candidates;
}

}

TEST_GROUP(AddressAnswers) {};

// Load: half of the callers of the contended and of the uneven deployment move to one failure domain. Guards against
// entries of one failure domain that get up to twice their part while others have little to do.
TEST(AddressAnswers, AShiftOfHalfOfTheCallersEvensOutWithinTheAnswersLifetime)
{
    for (const std::uint64_t seed : { 1, 2 }) {
        checkShift(contendedPlaces(false), seed);
        checkShift(contendedPlaces(true), seed);
    }
    checkShift(placesOf(43, 0.24, true), 3);
}

// Load: six entries end without a word, a third of them at once with their failure domain, and
// others start with old registrations. Guards against answers that send callers to them.
TEST(AddressAnswers, AnEntryThatIsGoneIsNotNamedAfterTheBoundOnContacts)
{
    AddressSimulation fleet(contendedPlaces(false), 1000, 4);
    fleet.run(10000);
    for (std::size_t i = 0; i < fleet.vms.size(); i += 3)
        fleet.end(i);
    fleet.end(1);
    fleet.run(14000);
    for (const std::size_t index : { 2, 5, 8 })
        fleet.start(index);
    fleet.run(40000);
    LONGS_EQUAL(0, fleet.namedGone);
    CHECK(fleet.answers > 5000);
    CHECK(fleet.smallest >= 1);
}

// Guards against a change of answers where entries do not differ.
TEST(AddressAnswers, EqualEntriesOfTheCallersFailureDomainAreAllNamed)
{
    RandomSource random(1);
    auto places = contendedPlaces(false);
    for (auto& place : places)
        place.power = 1;
    const auto candidates = candidatesOf(places);
    const auto choice = chooseEntries(candidates, { "r-d1", "d1" }, { { "d0", 30 }, { "d1", 33 }, { "d2", 28 } }, 64, random);
    CHECK(choice.basis == AnswerBasis::Place);
    LONGS_EQUAL(21, choice.entries.size());
    for (std::size_t i = 0; i < choice.entries.size(); ++i)
        LONGS_EQUAL(3 * i + 1, std::stoul(choice.entries[i].id)); // in their order, too
    // A failure domain with one entry gets all of its region, and the number is bounded.
    const auto topped = chooseEntries(candidatesOf({ { "r", "a" }, { "r", "b" }, { "r", "b" }, { "s", "c" } }), { "r", "a" }, {}, 64, random);
    LONGS_EQUAL(3, topped.entries.size());
    STRCMP_EQUAL("0", topped.entries[0].id.c_str());
    LONGS_EQUAL(64, chooseEntries(candidatesOf(std::vector<Place>(100, { "r", "a" })), { "r", "a" }, {}, 64, random).entries.size());
}

// Guards against answers that get too small, name a VM twice or name none in very small fleets.
TEST(AddressAnswers, VerySmallFleetsAreNamedWhole)
{
    RandomSource random(1);
    CHECK(chooseEntries(std::vector<EntryCandidate>(), { "r", "a" }, {}, 64, random).entries.empty());
    LONGS_EQUAL(1, chooseEntries(candidatesOf({ { "r", "a", 0.1 } }), { "s", "b" }, {}, 64, random).entries.size());
    LONGS_EQUAL(2, chooseEntries(candidatesOf({ { "r", "a", 0.1 }, { "s", "b", 5 } }), { "r", "a" }, { { "a", 50 } }, 64, random).entries.size());
    for (int round = 0; round < 100; ++round) {
        const auto chosen = chooseEntries(candidatesOf({ { "r", "a", 0.2 }, { "r", "a", 1 }, { "r", "b", 0.2 } }), { "r", "a" }, {}, 64, random).entries;
        CHECK(chosen.size() >= 2);
        CHECK(std::set<VmIdentity>(chosen.begin(), chosen.end()).size() == chosen.size());
    }
}

// Guards against connections that ignore power: each entry gets its part in the mean.
TEST(AddressAnswers, UnequalEntriesAreNamedByTheirPowerAndSpreadOverTheRegion)
{
    RandomSource random(7);
    const auto candidates = candidatesOf(contendedPlaces(true));
    std::map<std::string, double> picks;
    constexpr int rounds = 6000;
    for (int round = 0; round < rounds; ++round) {
        const auto chosen = chooseEntries(candidates, { "r", "d" + std::to_string(round % 3) }, {}, 64, random).entries;
        CHECK(chosen.size() >= 7); // a third of the failure domain
        CHECK(chosen.front().failureDomain != chosen.back().failureDomain);
        for (const auto& vm : chosen)
            picks[vm.id] += 1 / double(chosen.size());
    }
    constexpr double totalPower = 6 * 0.5 + 56 * 0.17;
    for (const auto& candidate : candidates)
        DOUBLES_EQUAL(candidate.power / totalPower, picks[candidate.vm.id] / rounds, 0.2 * candidate.power / totalPower);
}

TEST_GROUP(EntryStatus) {};

// Guards against processes before an upgrade that cannot read or be read.
TEST(EntryStatus, PingsWithoutStatusesAreReadAndStatusesAreShort)
{
    const MemberUpdate sender { { "front-1", "10.0.0.1:7000", "north", "north-a", "entry" }, 1, MemberState::Alive };
    PingMessage ping { 1, sender, {}, "front-2", {} };
    const auto without = encodePeerMessage(ping);
    EntryStatusTable table("front-1", 1);
    table.setOwn(0.17, 14, { { shortNameOf("north-a"), 4.2 }, { shortNameOf("north-b"), 0.3 } }, 4000000000u);
    for (int i = 0; i < 30; ++i)
        table.merge({ shortNameOf("vm-" + std::to_string(i)), 7, Milliseconds(100 * i), 0.5, 20, { { shortNameOf("north-a"), 3 } } }, at(0));
    ping.statuses = table.take(EntryStatusTable::messageCount(62), at(0));
    const auto with = encodePeerMessage(ping);
    const auto decoded = std::get<PingMessage>(decodePeerMessage(with).value());
    CHECK(decoded.statuses == ping.statuses);
    CHECK(std::get<PingMessage>(decodePeerMessage(without).value()).statuses.empty());
    CHECK_COMPARE(with.size() - without.size(), <=, 16 * 32);
    for (const auto* malformed : { "[]", "[1,2,3,4,5,[1]]", "[1,2,3,4,-5,[]]", "[1,2,3,4,5,6]", "[1,\"2\",3,4,5,[]]" })
        CHECK_FALSE(entryStatusFromJson(nlohmann::json::parse(malformed)).has_value());
}
