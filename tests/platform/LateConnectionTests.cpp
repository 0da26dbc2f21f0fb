#include "VersionBoundSupport.h"

using namespace hyssopwick;

/// What a call was sent for has changed when its connection stands, since connecting took long or the process was late.
TEST_GROUP_BASE(LateConnection, VersionBoundGroup)
{
    // Sends a call to the engine i-1, whose weights may be used for a while, until it is connecting.
    void connectToOldWeights(Milliseconds timeToLimit = defaultTimeToLimit)
    {
        addEngine("i-1", older, 1);
        services.addVersion({ "m", 2 }, monotonicNow() - services.oldWeightsGracePeriod() + timeToLimit);
        services.refresh();
        send();
        runUntil([this] { return metrics.counter("calls_sent_to_older_weights_total") > 0; });
    }

    // Ends the call at another engine, and lets bytes arrive that were sent to the first.
    void checkSentOnlyElsewhere()
    {
        newer.answer(streamWithOneEvent);
        addEngine("i-2", newer, 2);
        runUntil([this] { return exchange->hasEnded; });
        LONGS_EQUAL(200, exchange->status);
        checkNothingReceived();
    }

    void checkNothingReceived()
    {
        for (const auto until = monotonicNow() + Milliseconds(100); monotonicNow() < until;)
            loop.run_one_for(Milliseconds(5));
        LONGS_EQUAL(0, older.requests().size());
    }

    static constexpr Milliseconds defaultTimeToLimit { 300 };
};

// Guards against a late process that handles the connection before the expired timer of the limit.
TEST(LateConnection, ACallIsNotWrittenToOldWeightsAfterTheirLimit)
{
    connectToOldWeights();
    suspend(defaultTimeToLimit * 2);
    checkSentOnlyElsewhere();
}

TEST(LateConnection, ACallIsNotWrittenToAnUpstreamThatLeaves)
{
    connectToOldWeights();
    services.recordLeaving("i-1");
    checkSentOnlyElsewhere();
}

TEST(LateConnection, ACallIsNotWrittenToAnUpstreamThatWantsNoCalls)
{
    connectToOldWeights();
    AnswerDescription refusal;
    refusal.isNotRun = true;
    refusal.retryAfter = Milliseconds(5000);
    services.recordAnswerHead("i-1", statusUnavailable, refusal, monotonicNow());
    checkSentOnlyElsewhere();
}

// Its caller waits no longer, and may have sent it again.
TEST(LateConnection, ACallIsNotWrittenAfterItsDeadline)
{
    callerTimeout = "400";
    connectToOldWeights(Milliseconds(5000));
    suspend(Milliseconds(500));
    runUntil([this] { return exchange->hasEnded; });
    LONGS_EQUAL(503, exchange->status);
    LONGS_EQUAL(1, metrics.counter("calls_withheld_total", "deadline"));
    checkNothingReceived();
}

// An upstream that got nothing because of this process has not failed.
TEST(LateConnection, AWithheldCallIsNoFailureOfItsUpstream)
{
    connectToOldWeights();
    suspend(defaultTimeToLimit * 2);
    checkSentOnlyElsewhere();
    LONGS_EQUAL(1, metrics.counter("calls_withheld_total", "old-weights"));
    LONGS_EQUAL(0, metrics.counter("attempts_failed_total", "not-sent"));
}

TEST(LateConnection, ACallIsNotWrittenToAnEngineThatCloses)
{
    connectToOldWeights();
    EngineUpdate update;
    update.engineAddress = older.address();
    update.report.loadedVersions["m"] = 1;
    update.availability = EngineAvailability::Draining;
    services.recordEngineUpdate(update);
    checkSentOnlyElsewhere();
}

TEST(LateConnection, AnUpstreamThatACallWasWithheldFromMayServeItLater)
{
    connectToOldWeights();
    suspend(defaultTimeToLimit * 2);
    runUntil([this] { return metrics.counter("calls_withheld_total", "old-weights") > 0; });
    older.answer(streamWithOneEvent);
    addEngine("i-1", older, 2);
    runUntil([this] { return exchange->hasEnded; });
    LONGS_EQUAL(200, exchange->status);
}
