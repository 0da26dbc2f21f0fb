#include "VersionBoundSupport.h"

using namespace hyssopwick;

TEST_GROUP_BASE(VersionBound, VersionBoundGroup) {};

TEST(VersionBound, AWaitingCallIsMovedFromOldWeightsBeforeTheBound)
{
    context.description.versionBound = Milliseconds(2500);
    addEngine("i-1", older, 1);
    services.addVersion({ "m", 2 }, monotonicNow());
    send();
    while (older.requests().empty() && !exchange->hasEnded)
        loop.run_one();
    newer.answer(streamWithOneEvent);
    addEngine("i-2", newer, 2);
    while (!exchange->hasEnded)
        loop.run_one();
    LONGS_EQUAL(200, exchange->status);
    LONGS_EQUAL(1, older.m_disconnects);
    LONGS_EQUAL(1, newer.requests().size());
}

TEST(VersionBound, AWaitingCallIsMovedForAVersionPublishedLater)
{
    context.description.versionBound = Milliseconds(2500);
    addEngine("i-1", older, 1);
    send();
    while (older.requests().empty() && !exchange->hasEnded)
        loop.run_one();
    services.addVersion({ "m", 2 }, monotonicNow());
    flow->armBeginTimer();
    newer.answer(streamWithOneEvent);
    addEngine("i-2", newer, 2);
    while (!exchange->hasEnded)
        loop.run_one();
    LONGS_EQUAL(200, exchange->status);
    LONGS_EQUAL(1, older.m_disconnects);
}

// Guards against a restart of all processes that takes all engines with older weights out of service.
TEST(VersionBound, AStartedProcessMayUseOldWeightsUntilTheBoundsHoldForIt)
{
    context.description.contactBound = Milliseconds(4000);
    addEngine("i-1", older, 1);
    services.addVersion({ "m", 2 }, monotonicNow() - std::chrono::hours(1));
    services.refresh();
    LONGS_EQUAL(1, services.enginePool("models")->size());
    const auto left = millisecondsBetween(monotonicNow(), *usableUntil());
    CHECK_COMPARE(left, <=, 3500);
    CHECK_COMPARE(left, >, 2500);
    // What is published after the start has its own bound.
    services.addVersion({ "m", 3 }, monotonicNow());
    CHECK_COMPARE(millisecondsBetween(monotonicNow(), *usableUntil()), <=, 3500);
}

TEST(VersionBound, TheBoundOfAVersionLearntLateStartsAtItsEarliestPublication)
{
    addEngine("i-1", older, 1);
    services.addVersion({ "m", 2 }, monotonicNow() - context.description.versionBound);
    services.refresh();
    LONGS_EQUAL(0, services.enginePool("models")->size());
}

// The caller leaves before a bound counted from the send of its call ends, as on the users'
// sites; the bound counts from the publication of the version.
TEST(VersionBound, AWaitingCallIsMovedWhenAVersionIsLearntLate)
{
    context.description.versionBound = Milliseconds(60000);
    services.onBeginLimits([this] { flow->armBeginTimer(); });
    addEngine("i-1", older, 1);
    send();
    while (older.requests().empty() && !exchange->hasEnded)
        loop.run_one();
    newer.answer(streamWithOneEvent);
    addEngine("i-2", newer, 2);
    services.removeUpstream("i-1", RegistrationEnd::Unreadable);
    services.addVersion({ "m", 2 }, monotonicNow() - context.description.versionBound);
    while (!exchange->hasEnded)
        loop.run_one();
    LONGS_EQUAL(200, exchange->status);
    LONGS_EQUAL(1, older.m_disconnects);
}

TEST(VersionBound, AWaitingCallIsMovedFromAnEngineThatLoadsWhenAVersionIsLearntLate)
{
    context.description.versionBound = Milliseconds(60000);
    services.onBeginLimits([this] { flow->armBeginTimer(); });
    addEngine("i-1", older, 1);
    send();
    while (older.requests().empty() && !exchange->hasEnded)
        loop.run_one();
    newer.answer(streamWithOneEvent);
    addEngine("i-2", newer, 2);
    EngineUpdate update;
    update.engineAddress = older.address();
    update.availability = EngineAvailability::Draining;
    services.recordEngineUpdate(update);
    services.addVersion({ "m", 2 }, monotonicNow() - context.description.versionBound);
    while (!exchange->hasEnded)
        loop.run_one();
    LONGS_EQUAL(200, exchange->status);
    LONGS_EQUAL(1, older.m_disconnects);
}

// The head of a stream's answer may arrive before the call begins.
TEST(VersionBound, AWaitingCallIsMovedAfterTheHeadOfItsStream)
{
    SlowEngine slow(loop);
    bool hasHead = false;
    services.onBeginLimits([this] { flow->armBeginTimer(); });
    services.onLeaving([&hasHead](const LeavingObservation&) { hasHead = true; });
    addEngine("i-1", slow, 1);
    send();
    runUntil([&slow] { return slow.isReceiving(); });
    slow.send("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Seal: s1\r\nServer-Leaving: 1\r\nTransfer-Encoding: chunked\r\n\r\n");
    runUntil([&hasHead] { return hasHead; });
    newer.answer(streamWithOneEvent);
    addEngine("i-2", newer, 2);
    services.addVersion({ "m", 2 }, monotonicNow() - context.description.versionBound);
    runUntil([this] { return exchange->hasEnded; });
    LONGS_EQUAL(200, exchange->status);
    LONGS_EQUAL(1, newer.requests().size());
}

TEST(VersionBound, ACallThatWouldBeginAfterTheBoundIsNotSent)
{
    addEngine("i-1", older, 1);
    services.addVersion({ "m", 2 }, monotonicNow());
    services.refresh();
    auto& engines = *services.enginePool("models");
    const CallSize longCall { 1e6, 1 };
    CHECK(engines.predict("i-1", longCall, monotonicNow()).firstEventMilliseconds > double(context.description.versionBound.count()));
    CHECK(engines.choose({ 1, 1 }, {}, monotonicNow()).has_value());
    CHECK_FALSE(engines.choose(longCall, {}, monotonicNow()).has_value());
}

TEST(VersionBound, TheBoundOfAVersionLearntFromAPeerCountsTheAgeThatThePeerReports)
{
    addEngine("i-1", older, 1);
    ScriptedUpstream source(loop);
    ScriptedUpstream unusedStore(loop);
    ViewProcess follower(loop, "follower", unusedStore.address(), false);
    follower.replicator.setEntries({ { "source", source.address(), "north", "north-a", "entry" } });
    const auto publishedAt = monotonicNow() - Milliseconds(3000);
    source.answer(peerAnswer({ 7, true, {} }));
    source.answer(peerAnswerWithVersion(Milliseconds(3000)));
    start(follower);
    runUntil([this] { return usableUntil().has_value(); });
    LONGS_EQUAL(0, lateBy(publishedAt));
}

TEST(VersionBound, TheBoundOfAVersionInTheFirstReadOfTheStoreHasPassed)
{
    addEngine("i-1", older, 1);
    ScriptedUpstream store(loop);
    ViewProcess reader(loop, "reader", store.address(), true);
    store.answer(storeAnswer("items", 7, true));
    start(reader);
    runUntil([this] { return usableUntil().has_value(); });
    CHECK(*usableUntil() <= monotonicNow());
}

// Changes are collected for a time before the store is asked again.
TEST(VersionBound, TheBoundCountsFromThePublicationOfAVersionThatIsCollected)
{
    addEngine("i-1", older, 1);
    ScriptedUpstream store(loop);
    ViewProcess reader(loop, "reader", store.address(), true);
    reader.context.description.configurationBound = reader.context.description.drainBound = Milliseconds(10000); // collected for 1 s
    store.answer(storeAnswer("items", 7, false));
    const nlohmann::json change { { "key", "other" }, { "value", base64("{}") }, { "revision", 8 } };
    store.answer(httpAnswer(nlohmann::json { { "at", 8 }, { "events", nlohmann::json::array({ change }) } }.dump()));
    start(reader);
    runUntil([&reader] { return reader.replicator.revision() == 8; });
    const auto publishedAt = monotonicNow();
    store.answer(storeAnswer("events", 9, true));
    runUntil([this] { return usableUntil().has_value(); });
    LONGS_EQUAL(0, lateBy(publishedAt));
}

TEST(VersionBound, AViewIsServedWithTheAgesOfItsVersions)
{
    ScriptedUpstream store(loop);
    ViewProcess reader(loop, "reader", store.address(), true);
    store.answer(storeAnswer("items", 7, false));
    start(reader);
    runUntil([&reader] { return reader.replicator.revision() == 7; });
    const auto publishedAt = monotonicNow();
    suspend(reader.context.description.changeBatchPeriod());
    store.answer(storeAnswer("events", 8, true));
    runUntil([&reader] { return reader.replicator.revision() == 8; });
    const auto minAge = since(publishedAt);
    const auto exchange = reader.requestView(7);
    const auto ages = decodeView(exchange->fields, exchange->body).value().versionAges;
    LONGS_EQUAL(1, ages.count({ "m", 2 }));
    CHECK(ages.at({ "m", 2 }) >= minAge);
}

TEST(VersionBound, TheAgeOfAVersionSurvivesTheReturnOfTheStoreFromAnOlderCopy)
{
    ScriptedUpstream store(loop);
    ViewProcess reader(loop, "reader", store.address(), true);
    store.answer(storeAnswer("items", 7, false, 1));
    store.answer(storeAnswer("events", 8, true, 1));
    start(reader);
    runUntil([&reader] { return reader.replicator.revision() == 8; });
    const auto learntAt = monotonicNow();
    suspend(Milliseconds(500));
    store.answer(storeAnswer("events", 6, false, 2));
    store.answer(storeAnswer("items", 6, true, 2));
    runUntil([&reader] { return reader.replicator.position().era == 2; });
    const auto minAge = since(learntAt);
    const auto exchange = reader.requestView(0);
    const auto ages = decodeView(exchange->fields, exchange->body).value().versionAges;
    LONGS_EQUAL(1, ages.count({ "m", 2 }));
    CHECK(ages.at({ "m", 2 }) >= minAge);
}

TEST(VersionBound, AProcessServesTheAgesOfVersionsThatLaterOnesReplaced)
{
    ScriptedUpstream store(loop);
    ViewProcess reader(loop, "reader", store.address(), true);
    store.answer(storeAnswer("items", 7, false));
    store.answer(storeAnswer("events", 8, true));
    const nlohmann::json change { { "key", versionKey }, { "value", base64(R"({"model":"m","version":3})") }, { "revision", 9 } };
    store.answer(httpAnswer(nlohmann::json { { "at", 9 }, { "events", nlohmann::json::array({ change }) } }.dump()));
    start(reader);
    runUntil([&reader] { return reader.replicator.revision() == 9; });
    const auto exchange = reader.requestView(0);
    const auto ages = decodeView(exchange->fields, exchange->body).value().versionAges;
    LONGS_EQUAL(2, ages.size());
    CHECK(ages.at({ "m", 2 }) >= ages.at({ "m", 3 }));
}

// It cannot know how old the versions are that it finds, and others may.
TEST(VersionBound, AStartedProcessServesNoAgesThatItDidNotMeasure)
{
    ScriptedUpstream store(loop);
    ViewProcess reader(loop, "reader", store.address(), true);
    store.answer(storeAnswer("items", 7, true));
    start(reader);
    runUntil([&reader] { return reader.replicator.revision() == 7; });
    const auto exchange = reader.requestView(0);
    CHECK(decodeView(exchange->fields, exchange->body).value().versionAges.empty());
}

// The answer that tells of a version lies in the socket of a process that is suspended.
TEST(VersionBound, TheBoundCountsFromThePublicationWhenAPeersAnswerIsReadLate)
{
    addEngine("i-1", older, 1);
    ScriptedUpstream source(loop);
    ScriptedUpstream unusedStore(loop);
    ViewProcess follower(loop, "follower", unusedStore.address(), false);
    follower.replicator.setEntries({ { "source", source.address(), "north", "north-a", "entry" } });
    source.answer(peerAnswer({ 7, true, {} }));
    source.answer(peerAnswerWithVersion(Milliseconds(0)));
    start(follower);
    while (source.requests().size() < 2)
        loop.run_one();
    const auto publishedAt = monotonicNow();
    suspend(Milliseconds(1500));
    source.answer(peerAnswerWithVersion(since(publishedAt)));
    runUntil([this] { return usableUntil().has_value(); });
    LONGS_EQUAL(0, lateBy(publishedAt));
}

// An answer without changes lies in the socket of a process that is suspended.
TEST(VersionBound, TheBoundCountsFromThePublicationWhenAnEmptyAnswerOfTheStoreIsReadLate)
{
    addEngine("i-1", older, 1);
    ScriptedUpstream store(loop);
    ViewProcess reader(loop, "reader", store.address(), true);
    store.answer(storeAnswer("items", 7, false));
    store.answer(storeAnswer("events", 7, false));
    start(reader);
    while (store.requests().size() < 2)
        loop.run_one();
    const auto publishedAt = monotonicNow();
    suspend(Milliseconds(2000));
    store.answer(storeAnswer("events", 8, true));
    runUntil([this] { return usableUntil().has_value(); });
    LONGS_EQUAL(0, lateBy(publishedAt));
}

// Peers that are down are no outage of the store, in which the bound does not run.
TEST(VersionBound, TheBoundCountsFromThePublicationWhenTwoPeersAreDown)
{
    addEngine("i-1", older, 1);
    ScriptedUpstream first(loop);
    ScriptedUpstream second(loop);
    ScriptedUpstream store(loop);
    ViewProcess follower(loop, "follower", store.address(), false);
    follower.replicator.setEntries({ { "first", first.address(), "north", "north-a", "entry" }, { "second", second.address(), "north", "north-a", "entry" } });
    for (auto* peer : { &first, &second })
        peer->answer(peerAnswer({ 7, true, {} }));
    start(follower);
    while (first.requests().size() + second.requests().size() < 2)
        loop.run_one();
    const auto publishedAt = monotonicNow();
    first.clearAnswers();
    second.clearAnswers();
    store.answer(storeAnswer("items", 8, true));
    runUntil([this] { return usableUntil().has_value(); });
    LONGS_EQUAL(0, lateBy(publishedAt));
}

// The store holds the latest version only.
TEST(VersionBound, AnEntryThatStartsAfterTwoVersionsKeepsTheBoundOfTheFirst)
{
    addEngine("i-1", older, 1);
    StoreView view;
    view.apply({ 8, true, { { versionKey, secondVersion, 8, false } } });
    view.apply({ 9, false, { { versionKey, R"({"model":"m","version":3})", 9, false } } });
    ScriptedUpstream source(loop);
    ScriptedUpstream unusedStore(loop);
    ViewProcess entry(loop, "entry", unusedStore.address(), false);
    entry.replicator.setEntries({ { "source", source.address(), "north", "north-a", "entry" } });
    const auto firstPublishedAt = monotonicNow() - Milliseconds(3000);
    source.answer(peerAnswer(view.updateSince({}), { { { "m", 2 }, since(firstPublishedAt) }, { { "m", 3 }, Milliseconds(1000) } }));
    start(entry);
    runUntil([this] { return usableUntil().has_value(); });
    LONGS_EQUAL(0, lateBy(firstPublishedAt));
}

TEST(VersionBound, AMovedCallDoesNotReachItsFirstEngineAfterTheBound)
{
    const std::string body(128 * 1024, 'x');
    SlowEngine slow(loop);
    services.onBeginLimits([this] { flow->armBeginTimer(); });
    addEngine("i-1", slow, 1);
    send(body);
    runUntil([&slow] { return slow.isReceiving(); });
    newer.answer(streamWithOneEvent);
    addEngine("i-2", newer, 2);
    services.addVersion({ "m", 2 }, monotonicNow() - context.description.versionBound);
    runUntil([this] { return exchange->hasEnded; });
    LONGS_EQUAL(200, exchange->status);
    slow.receiveAll();
    runUntil([&slow] { return slow.hasEnded(); });
    CHECK(slow.received().size() < body.size());
}

// A lost reset is not sent again, a close is.
TEST(VersionBound, AMovedCallThatItsFirstEngineHasReceivedIsEndedByAClose)
{
    SlowEngine slow(loop);
    services.onBeginLimits([this] { flow->armBeginTimer(); });
    addEngine("i-1", slow, 1);
    send();
    runUntil([&slow] { return slow.isReceiving(); });
    newer.answer(streamWithOneEvent);
    addEngine("i-2", newer, 2);
    services.addVersion({ "m", 2 }, monotonicNow() - context.description.versionBound);
    runUntil([this] { return exchange->hasEnded; });
    slow.receiveAll();
    runUntil([&slow] { return slow.hasEnded(); });
    CHECK_FALSE(slow.isReset());
}
