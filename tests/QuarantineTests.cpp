#include "TestSupport.h"

#include <hyssopwick_requests.h>

using namespace hyssopwick;
using Blocks = CrashQuarantine::Parts;
using Verdict = CrashQuarantine::Verdict;

TEST_GROUP(Quarantine)
{
    CrashQuarantine quarantine;

    // Records a crash that is known at once.
    Blocks crash(const Blocks& blocks, std::int64_t sentAt, std::int64_t crashedAt)
    {
        return quarantine.recordCrash(blocks, at(sentAt), at(crashedAt), at(crashedAt));
    }

    // Quarantines the blocks at 300 ms, so that their first recheck is due at 800 ms.
    void quarantineAt300(const Blocks& blocks)
    {
        crash(blocks, 50, 100);
        crash(blocks, 150, 200);
        CHECK(blocks == crash(blocks, 250, 300));
    }

    // Rechecks the blocks, which crashes an engine 100 ms later.
    void crashRecheck(const Blocks& blocks, std::int64_t sentAt)
    {
        CHECK(Verdict::Recheck == quarantine.verdict(blocks, at(sentAt)));
        quarantine.recordRecheck(blocks, at(sentAt));
        crash(blocks, sentAt, sentAt + 100);
    }

    bool isRefused(const Blocks& blocks, std::int64_t now) const { return quarantine.verdict(blocks, at(now)) == Verdict::Refuse; }
    bool runs(const Blocks& blocks, std::int64_t now) const { return quarantine.verdict(blocks, at(now)) == Verdict::Run; }
};

// Otherwise a block of crashing calls that sound calls share is refused to them as well.
TEST(Quarantine, OnlyTheBlockWithoutAnAnswerBetweenCrashesIsQuarantined)
{
    CHECK(crash({ "shared", "bad" }, 0, 100).empty());
    quarantine.recordAnswered({ "shared" }, at(150));
    CHECK(crash({ "shared", "bad" }, 200, 300).empty());
    quarantine.recordAnswered({ "shared" }, at(350));
    CHECK(Blocks { "bad" } == crash({ "shared", "bad" }, 400, 500));
    CHECK(isRefused({ "shared", "bad" }, 501));
    CHECK(runs({ "shared" }, 501));
}

TEST(Quarantine, TwoCrashesDoNotQuarantineAndTheThirdDoesAtOnce)
{
    CHECK(crash({ "bad" }, 0, 100).empty());
    CHECK(crash({ "bad" }, 200, 300).empty());
    CHECK(runs({ "bad" }, 301));
    CHECK(Blocks { "bad" } == crash({ "bad" }, 400, 500));
    CHECK(isRefused({ "bad" }, 500));
}

// A loss of power must not refuse the prompts of all calls that were in flight.
TEST(Quarantine, EnginesThatCrashAtTheSameMomentQuarantineNothing)
{
    for (int engine = 0; engine < 24; ++engine) {
        for (int call = 0; call < 16; ++call)
            CHECK(crash({ "shared" }, call * 6, 100 + engine).empty());
    }
    CHECK(runs({ "shared" }, 200));
}

// An engine loses many calls with the same block, and each entry reports its own.
TEST(Quarantine, TheLostCallsOfOneCrashCountOnce)
{
    for (const int crashedAt : { 100, 300 }) {
        for (int call = 0; call < 16; ++call)
            CHECK(crash({ "shared" }, crashedAt - 90 + call, crashedAt).empty());
    }
    CHECK(runs({ "shared" }, 301));
}

TEST(Quarantine, AnAnswerBegunAfterTheCrashClears)
{
    crash({ "a" }, 0, 100);
    crash({ "a" }, 150, 200);
    CHECK(Blocks { "a" } == quarantine.recordAnswered({ "a" }, at(201)).suspected);
    CHECK(crash({ "a" }, 250, 300).empty());
    CHECK(crash({ "a" }, 350, 400).empty());
    CHECK(Blocks { "a" } == crash({ "a" }, 450, 500));
}

TEST(Quarantine, AnAnswerBegunBeforeTheCrashDoesNotClear)
{
    crash({ "a" }, 0, 100);
    crash({ "a" }, 150, 200);
    CHECK(quarantine.recordAnswered({ "a" }, at(99)).suspected.empty());
    CHECK(Blocks { "a" } == crash({ "a" }, 250, 300));
    const auto cleared = quarantine.recordAnswered({ "a" }, at(99));
    CHECK(cleared.suspected.empty() && cleared.released.empty());
    CHECK(isRefused({ "a" }, 301));
}

TEST(Quarantine, AnAnswerClearsOnlyTheCrashesBeforeIt)
{
    crash({ "a" }, 0, 100);
    crash({ "a" }, 150, 200);
    quarantine.recordAnswered({ "a" }, at(140));
    CHECK(crash({ "a" }, 250, 300).empty());
    CHECK(Blocks { "a" } == crash({ "a" }, 350, 400));
}

// An answer from between the crashes may be reported after the last of them.
TEST(Quarantine, ALateReportOfAnAnswerBetweenCrashesReleases)
{
    quarantineAt300({ "a" });
    const auto cleared = quarantine.recordAnswered({ "a" }, at(210));
    CHECK(Blocks { "a" } == cleared.released);
    CHECK(runs({ "a" }, 350));
    CHECK_FALSE(quarantine.rechecks("a").has_value());
}

TEST(Quarantine, ACrashReportedAfterALaterAnswerDoesNotCount)
{
    crash({ "a" }, 0, 100);
    crash({ "a" }, 150, 200);
    quarantine.recordAnswered({ "a" }, at(350));
    CHECK(quarantine.recordCrash({ "a" }, at(250), at(300), at(700)).empty());
    CHECK(crash({ "a" }, 710, 720).empty());
    CHECK(crash({ "a" }, 730, 740).empty());
    CHECK(runs({ "a" }, 741));
}

TEST(Quarantine, ALateReportCountsWhenItArrivesInOrder)
{
    for (int number = 0; number < 2; ++number)
        CHECK(quarantine.recordCrash({ "bad" }, at(number * 200), at(number * 200 + 100), at(number * 200 + 600)).empty());
    CHECK(Blocks { "bad" } == quarantine.recordCrash({ "bad" }, at(400), at(500), at(2000)));
    CHECK(quarantine.nextRecheck({ "bad" }) == at(2500));
}

// Reports of different entries overtake each other; one crash more makes up for that.
TEST(Quarantine, CrashesReportedOutOfOrderQuarantineWithTheNextCrash)
{
    crash({ "bad" }, 0, 100);
    quarantine.recordCrash({ "bad" }, at(400), at(500), at(510));
    quarantine.recordCrash({ "bad" }, at(200), at(300), at(515));
    crash({ "bad" }, 600, 700);
    CHECK(isRefused({ "bad" }, 701));
}

TEST(Quarantine, OneCallRechecksAfterHalfASecondAndOthersAreRefused)
{
    quarantineAt300({ "bad" });
    CHECK(isRefused({ "bad" }, 799));
    CHECK(Verdict::Recheck == quarantine.verdict({ "bad" }, at(800)));
    CHECK(Blocks { "bad" } == quarantine.recordRecheck({ "x", "bad" }, at(800)));
    CHECK(isRefused({ "bad" }, 800));
    CHECK(isRefused({ "bad" }, 8799));
    LONGS_EQUAL(1, *quarantine.rechecks("bad"));
}

TEST(Quarantine, CrashedRechecksAreRepeatedAfterEightSecondsAnHourAndADay)
{
    constexpr std::int64_t hour = 3'600'000;
    quarantineAt300({ "bad" });
    std::int64_t now = 800;
    for (const std::int64_t delay : { std::int64_t(8000), hour, 8 * hour, 24 * hour, 24 * hour, 24 * hour }) {
        crashRecheck({ "bad" }, now);
        CHECK(isRefused({ "bad" }, now + delay - 1));
        now += delay;
        quarantine.expire(at(now));
    }
    LONGS_EQUAL(6, *quarantine.rechecks("bad"));
}

TEST(Quarantine, AnAnsweredRecheckReleases)
{
    quarantineAt300({ "a" });
    quarantine.recordRecheck({ "a" }, at(800));
    const auto cleared = quarantine.recordAnswered({ "a" }, at(900));
    CHECK(Blocks { "a" } == cleared.suspected);
    CHECK(Blocks { "a" } == cleared.released);
    CHECK(runs({ "a" }, 901));
    CHECK(crash({ "a" }, 910, 920).empty());
}

// A call that an engine began before the recheck crashed may still be answered in full.
TEST(Quarantine, OnlyAnAnswerBegunAfterACrashedRecheckReleases)
{
    quarantineAt300({ "bad" });
    crashRecheck({ "bad" }, 800);
    CHECK(quarantine.recordAnswered({ "bad" }, at(850)).released.empty());
    CHECK(isRefused({ "bad" }, 1000));
    CHECK(Blocks { "bad" } == quarantine.recordAnswered({ "bad" }, at(901)).released);
}

// The recheck of a harmless block by a crashing call would prolong its quarantine.
TEST(Quarantine, ACallWithTwoQuarantinedBlocksWaitsLongerThanOneWithASingleBlock)
{
    quarantineAt300({ "a", "bad" });
    CHECK(quarantine.nextRecheck({ "a" }) == at(800));
    CHECK(quarantine.nextRecheck({ "a", "bad" }) == at(1800));
    CHECK(Verdict::Recheck == quarantine.verdict({ "a", "x" }, at(800)));
    CHECK(isRefused({ "a", "bad" }, 1799));
    CHECK(Verdict::Recheck == quarantine.verdict({ "a", "bad" }, at(1800)));
    quarantine.recordRecheck({ "a" }, at(800));
    quarantine.recordAnswered({ "a" }, at(850));
    CHECK(quarantine.nextRecheck({ "a", "bad" }) == at(800));
}

TEST(Quarantine, ACallWaitsForTheLastOfItsQuarantinedBlocks)
{
    quarantineAt300({ "a", "bad" });
    crashRecheck({ "bad" }, 800);
    CHECK(quarantine.nextRecheck({ "a", "bad" }) == at(800 + 8000 + 1000));
}

TEST(Quarantine, CallsWithoutQuarantinedBlocksNeverRecheck)
{
    quarantineAt300({ "bad" });
    CHECK_FALSE(quarantine.nextRecheck({}).has_value());
    CHECK_FALSE(quarantine.nextRecheck({ "x" }).has_value());
    CHECK(quarantine.recordRecheck({ "x" }, at(800)).empty());
    CHECK(Verdict::Recheck == quarantine.verdict({ "bad" }, at(800)));
}

TEST(Quarantine, AnEntryThatStartsAdoptsQuarantinesAndTheirIntervals)
{
    quarantine.adopt("bad", 2, at(0));
    LONGS_EQUAL(2, *quarantine.rechecks("bad"));
    CHECK(isRefused({ "bad" }, 3'599'999));
    CHECK(Verdict::Recheck == quarantine.verdict({ "bad" }, at(3'600'000)));
    quarantine.expire(at(3'600'000));
    CHECK(quarantine.rechecks("bad").has_value());
    CHECK(Blocks { "bad" } == quarantine.recordAnswered({ "bad" }, at(10)).released);
}

// The store repeats its records.
TEST(Quarantine, AdoptingAnOlderRecordNeitherShortensNorProlongsAQuarantine)
{
    quarantineAt300({ "bad" });
    crashRecheck({ "bad" }, 800);
    quarantine.adopt("bad", 1, at(5000));
    quarantine.adopt("bad", 0, at(5000));
    CHECK(quarantine.nextRecheck({ "bad" }) == at(8800));
    quarantine.adopt("bad", 2, at(5000));
    CHECK(quarantine.nextRecheck({ "bad" }) == at(3'605'000));
}

TEST(Quarantine, AnAnswerBegunBeforeAnAdoptedQuarantineDoesNotRelease)
{
    quarantine.adopt("bad", 1, at(1000));
    CHECK(quarantine.recordAnswered({ "bad" }, at(999)).released.empty());
    CHECK(isRefused({ "bad" }, 1001));
}

TEST(Quarantine, ReleaseEndsAQuarantineOnce)
{
    quarantine.adopt("bad", 1, at(0));
    CHECK(quarantine.release("bad"));
    CHECK(runs({ "bad" }, 1));
    CHECK_FALSE(quarantine.release("bad"));
}

TEST(Quarantine, AWithdrawnRecheckLeavesItsTurnToTheNextCall)
{
    quarantineAt300({ "bad" });
    quarantine.recordRecheck({ "bad" }, at(800));
    quarantine.withdrawRecheck("bad", at(810));
    LONGS_EQUAL(0, *quarantine.rechecks("bad"));
    CHECK(Verdict::Recheck == quarantine.verdict({ "bad" }, at(810)));
    quarantine.recordRecheck({ "bad" }, at(820));
    CHECK(quarantine.nextRecheck({ "bad" }) == at(8820));
}

TEST(Quarantine, WithdrawingWhatWasNotRecheckedHasNoEffect)
{
    quarantine.withdrawRecheck("unknown", at(0));
    CHECK_FALSE(quarantine.rechecks("unknown").has_value());
    quarantineAt300({ "bad" });
    quarantine.withdrawRecheck("bad", at(310));
    CHECK(isRefused({ "bad" }, 799));
}

// A block that is in flight at a crash each hour is not a cause.
TEST(Quarantine, SuspicionExpiresAndAQuarantineDoesNot)
{
    crash({ "rare" }, 0, 100);
    crash({ "rare" }, 150, 200);
    quarantineAt300({ "bad" });
    quarantine.expire(at(200 + 120'000));
    quarantine.expire(at(200 + 120'001));
    CHECK(crash({ "rare" }, 130'000, 130'100).empty());
    CHECK(crash({ "rare" }, 130'200, 130'300).empty());
    LONGS_EQUAL(0, *quarantine.rechecks("bad"));
}

TEST(Quarantine, SuspicionWithinItsPeriodIsKept)
{
    crash({ "bad" }, 0, 100);
    crash({ "bad" }, 60'000, 60'100);
    quarantine.expire(at(180'100));
    CHECK(Blocks { "bad" } == crash({ "bad" }, 180'200, 180'300));
}

// Prompts that nobody repeats must not fill the memory, nor keep known causes from being counted.
TEST(Quarantine, TheNumberOfSuspectsIsLimitedAndKnownOnesStillCount)
{
    constexpr int limit = 4096;
    crash({ "bad" }, 0, 100);
    for (int number = 1; number < limit; ++number)
        crash({ std::to_string(number) }, 0, 100);
    for (const int crashedAt : { 300, 500, 700 })
        CHECK(crash({ "beyond" }, crashedAt - 50, crashedAt).empty());
    quarantine.adopt("adopted", 1, at(700));
    CHECK_FALSE(quarantine.rechecks("adopted").has_value());
    crash({ "bad" }, 750, 800);
    CHECK(Blocks { "bad" } == crash({ "bad" }, 850, 900));
    quarantine.expire(at(121'000));
    quarantine.adopt("adopted", 1, at(121'000));
    CHECK(quarantine.rechecks("adopted").has_value());
}

TEST(Quarantine, TheRequestsOfOneCrashCountOnce)
{
    CHECK_FALSE(quarantine.recordRequestCrash("r", { "a", at(0), at(50) }, at(50)));
    CHECK_FALSE(quarantine.recordRequestCrash("r", { "a", at(20), at(52) }, at(60)));
    CHECK_FALSE(quarantine.recordRequestCrash("r", { "b", at(20), at(52) }, at(60)));
    CHECK(runs({ "r" }, 61));
    CHECK(quarantine.recordRequestCrash("r", { "a", at(3000), at(3050) }, at(3050)));
    CHECK(isRefused({ "r" }, 3051));
}

TEST(Quarantine, AMergedSuspectIsRefusedHereToo)
{
    CrashQuarantine other;
    for (const int upstream : { 1, 2, 3 })
        other.recordRequestCrash("r", { std::to_string(upstream), at(upstream), at(upstream + 100) }, at(200));
    CHECK(quarantine.sharedDigest() != other.sharedDigest());
    for (const auto& suspect : other.shared())
        CHECK_FALSE(quarantine.merge(suspect, at(300)).has_value());
    CHECK(isRefused({ "r" }, 301));
    LONGS_EQUAL(other.sharedDigest(), quarantine.sharedDigest());
}

TEST(Quarantine, AMergedSuspectThatAnAnswerRefutedStaysReleased)
{
    CrashQuarantine other;
    for (const int upstream : { 1, 2, 3 })
        other.recordRequestCrash("r", { std::to_string(upstream), at(upstream), at(upstream + 100) }, at(200));
    const auto suspects = other.shared();
    quarantine.merge(suspects.front(), at(300));
    CHECK(Blocks { "r" } == quarantine.recordAnswered({ "r" }, at(900)).released);
    CHECK(at(900) == quarantine.merge(suspects.front(), at(1000)));
    CHECK(runs({ "r" }, 1001));
}

// Each process may have missed another one of the crashes.
TEST(Quarantine, MergedCrashesOfARequestAddUp)
{
    CrashQuarantine other;
    quarantine.recordRequestCrash("r", { "1", at(1), at(101) }, at(200));
    quarantine.recordRequestCrash("r", { "2", at(2), at(102) }, at(200));
    other.recordRequestCrash("r", { "2", at(2), at(102) }, at(200));
    other.recordRequestCrash("r", { "3", at(3), at(103) }, at(200));
    quarantine.merge(other.shared().front(), at(300));
    CHECK(isRefused({ "r" }, 301));
}

TEST(Quarantine, AnAdoptedRequestIsNotReleasedByAnAnswerBegunBefore)
{
    quarantine.adopt("r", 0, at(100));
    CHECK(quarantine.recordAnswered({ "r" }, at(50)).released.empty());
    CHECK(isRefused({ "r" }, 101));
    CHECK(Blocks { "r" } == quarantine.recordAnswered({ "r" }, at(700)).released);
}
