#include "TestSupport.h"

#include <hyssopwick_requests.h>
#include <set>

using namespace hyssopwick;

namespace {

// A claim bucket as the key-value service stores it, with compare-and-swap.
struct StoredBucket {
    std::string text;
    std::uint64_t revision = 0;
    bool isUnreachable = false;

    bool swap(std::uint64_t expected, const std::string& value)
    {
        if (isUnreachable || expected != revision)
            return false;
        text = value;
        ++revision;
        return true;
    }
};

enum class Step {
    BeforeClaim,
    ClaimWritten,
    ClaimAnswered,
    CallSent,
    Executed,
    Answered,
    OutcomeWritten,
    None,
};

enum class Fault {
    EntryCrashes, ///< the attempt ends here without an answer
    AnswerLost, ///< the step's answer does not arrive
    KeyValueUnreachable, ///< the key-value service does not answer from here on
    UpstreamCrashes, ///< the agent or service stops here
};

// One attempt at a call by one entry VM, using the decisions of the module, with a
// fault at one step.
class CallAttempt {
public:
    CallAttempt(StoredBucket& stored, UpstreamAdmissionDecision& admission, int& executions)
        : m_stored(stored)
        , m_admission(admission)
        , m_executions(executions)
    {
    }

    // Returns the run state reported to the caller, if any.
    std::optional<RunState> run(const std::string& holder, const std::string& attempt, Step faultAt, Fault fault)
    {
        const auto isFaultAt = [&](Step step, Fault kind) { return step == faultAt && kind == fault; };
        if (isFaultAt(Step::BeforeClaim, Fault::EntryCrashes))
            return std::nullopt;
        if (isFaultAt(Step::BeforeClaim, Fault::KeyValueUnreachable) || isFaultAt(Step::ClaimWritten, Fault::KeyValueUnreachable))
            m_stored.isUnreachable = true;
        const bool isLost = isFaultAt(Step::ClaimWritten, Fault::AnswerLost);
        const auto claim = write(ClaimRequest { identity, holder, digestOf(9) }, isLost);
        if (isFaultAt(Step::ClaimWritten, Fault::EntryCrashes) || isFaultAt(Step::ClaimAnswered, Fault::EntryCrashes))
            return std::nullopt;
        if (!claim)
            return RunState::NotRun;
        if (claim->answer == ClaimAnswer::OutcomeKnown)
            return std::nullopt; // the outcome is replayed: no state to check
        if (claim->answer != ClaimAnswer::Granted)
            return RunState::Unknown;
        if (isFaultAt(Step::ClaimAnswered, Fault::KeyValueUnreachable))
            m_stored.isUnreachable = true;
        return sendToUpstream(holder, attempt, isFaultAt);
    }

    static inline const Digest identity = digestOf(5);

private:
    std::optional<ClaimResult> write(const ClaimOperation& operation, bool isAnswerLost)
    {
        for (int round = 0; round < 3; ++round) {
            if (m_stored.isUnreachable)
                return std::nullopt;
            auto bucket = ClaimBucket::parse(m_stored.text).value();
            const auto result = bucket.apply(operation);
            if (bucket.text() == m_stored.text)
                return result;
            const bool isSwapped = m_stored.swap(m_stored.revision, bucket.text());
            if (isSwapped && !(isAnswerLost && round == 0))
                return result;
        }
        return std::nullopt;
    }

    template <typename FaultPredicate>
    std::optional<RunState> sendToUpstream(const std::string& holder, const std::string& attempt, const FaultPredicate& isFaultAt)
    {
        RetryBudget budget;
        RandomSource random(1);
        AttemptFailure failure = AttemptFailure::NotSent;
        UpstreamCall call;
        call.attempt = attempt;
        call.identity = identity.hex();
        call.deadline = at(9000);
        const bool isUpstreamUnreachable = isFaultAt(Step::CallSent, Fault::UpstreamCrashes);
        const auto refusal = isUpstreamUnreachable ? std::nullopt : m_admission.admit(call, at(0));
        if (refusal && refusal->runState == RunState::Unknown)
            return RunState::Unknown;
        if (refusal)
            failure = AttemptFailure::Refused;
        if (!isUpstreamUnreachable && !refusal) {
            if (isFaultAt(Step::CallSent, Fault::EntryCrashes))
                return std::nullopt;
            ++m_executions;
            failure = AttemptFailure::Lost;
            if (isFaultAt(Step::Executed, Fault::EntryCrashes))
                return std::nullopt;
            const bool isAnswerReceived = !isFaultAt(Step::CallSent, Fault::AnswerLost) && !isFaultAt(Step::Executed, Fault::AnswerLost) && !isFaultAt(Step::Executed, Fault::UpstreamCrashes);
            m_admission.finish(attempt, true);
            if (isAnswerReceived) {
                if (isFaultAt(Step::Answered, Fault::KeyValueUnreachable))
                    m_stored.isUnreachable = true;
                if (!isFaultAt(Step::Answered, Fault::EntryCrashes))
                    write(ClaimCompletion { identity, holder, { 200, "done" } }, isFaultAt(Step::OutcomeWritten, Fault::AnswerLost));
                return std::nullopt;
            }
        }
        const auto verdict = decideRetry(failure, false, 4, at(9000), budget, random, at(0));
        if (verdict.refusal.runState == RunState::NotRun)
            write(ClaimRelease { identity, holder }, false);
        return verdict.refusal.runState;
    }

    StoredBucket& m_stored;
    UpstreamAdmissionDecision& m_admission;
    int& m_executions;
};

}

TEST_GROUP(Claims) {};

TEST(Claims, AClaimHasOneHolderAndItsOutcomeIsReplayed)
{
    ClaimBucket bucket;
    CHECK(bucket.apply(ClaimRequest { digestOf(1), "a", digestOf(9) }).answer == ClaimAnswer::Granted);
    CHECK(bucket.apply(ClaimRequest { digestOf(1), "a", digestOf(9) }).answer == ClaimAnswer::Granted);
    CHECK(bucket.apply(ClaimRequest { digestOf(1), "b", digestOf(9) }).answer == ClaimAnswer::HeldByOther);
    CHECK(bucket.apply(ClaimRequest { digestOf(1), "b", digestOf(8) }).answer == ClaimAnswer::BodyDiffers);
    CHECK(bucket.apply(ClaimCompletion { digestOf(1), "b", { 200, "x" } }).answer == ClaimAnswer::Refused);
    CHECK(bucket.apply(ClaimCompletion { digestOf(1), "a", { 200, "x" } }).answer == ClaimAnswer::Granted);
    CHECK(bucket.apply(ClaimRelease { digestOf(1), "a" }).answer == ClaimAnswer::Refused);
    const auto replay = ClaimBucket::parse(bucket.text()).value().apply(ClaimRequest { digestOf(1), "c", digestOf(9) });
    CHECK(replay.answer == ClaimAnswer::OutcomeKnown);
    CHECK(replay.outcome->body == "x");
}

TEST(Claims, AReleasedClaimIsGrantedToTheNextHolderOnly)
{
    ClaimBucket bucket;
    bucket.apply(ClaimRequest { digestOf(1), "a", digestOf(9) });
    CHECK(bucket.apply(ClaimRelease { digestOf(1), "b" }).answer == ClaimAnswer::Refused);
    CHECK(bucket.apply(ClaimRelease { digestOf(1), "a" }).answer == ClaimAnswer::Granted);
    CHECK(bucket.apply(ClaimRequest { digestOf(1), "b", digestOf(9) }).answer == ClaimAnswer::Granted);
    CHECK(bucket.apply(ClaimCompletion { digestOf(1), "a", { 200, "" } }).answer == ClaimAnswer::Refused);
    CHECK(bucket.apply(ClaimRequest { digestOf(1), "a", digestOf(9) }).answer == ClaimAnswer::HeldByOther);
}

TEST(Claims, BucketsAreBoundedAndMalformedOnesRefused)
{
    ClaimBucket bucket;
    ClaimAnswer last = ClaimAnswer::Granted;
    for (int i = 0; i < 7000 && last == ClaimAnswer::Granted; ++i)
        last = bucket.apply(ClaimRequest { digestOf(i), "holder", digestOf(9) }).answer;
    CHECK(last == ClaimAnswer::BucketFull);
    CHECK(bucket.text().size() <= ClaimBucket::maxTextBytes);
    CHECK(bucket.apply(ClaimCompletion { digestOf(1), "holder", { 200, std::string(5000, 'x') } }).answer == ClaimAnswer::Refused);
    CHECK_FALSE(ClaimBucket::parse("{\"claims\":{\"a\":{\"s\":\"x\"}}}").has_value());
    CHECK_FALSE(ClaimBucket::parse("[]").has_value());
}

TEST(Claims, IdentitiesOfDifferentAccountsDiffer)
{
    const ClaimIdentity mine { "a", "key", 1000 };
    const ClaimIdentity theirs { "b", "key", 1000 };
    CHECK(mine.digest() != theirs.digest());
    CHECK((ClaimIdentity { "a", "key", 999 }).digest() != mine.digest());
    CHECK(claimShardOf(mine.bucketKey()).find("hyssopwick/claims/") == 0);
}

TEST_GROUP(AtMostOnce) {};

// Each case is one call whose first attempt meets a fault at one step, followed by two
// retries of the caller through other entry VMs.
TEST(AtMostOnce, EveryFaultAtEveryStep)
{
    int cases = 0;
    for (int step = 0; step <= static_cast<int>(Step::None); ++step) {
        for (int fault = 0; fault <= static_cast<int>(Fault::UpstreamCrashes); ++fault) {
            for (const bool isSameUpstream : { true, false }) {
                StoredBucket stored;
                UpstreamAdmissionDecision first(4);
                UpstreamAdmissionDecision second(4);
                int executions = 0;
                const auto reportedState = CallAttempt(stored, first, executions).run("h1", "a1", static_cast<Step>(step), static_cast<Fault>(fault));
                if (reportedState == RunState::NotRun)
                    LONGS_EQUAL(0, executions);
                stored.isUnreachable = false;
                auto& admission = isSameUpstream ? first : second;
                for (const auto* holder : { "h2", "h3" }) {
                    const int before = executions;
                    const auto repeatedState = CallAttempt(stored, admission, executions).run(holder, std::string("a-") + holder, Step::None, Fault::EntryCrashes);
                    if (repeatedState == RunState::NotRun)
                        LONGS_EQUAL(before, executions);
                    CHECK(executions <= 1);
                }
                if (reportedState == RunState::NotRun)
                    LONGS_EQUAL(1, executions);
                ++cases;
            }
        }
    }
    LONGS_EQUAL(64, cases);
}

// Entry VMs write concurrently, with stale values, lost answers and repeated batches.
TEST(AtMostOnce, RacingWritersGrantOneHolderPerIdentity)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        RandomSource random(seed);
        StoredBucket stored;
        struct Writer {
            std::string text;
            std::uint64_t revision;
            std::string holder;
        };
        std::vector<Writer> writers;
        std::set<std::string> granted;
        for (int i = 0; i < 6; ++i)
            writers.push_back({ "", 0, "h" + std::to_string(i) });
        for (int step = 0; step < 60; ++step) {
            auto& writer = writers[random.below(writers.size())];
            if (random.below(2) == 0) {
                writer.text = stored.text;
                writer.revision = stored.revision;
                continue;
            }
            auto bucket = ClaimBucket::parse(writer.text).value();
            const auto result = bucket.apply(ClaimRequest { digestOf(1), writer.holder, digestOf(9) });
            const bool isSwapped = stored.swap(writer.revision, bucket.text());
            const bool isAnswerLost = random.below(3) == 0;
            if (isSwapped && !isAnswerLost && result.answer == ClaimAnswer::Granted)
                granted.insert(writer.holder);
        }
        CHECK(granted.size() <= 1);
    }
}
