#include "TestSupport.h"

#include <atomic>
#include <set>

using namespace hyssopwick;

TEST_GROUP(EventLine) {};

TEST(EventLine, ParserDecodesQuotedValues)
{
    RandomSource random(3);
    for (int round = 0; round < 500; ++round) {
        std::string value;
        for (std::uint64_t i = random.below(30); i > 0; --i)
            value += static_cast<char>(random.below(2) ? 32 + random.below(95) : "\n\r\"\\= "[random.below(6)]);
        const auto line = formatEventLine({ { "a", value }, { "b", "1" } });
        CHECK(line.find('\n') == std::string::npos);
        const auto fields = parseEventLine(line);
        CHECK(fields.has_value());
        CHECK(fields.value().at("a") == value);
        CHECK(fields.value().at("b") == "1");
    }
}

TEST(EventLine, MalformedLinesAreRejectedWithTheColumn)
{
    for (const auto* line : { "", "abc", "a=\"x", "a=1 a=2", "=1", "a b=1" })
        CHECK_FALSE(parseEventLine(line).has_value());
    CHECK(parseEventLine("a=1 a=2").error().message.find("column 6") == 0);
}

TEST(EventLine, RandomBytesDoNotCrashTheParser)
{
    RandomSource random(4);
    int accepted = 0;
    for (int round = 0; round < 5000; ++round) {
        std::string line;
        for (std::uint64_t i = random.below(40); i > 0; --i)
            line += static_cast<char>(random.below(256));
        accepted += parseEventLine(line).has_value();
    }
    CHECK(accepted < 5000);
}

TEST_GROUP(Rendezvous) {};

TEST(Rendezvous, LossOfAMemberReassignsOnlyItsKeys)
{
    std::vector<std::string> members;
    for (int i = 0; i < 20; ++i)
        members.push_back("vm-" + std::to_string(i));
    auto fewer = members;
    fewer.erase(fewer.begin() + 7);
    int reassigned = 0;
    for (int key = 0; key < 1000; ++key) {
        const auto before = rendezvousFirst(std::to_string(key), members);
        const auto after = rendezvousFirst(std::to_string(key), fewer);
        if (before == after)
            continue;
        ++reassigned;
        CHECK(before == "vm-7");
    }
    CHECK(reassigned > 20 && reassigned < 90);
}

TEST(Rendezvous, FirstElementOfTheOrderIsRendezvousFirst)
{
    const std::vector<std::string> members { "a", "b", "c", "d" };
    for (int key = 0; key < 50; ++key)
        CHECK(rendezvousOrder(std::to_string(key), members).front() == rendezvousFirst(std::to_string(key), members));
    CHECK(rendezvousFirst("k", {}).empty());
}

TEST_GROUP(DigestValue) {};

TEST(DigestValue, ParsesOnlyLowerCaseHexOfTheRightLength)
{
    const auto digest = Digest::of("abc");
    CHECK(digest.hex() == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    CHECK(Digest::fromHex(digest.hex()) == digest);
    CHECK(Digest::fromHex("BA7816").isEmpty());
    CHECK(Digest::fromHex(std::string(64, 'g')).isEmpty());
}

TEST(DigestValue, ConstantTimeComparisonComparesContent)
{
    CHECK(constantTimeEquals("abc", "abc"));
    CHECK_FALSE(constantTimeEquals("abc", "abd"));
    CHECK_FALSE(constantTimeEquals("abc", "abcd"));
}

TEST_GROUP(Metrics) {};

TEST(Metrics, TextShowsCountersByReasonAndHistograms)
{
    MetricsRegistry metrics;
    metrics.count("refusals_total", "rate-limited");
    metrics.count("refusals_total", "rate-limited", 2);
    metrics.observe("request", 3);
    metrics.observe("request", 1e9);
    const auto text = metrics.prometheusText();
    CHECK(text.find("hyssopwick_refusals_total{reason=\"rate-limited\"} 3") != std::string::npos);
    CHECK(text.find("hyssopwick_request_milliseconds_count 2") != std::string::npos);
    CHECK(text.find("le=\"+Inf\"} 2") != std::string::npos);
    LONGS_EQUAL(3, metrics.counter("refusals_total", "rate-limited"));
}

TEST_GROUP(Pool) {};

TEST(Pool, RefusesTasksBeyondItsQueueLimitAndFinishesAcceptedOnes)
{
    std::atomic<int> done { 0 };
    int accepted = 0;
    {
        WorkerPool pool(2, 50);
        for (int i = 0; i < 200; ++i)
            accepted += pool.submit([&done] { ++done; });
        pool.stop();
        CHECK_FALSE(pool.submit([] {}));
    }
    LONGS_EQUAL(accepted, done.load());
}
