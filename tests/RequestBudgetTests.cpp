#include "TestSupport.h"

#include <set>

using namespace hyssopwick;

/// Load: clients whose connections and requests together are more than the process can hold.
TEST_GROUP(RequestBudget)
{
    static constexpr std::size_t shortBytes = 1000;
    static constexpr std::size_t longBytes = 100'000;

    RequestBudget budget { { 4, 300'000, 200'000 } };
    std::vector<std::pair<int, EvictionReason>> evicted;

    RequestBudget::ConnectionId connect(int number, const std::string& listener, TimePoint now)
    {
        const auto id = budget.add(
            listener, [this, number](EvictionReason reason) { evicted.emplace_back(number, reason); }, now);
        CHECK(id.has_value());
        return *id;
    }

    void checkEvicted(const std::vector<int>& numbers, EvictionReason reason)
    {
        LONGS_EQUAL(numbers.size(), evicted.size());
        for (std::size_t index = 0; index < numbers.size(); ++index) {
            LONGS_EQUAL(numbers[index], evicted[index].first);
            CHECK(evicted[index].second == reason);
        }
    }
};

TEST(RequestBudget, TheConnectionWithoutProgressForLongestGivesWayToANewOne)
{
    const auto first = connect(1, "callers", at(0));
    connect(2, "callers", at(1));
    connect(3, "callers", at(2));
    connect(4, "callers", at(3));
    budget.recordProgress(first, at(10));
    connect(5, "callers", at(11));
    checkEvicted({ 2 }, EvictionReason::Connections);
    LONGS_EQUAL(4, budget.connections());
}

TEST(RequestBudget, AConnectionWhoseRequestWasAcceptedNeverGivesWay)
{
    for (int number = 1; number <= 4; ++number)
        budget.setAccepted(connect(number, "callers", at(number)), true);
    CHECK_FALSE(budget.add(
                          "callers", [](EvictionReason) {}, at(100'000))
                    .has_value());
    CHECK(evicted.empty());
    LONGS_EQUAL(1, budget.counters().refusedConnections);
}

TEST(RequestBudget, AConnectionMayGiveWayAgainWhenItsAnswerIsComplete)
{
    const auto first = connect(1, "callers", at(0));
    budget.setAccepted(first, true);
    for (int number = 2; number <= 4; ++number)
        budget.setAccepted(connect(number, "callers", at(number)), true);
    budget.setAccepted(first, false);
    connect(5, "callers", at(10));
    checkEvicted({ 1 }, EvictionReason::Connections);
}

// A crowd at one address must not take the connections of the others.
TEST(RequestBudget, TheAddressWithMostConnectionsGivesWay)
{
    connect(1, "metrics", at(0));
    connect(2, "callers", at(1));
    connect(3, "callers", at(2));
    connect(4, "callers", at(3));
    connect(5, "readiness", at(4));
    connect(6, "callers", at(5));
    checkEvicted({ 2, 3 }, EvictionReason::Connections);
}

TEST(RequestBudget, LongRequestsLeaveRoomForShortOnes)
{
    const auto first = connect(1, "callers", at(0));
    const auto second = connect(2, "callers", at(0));
    const auto third = connect(3, "callers", at(0));
    CHECK(budget.reserve(first, longBytes, at(0)));
    CHECK(budget.reserve(second, longBytes, at(0)));
    CHECK_FALSE(budget.reserve(third, longBytes, at(0)));
    CHECK(budget.reserve(third, shortBytes, at(0)));
    LONGS_EQUAL(2 * longBytes + shortBytes, budget.heldBytes());
    LONGS_EQUAL(1, budget.counters().refusedReservations);
}

TEST(RequestBudget, ARequestThatStoppedMakesRoomForOthers)
{
    const auto stalled = connect(1, "callers", at(0));
    const auto slow = connect(2, "callers", at(0));
    CHECK(budget.reserve(stalled, longBytes, at(0)));
    CHECK(budget.reserve(slow, longBytes, at(0)));
    budget.recordProgress(slow, at(900));
    const auto next = connect(3, "callers", at(1000));
    CHECK_FALSE(budget.reserve(next, longBytes, at(999)));
    CHECK(evicted.empty());
    CHECK(budget.reserve(next, longBytes, at(1000)));
    checkEvicted({ 1 }, EvictionReason::Memory);
    LONGS_EQUAL(2 * longBytes, budget.heldBytes());
}

TEST(RequestBudget, AnAcceptedRequestKeepsItsMemory)
{
    for (int number = 1; number <= 2; ++number) {
        const auto id = connect(number, "callers", at(0));
        CHECK(budget.reserve(id, longBytes, at(0)));
        budget.setAccepted(id, true);
    }
    const auto next = connect(3, "callers", at(0));
    CHECK_FALSE(budget.reserve(next, longBytes, at(100'000)));
    CHECK(evicted.empty());
}

// A short request that stopped holds nothing that a long one needs.
TEST(RequestBudget, OnlyRequestsThatHoldWhatIsNeededGiveWay)
{
    const auto shortOne = connect(1, "callers", at(0));
    CHECK(budget.reserve(shortOne, shortBytes, at(0)));
    for (int number = 2; number <= 3; ++number) {
        const auto id = connect(number, "callers", at(0));
        CHECK(budget.reserve(id, longBytes, at(0)));
        budget.setAccepted(id, true);
    }
    const auto next = connect(4, "callers", at(0));
    CHECK_FALSE(budget.reserve(next, longBytes, at(100'000)));
    CHECK(evicted.empty());
}

TEST(RequestBudget, WhatIsReleasedMayBeUsedByOthers)
{
    const auto first = connect(1, "callers", at(0));
    const auto second = connect(2, "callers", at(0));
    CHECK(budget.reserve(first, 2 * longBytes, at(0)));
    CHECK_FALSE(budget.reserve(second, longBytes, at(0)));
    budget.release(first, longBytes);
    CHECK(budget.reserve(second, longBytes, at(0)));
    budget.remove(first);
    budget.remove(second);
    LONGS_EQUAL(0, budget.heldBytes());
    LONGS_EQUAL(0, budget.connections());
}

// An evicted connection may remove itself while another one waits for its room.
TEST(RequestBudget, AConnectionMayRemoveItselfWhenItIsEvicted)
{
    std::optional<RequestBudget::ConnectionId> leaving;
    leaving = budget.add(
        "callers", [&](EvictionReason) { budget.remove(*leaving); }, at(0));
    CHECK(budget.reserve(*leaving, 2 * longBytes, at(0)));
    const auto next = connect(2, "callers", at(0));
    CHECK(budget.reserve(next, longBytes, at(5000)));
    LONGS_EQUAL(longBytes, budget.heldBytes());
    LONGS_EQUAL(1, budget.connections());
}

// On the smallest entry of the deployments, one body of the largest size that they allow is always
// accepted, and so are as many connections as its callers keep open.
TEST(RequestBudget, TheLimitsOfASmallVmHoldWhatItsDeploymentAllows)
{
    constexpr std::size_t memoryBytes = std::size_t(112) << 20;
    constexpr std::size_t descriptors = 2870;
    constexpr std::size_t bodyBytes = std::size_t(4) << 20;
    const auto limits = RequestBudgetLimits::of(memoryBytes, descriptors);
    LONGS_EQUAL(1335, limits.connections);
    LONGS_EQUAL(memoryBytes / 2, limits.bytes);
    CHECK(limits.bytesForLongRequests >= 10 * bodyBytes);
    CHECK(limits.bytes - limits.bytesForLongRequests >= 200 * RequestBudget::shortRequestBytes);
}
