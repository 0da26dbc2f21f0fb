#include "VersionBoundSupport.h"

using namespace hyssopwick;

/// A call waits at an engine that the entry VM takes to hold other weights than it does.
TEST_GROUP_BASE(OldWeightsBelief, VersionBoundGroup) {
    void moveOnNews() {
        services.onBeginLimits([this] {
            if (flow)
                flow->armBeginTimer();
        });
}

// Reports an engine with the weights of a version. \param startedAt  0 if the report does not tell it
void report(std::uint64_t version, UnixMilliseconds startedAt = 0)
{
    EngineUpdate update;
    update.engineAddress = older.address();
    update.report.loadedVersions["m"] = version;
    update.report.startedAt = startedAt;
    services.recordEngineUpdate(update);
}

// Sends a call to an engine with version 1 that is reported to hold version 2, which is past its bound.
void sendToReportedEngine()
{
    moveOnNews();
    addEngine("i-1", older, 1);
    report(2);
    services.addVersion({ "m", 2 }, monotonicNow() - context.description.versionBound);
    services.refresh();
    send();
    while (older.requests().empty() && !exchange->hasEnded)
        loop.run_one();
    newer.answer(streamWithOneEvent);
    addEngine("i-2", newer, 2);
}

void checkMoved()
{
    runUntil([this] { return exchange->hasEnded; });
    LONGS_EQUAL(200, exchange->status);
    LONGS_EQUAL(1, newer.requests().size());
}
}
;

TEST(OldWeightsBelief, AWaitingCallIsMovedWhenItsEngineReportsOlderWeightsThanBefore)
{
    sendToReportedEngine();
    report(1);
    checkMoved();
}

TEST(OldWeightsBelief, AWaitingCallIsMovedWhenTheReportOfItsEngineHasExpired)
{
    sendToReportedEngine();
    // As maintenance does.
    runUntil([this] {
        flow->reconsider();
        return exchange->hasEnded;
    });
    checkMoved();
}

TEST(OldWeightsBelief, TheReportOfAnEngineBeforeItsRestartSaysNothingOfItsWeights)
{
    addEngine("i-1", older, 1);
    report(2, 1000);
    auto restarted = *services.upstream("i-1");
    restarted.startedAt = 2000;
    services.setUpstream(restarted);
    LONGS_EQUAL(1, services.loadedVersion(*services.upstream("i-1")));
}

TEST(OldWeightsBelief, AWaitingCallIsMovedWhenAVersionTurnsOutToBePublishedEarlier)
{
    moveOnNews();
    addEngine("i-1", older, 1);
    send();
    while (older.requests().empty() && !exchange->hasEnded)
        loop.run_one();
    newer.answer(streamWithOneEvent);
    addEngine("i-2", newer, 2);
    services.addVersion({ "m", 2 }, monotonicNow());
    const auto learntAt = monotonicNow();
    services.addVersion({ "m", 2 }, learntAt - context.description.versionBound);
    checkMoved();
    CHECK(since(learntAt) < Milliseconds(2000));
}

// A call that reached an engine that has started again, before the entry knew of that, is taken back at its report.
TEST(OldWeightsBelief, AWaitingCallIsMovedWhenARestartedEngineReportsOlderWeightsThanItsRegistration)
{
    moveOnNews();
    addEngine("i-1", older, 2);
    auto registered = *services.upstream("i-1");
    registered.startedAt = 1000;
    services.setUpstream(registered);
    services.addVersion({ "m", 2 }, monotonicNow() - context.description.versionBound);
    services.refresh();
    send();
    while (older.requests().empty() && !exchange->hasEnded)
        loop.run_one();
    newer.answer(streamWithOneEvent);
    addEngine("i-2", newer, 2);
    report(1, 2000);
    const auto reportedAt = monotonicNow();
    runUntil([this] { return exchange->hasEnded; });
    LONGS_EQUAL(200, exchange->status);
    CHECK(since(reportedAt) < Milliseconds(2000));
}

TEST(OldWeightsBelief, CallsThatAreTakenBackAndThatBeginAfterTheirLimitAreCounted)
{
    sendToReportedEngine();
    report(1);
    checkMoved();
    LONGS_EQUAL(1, metrics.counter("calls_taken_back_total"));
    LONGS_EQUAL(0, metrics.counter("calls_begun_late_total"));
    addEngine("i-2", newer, 1);
    newer.answer(streamWithOneEvent);
    BeginLimit limit(services);
    limit.begin(*services.upstream("i-2"));
    limit.recordAnswerBegin("r1");
    LONGS_EQUAL(1, metrics.counter("calls_begun_late_total"));
}
