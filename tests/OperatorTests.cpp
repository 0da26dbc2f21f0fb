#include "TestSupport.h"

#include <functional>
#include <hyssopwick_operator.h>
#include <sstream>

using namespace hyssopwick;

namespace {

// In-memory key-value service that can lose answers and fail, with a hook before swaps.
class MemoryStore : public KeyValueStore {
public:
    Outcome<KeyValue> read(const std::string& key) override
    {
        if (isUnavailable)
            return failure(ErrorCode::Unavailable, "outage");
        return m_stored.count(key) ? m_stored[key] : KeyValue {};
    }

    Outcome<KeyValue> watch(const std::string& key, KeyRevision, TimePoint) override { return read(key); }

    Outcome<SwapResult> swap(const std::string& key, KeyRevision expected, const std::string& value, Milliseconds) override
    {
        if (beforeHeadSwap && key == headKey)
            std::exchange(beforeHeadSwap, nullptr)();
        if (isUnavailable)
            return failure(ErrorCode::Unavailable, "outage");
        const auto current = m_stored[key].revision;
        if (current != expected)
            return SwapResult { false, current };
        m_stored[key] = { value, ++m_revision };
        if (loseHeadAnswer && key == headKey)
            return failure(ErrorCode::UnknownResult, "answer lost");
        return SwapResult { true, m_revision };
    }

    Outcome<SwapResult> remove(const std::string& key, KeyRevision expected) override
    {
        if (m_stored[key].revision != expected)
            return SwapResult { false, m_stored[key].revision };
        m_stored.erase(key);
        return SwapResult { true, ++m_revision };
    }

    Outcome<std::vector<std::string>> list(const std::string& prefix) override
    {
        std::vector<std::string> keys;
        for (const auto& [key, value] : m_stored) {
            if (key.rfind(prefix, 0) == 0 && value.revision != 0)
                keys.push_back(key);
        }
        return keys;
    }

    std::function<void()> beforeHeadSwap;
    bool loseHeadAnswer = false;
    bool isUnavailable = false;

private:
    std::map<std::string, KeyValue> m_stored;
    KeyRevision m_revision = 0;
};

Bundle bundleOf(const std::string& vm) { return Bundle({ VmStateRecord { vm, true } }); }

}

TEST_GROUP(Apply)
{
    MemoryStore store;
    ApplyResult apply(const std::string& vm, const std::string& nonce, std::optional<ConfigurationRevision> expected = std::nullopt)
    {
        return Applier(store, "op", nonce).apply(bundleOf(vm), expected);
    }
};

TEST(Apply, RevisionsRiseByOneAndEqualRecordsChangeNothing)
{
    CHECK(apply("a", "1").verdict == ApplyVerdict::Accepted);
    CHECK(apply("a", "2").verdict == ApplyVerdict::Unchanged);
    const auto second = apply("b", "3");
    LONGS_EQUAL(2, second.head.revision);
    LONGS_EQUAL(2, second.changes.size());
    CHECK(apply("c", "4", 1).verdict == ApplyVerdict::Conflict);
    CHECK(apply("c", "5", 2).verdict == ApplyVerdict::Accepted);
}

TEST(Apply, TheLoserOfTwoConcurrentAppliesGetsTheChangesOfTheOther)
{
    CHECK(apply("a", "1").verdict == ApplyVerdict::Accepted);
    store.beforeHeadSwap = [&] { CHECK(apply("b", "rival").verdict == ApplyVerdict::Accepted); };
    const auto loser = apply("c", "mine");
    CHECK(loser.verdict == ApplyVerdict::Conflict);
    LONGS_EQUAL(2, loser.head.revision);
    CHECK(loser.changes.front() == "+ vm-state/b");
    CHECK(Applier(store, "op", "x").readCurrent().value().second.second == bundleOf("b"));
}

TEST(Apply, ALostAnswerIsResolvedByTheNonceOfTheHead)
{
    store.loseHeadAnswer = true;
    CHECK(apply("a", "1").verdict == ApplyVerdict::Accepted);
    store.beforeHeadSwap = [&] { CHECK(apply("b", "rival").verdict == ApplyVerdict::Accepted); };
    CHECK(apply("c", "mine").verdict == ApplyVerdict::Conflict);
}

TEST(Apply, NothingIsAcceptedDuringAnOutage)
{
    CHECK(apply("a", "1").verdict == ApplyVerdict::Accepted);
    store.beforeHeadSwap = [&] { store.isUnavailable = true; };
    CHECK(apply("b", "2").verdict == ApplyVerdict::Unknown);
    store.isUnavailable = false;
    CHECK(Applier(store, "op", "x").readCurrent().value().second.second == bundleOf("a"));
}

TEST(Apply, UnreferencedPartsAreRemovedOnceFoundTwice)
{
    CHECK(apply("a", "1").verdict == ApplyVerdict::Accepted);
    CHECK(store.swap(bundlePartKey(digestOf(7), 0), 0, "half", Milliseconds(0)).has_value());
    Applier applier(store, "op", "2");
    LONGS_EQUAL(0, applier.removeUnreferencedParts().value());
    LONGS_EQUAL(1, applier.removeUnreferencedParts().value());
    CHECK(applier.readCurrent().value().second.second == bundleOf("a"));
}

TEST(Apply, BundlesOverTheValueLimitAreSplit)
{
    std::vector<Record> records;
    for (int i = 0; i < 20'000; ++i)
        records.push_back(VmStateRecord { "vm-with-a-long-name-" + std::to_string(i), false });
    const Bundle large(records);
    const auto result = Applier(store, "op", "1").apply(large, std::nullopt);
    CHECK(result.verdict == ApplyVerdict::Accepted);
    CHECK(result.head.parts > 1);
    CHECK(Applier(store, "op", "2").readCurrent().value().second.second == large);
}

TEST_GROUP(KeyValueLimiter) {};

TEST(KeyValueLimiter, BackgroundCallsLeaveBudgetForClaims)
{
    KeyValueLimits limits;
    limits.callsPerSecond = 10;
    limits.burst = 10;
    KeyValueLimiterDecision limiter(limits, 1, at(0));
    int background = 0;
    while (limiter.tryAcquire(KeyValuePriority::Background, at(0)) == KeyValueRefusal::None)
        ++background;
    LONGS_EQUAL(6, background);
    int claims = 0;
    while (limiter.tryAcquire(KeyValuePriority::Claim, at(0)) == KeyValueRefusal::None)
        ++claims;
    LONGS_EQUAL(4, claims);
    CHECK(limiter.tryAcquire(KeyValuePriority::Claim, at(150)) == KeyValueRefusal::None);
}

TEST(KeyValueLimiter, TheCircuitOpensAfterFailuresAndIsProbedWithOneCall)
{
    KeyValueLimiterDecision limiter(KeyValueLimits(), 1, at(0));
    for (int i = 0; i < 3; ++i) {
        CHECK(limiter.tryAcquire(KeyValuePriority::Head, at(i)) == KeyValueRefusal::None);
        limiter.recordResult(false, at(i));
    }
    CHECK(limiter.tryAcquire(KeyValuePriority::Claim, at(3)) == KeyValueRefusal::CircuitOpen);
    CHECK(limiter.tryAcquire(KeyValuePriority::Claim, at(1000)) == KeyValueRefusal::None);
    CHECK(limiter.tryAcquire(KeyValuePriority::Claim, at(1000)) == KeyValueRefusal::CircuitOpen);
    limiter.recordResult(true, at(1001));
    CHECK(limiter.tryAcquire(KeyValuePriority::Claim, at(1002)) == KeyValueRefusal::None);
}

TEST(KeyValueLimiter, CallsOfManyProcessesAfterAnOutageAreSpreadOut)
{
    std::map<std::int64_t, int> perSecond;
    for (std::uint64_t process = 0; process < 360; ++process) {
        KeyValueLimiterDecision limiter(KeyValueLimits(), process, at(0));
        for (std::int64_t now = 0; now < 60'000; now += 50) {
            if (limiter.tryAcquire(KeyValuePriority::Head, at(now)) != KeyValueRefusal::None)
                continue;
            if (now < 30'000) {
                limiter.recordResult(false, at(now));
                continue;
            }
            ++perSecond[now / 1000];
            break;
        }
    }
    int total = 0;
    for (const auto& [second, count] : perSecond) {
        total += count;
        CHECK(count <= 180);
    }
    LONGS_EQUAL(360, total);
}

TEST_GROUP(CommandLine)
{
    std::ostringstream out;
    std::ostringstream errors;
    int run(const std::vector<std::string>& arguments) { return static_cast<int>(runCommandLine(arguments, out, errors)); }
};

TEST(CommandLine, HelpAndVersionAndUnknownCommands)
{
    LONGS_EQUAL(0, run({ "--help" }));
    CHECK(out.str().find("validate") != std::string::npos);
    LONGS_EQUAL(0, run({ "--version" }));
    for (const auto* command : { "validate", "plan", "apply", "status", "audit" }) {
        out.str("");
        LONGS_EQUAL(0, run({ command, "--help" }));
        CHECK(out.str().find("Example:") != std::string::npos);
    }
    LONGS_EQUAL(2, run({ "explode" }));
    LONGS_EQUAL(2, run({ "validate", "--colour" }));
    LONGS_EQUAL(2, run({}));
    LONGS_EQUAL(2, run({ "audit", "/does/not/exist" }));
}

TEST(CommandLine, ValidateReportsFindings)
{
    LONGS_EQUAL(1, run({ "validate", "/does/not/exist" }));
    CHECK(errors.str().find("/does/not/exist:1:1: ") == 0);
    LONGS_EQUAL(1, run({ "validate", "--json", "/does/not/exist" }));
    CHECK(out.str().find("\"findings\":[{") != std::string::npos);
}

TEST_GROUP(RequestTimeline) {};

TEST(RequestTimeline, TheEventsOfARequestAndItsUpstreamsAreListedInOrderOfTime)
{
    RequestTimeline timeline("r1");
    timeline.addLine("v=1 process=entry/1 seq=3 at=2000 event=call.ended request=r1 outcome=upstream-failed status=502 chain=x");
    timeline.addLine("  1.25 entry v=1 process=entry/1 seq=1 at=1900 event=call.sent request=r1 upstream=i-1 chain=x");
    timeline.addLine("v=1 process=entry/1 seq=2 at=1950 event=upstream.unregistered upstream=i-1 reason=registration-ended chain=x");
    timeline.addLine("v=1 process=entry/1 seq=4 at=1950 event=upstream.unregistered upstream=i-2 chain=x");
    timeline.addLine("v=1 process=entry/1 seq=5 at=1950 event=call.sent request=r2 upstream=i-1 chain=x");
    timeline.addLine("v=1 process=other/1 seq=5 at=1950 event=upstream.unregistered upstream=i-1 chain=x");
    timeline.addLine("no event");
    std::ostringstream out;
    timeline.print(out);
    const auto text = out.str();
    CHECK(text.find("call.sent") < text.find("upstream.unregistered"));
    CHECK(text.find("upstream.unregistered") < text.find("call.ended"));
    CHECK(text.find("+100 ms") != std::string::npos);
    CHECK(text.find("status=502") != std::string::npos);
    CHECK(text.find("i-2") == std::string::npos);
    CHECK(text.find("r2") == std::string::npos);
    CHECK(text.find("other/1") == std::string::npos);
}

TEST(RequestTimeline, ARequestWithoutEventsIsReported)
{
    const RequestTimeline timeline("r9");
    std::ostringstream out;
    timeline.print(out);
    CHECK(timeline.isEmpty());
    CHECK(out.str().find("no event names request r9") == 0);
}
