#include "VersionBoundSupport.h"

using namespace hyssopwick;

/// From when a process counts the bound of a version that it learns of late.
TEST_GROUP_BASE(VersionDating, VersionBoundGroup)
{
    ScriptedUpstream store { loop };
    ScriptedUpstream source { loop };

    // Lets a process that follows the store learn of version 2 from it, and returns a time before its publication.
    // \param beforeVersion  what the store does in place of an answer before that, by watch
    TimePoint learnFromStore(ViewProcess & process, const std::vector<std::string>& beforeVersion, Milliseconds suspension)
    {
        store.answer(storeAnswer("items", 7, false));
        for (const auto& answer : beforeVersion)
            store.answer(answer);
        store.answer(storeAnswer("events", 8, true));
        start(process);
        while (store.requests().size() < 2)
            loop.run_one();
        const auto publishedAt = monotonicNow();
        suspend(suspension);
        runUntil([this] { return usableUntil().has_value(); });
        return publishedAt;
    }

    // Checks that a version counts from its publication when the process is suspended while each of two watches waits.
    void checkDateAfterTwoSuspensions(Milliseconds suspension)
    {
        addEngine("i-1", older, 1);
        ViewProcess reader(loop, "reader", store.address(), true);
        store.answer(storeAnswer("items", 7, false));
        start(reader);
        while (store.requests().size() < 2)
            loop.run_one();
        const auto publishedAt = monotonicNow();
        suspend(suspension);
        while (store.requests().size() < 3)
            loop.run_one();
        suspend(suspension);
        store.answer(storeAnswer("events", 8, true));
        runUntil([this] { return usableUntil().has_value(); });
        LONGS_EQUAL(0, lateBy(publishedAt));
    }
};

TEST(VersionDating, TheBoundCountsFromThePublicationWhenAChangeOfTheStoreIsReadLate)
{
    addEngine("i-1", older, 1);
    ViewProcess reader(loop, "reader", store.address(), true);
    const auto publishedAt = learnFromStore(reader, {}, Milliseconds(1250));
    LONGS_EQUAL(0, lateBy(publishedAt));
}

TEST(VersionDating, TheBoundCountsFromThePublicationWhenAPeersAnswerIsReadALittleLate)
{
    addEngine("i-1", older, 1);
    ViewProcess follower(loop, "follower", store.address(), false);
    follower.replicator.setEntries({ { "source", source.address(), "north", "north-a", "entry" } });
    source.answer(peerAnswer({ 7, true, {} }));
    source.answer(peerAnswerWithVersion(Milliseconds(0)));
    start(follower);
    while (source.requests().size() < 2)
        loop.run_one();
    const auto publishedAt = monotonicNow();
    suspend(Milliseconds(750));
    runUntil([this] { return usableUntil().has_value(); });
    LONGS_EQUAL(0, lateBy(publishedAt));
}

// Guards against engines that leave the service long before the bound.
TEST(VersionDating, TheTimeForWhichAPeerHeldTheRequestIsNotCounted)
{
    constexpr Milliseconds hold { 400 };
    addEngine("i-1", older, 1);
    ViewProcess follower(loop, "follower", store.address(), false);
    follower.replicator.setEntries({ { "source", source.address(), "north", "north-a", "entry" } });
    source.answer(peerAnswer({ 7, true, {} }));
    source.answer(peerAnswer({ 8, false, { { versionKey, secondVersion, 8, false } } }, { { { "m", 2 }, Milliseconds(0) } }, { Milliseconds(0), Milliseconds(0), hold }));
    start(follower);
    while (source.requests().size() < 2)
        loop.run_one();
    const auto requestedAt = monotonicNow();
    suspend(hold);
    runUntil([this] { return usableUntil().has_value(); });
    constexpr Milliseconds tolerance { 200 };
    CHECK(*usableUntil() > requestedAt + hold + services.oldWeightsGracePeriod() - tolerance);
}

TEST(VersionDating, AProcessTellsForHowLongItHeldARequest)
{
    ViewProcess reader(loop, "reader", store.address(), true);
    store.answer(storeAnswer("items", 7, false));
    start(reader);
    runUntil([&reader] { return reader.replicator.revision() == 7; });
    const auto exchange = reader.requestView(7);
    const auto receivedAt = monotonicNow();
    store.answer(storeAnswer("events", 8, true));
    runUntil([&exchange] { return exchange->hasEnded; });
    const auto held = decodeView(exchange->fields, exchange->body).value().times.held;
    CHECK(held <= since(receivedAt));
    CHECK(held >= since(receivedAt) - Milliseconds(100));
}

// An answer that is read late does not show when the view was current.
TEST(VersionDating, AProcessTellsSinceWhenItsViewIsCertainlyCurrent)
{
    ViewProcess reader(loop, "reader", store.address(), true);
    store.answer(storeAnswer("items", 7, false));
    start(reader);
    while (store.requests().empty())
        loop.run_one();
    const auto answeredAt = monotonicNow();
    suspend(Milliseconds(500));
    runUntil([&reader] { return reader.replicator.revision() == 7; });
    const auto exchange = reader.requestView(0);
    CHECK(decodeView(exchange->fields, exchange->body).value().times.confirmedAge >= since(answeredAt) - Milliseconds(1));
}

TEST(VersionDating, TheBoundCountsFromThePublicationWhenTheStoreRefusesCallsForTheirRate)
{
    const std::string refusal = "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n";
    addEngine("i-1", older, 1);
    ViewProcess reader(loop, "reader", store.address(), true);
    const auto publishedAt = learnFromStore(reader, { refusal, refusal, refusal }, Milliseconds(1200));
    LONGS_EQUAL(0, lateBy(publishedAt));
}

// A watch that is pending while the process is late is no sign of an outage.
TEST(VersionDating, TheBoundCountsFromThePublicationWhenAProcessIsLateTwice)
{
    checkDateAfterTwoSuspensions(Milliseconds(1700));
}

TEST(VersionDating, AnEarlierDateThatAPeerMeasuredReplacesOneAfterAnOutage)
{
    std::string peer = "peer";
    while (rendezvousFirst("store-followers/north", { "reader", peer }) != "reader")
        peer += "-";
    addEngine("i-1", older, 1);
    ViewProcess reader(loop, "reader", store.address(), true);
    reader.replicator.setEntries({ { peer, source.address(), "north", "north-a", "entry" } });
    store.answer(storeAnswer("items", 7, false));
    start(reader);
    runUntil([&reader] { return reader.replicator.revision() == 7; });
    const auto publishedAt = monotonicNow();
    const auto isFailing = [this, publishedAt](Milliseconds time) {
        for (auto* server : { &store, &source }) {
            server->clearAnswers();
            server->answer("", true);
        }
        return since(publishedAt) < time;
    };
    while (isFailing(Milliseconds(4000)))
        loop.run_one_for(Milliseconds(5));
    store.clearAnswers();
    store.answer(storeAnswer("events", 8, true));
    store.answer("", true);
    store.answer("", true);
    runUntil([this] { return usableUntil().has_value(); });
    CHECK(lateBy(publishedAt) > 0);
    source.clearAnswers();
    source.answer(peerAnswer({ 8, false, {} }, { { { "m", 2 }, since(publishedAt) + Milliseconds(5000) } }));
    runUntil([&] { return lateBy(publishedAt) == 0; });
}

// The time limit of a watch is 1.3 s.
TEST(VersionDating, TheBoundCountsFromThePublicationWhenAProcessIsLateTwiceByALittle)
{
    checkDateAfterTwoSuspensions(Milliseconds(1400));
}

// The store may refuse one machine while it serves the others.
TEST(VersionDating, AnAgeThatIsHandedOnIsNotOneAfterAnOutageThatOnlyThisProcessSaw)
{
    addEngine("i-1", older, 1);
    ViewProcess reader(loop, "reader", store.address(), true);
    store.answer(storeAnswer("items", 7, false));
    for (int i = 0; i < 7; ++i)
        store.answer("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    store.answer(storeAnswer("events", 8, true));
    start(reader);
    while (store.requests().size() < 2)
        loop.run_one();
    const auto publishedAt = monotonicNow();
    runUntil([this] { return usableUntil().has_value(); });
    const auto exchange = reader.requestView(0);
    const auto ages = decodeView(exchange->fields, exchange->body).value().versionAges;
    const auto found = ages.find({ "m", 2 });
    CHECK(found == ages.end() || found->second >= since(publishedAt) - Milliseconds(1));
}

// A source that dated a version after an outage and then learnt a measured date corrects itself and its followers.
TEST(VersionDating, AFollowerTakesOverTheEarlierDateOfASourceThatCorrectsItself)
{
    addEngine("i-1", older, 1);
    ViewProcess follower(loop, "follower", store.address(), false);
    follower.replicator.setEntries({ { "source", source.address(), "north", "north-a", "entry" } });
    source.answer(peerAnswer({ 7, true, {} }));
    source.answer(peerAnswer({ 8, false, { { versionKey, secondVersion, 8, false } } }, {}, {}, { { { "m", 2 }, Milliseconds(0) } }));
    const auto learntAt = monotonicNow();
    source.answer(peerAnswer({ 8, false, {} }, { { { "m", 2 }, Milliseconds(4000) } }));
    start(follower);
    runUntil([this] { return usableUntil().has_value() && source.requests().size() >= 4; });
    CHECK(*usableUntil() < learntAt + services.oldWeightsGracePeriod() - Milliseconds(3000));
}

TEST(VersionDating, APeerThatStatesATooLongHoldDoesNotExtendTheBound)
{
    addEngine("i-1", older, 1);
    ViewProcess follower(loop, "follower", store.address(), false);
    follower.replicator.setEntries({ { "source", source.address(), "north", "north-a", "entry" } });
    source.answer(peerAnswer({ 7, true, {} }));
    source.answer(peerAnswer({ 8, false, { { versionKey, secondVersion, 8, false } } }, { { { "m", 2 }, Milliseconds(0) } }, { Milliseconds(0), Milliseconds(0), Milliseconds(60000) }));
    start(follower);
    runUntil([this] { return usableUntil().has_value(); });
    CHECK(*usableUntil() <= monotonicNow() + services.oldWeightsGracePeriod());
}

// A peer that has no date of its own for a version tells since when its view is confirmed.
TEST(VersionDating, AVersionWithoutAnAgeDatesFromTheConfirmedViewOfThePeer)
{
    addEngine("i-1", older, 1);
    ViewProcess follower(loop, "follower", store.address(), false);
    follower.replicator.setEntries({ { "source", source.address(), "north", "north-a", "entry" } });
    source.answer(peerAnswer({ 7, true, {} }, {}, { Milliseconds(0), Milliseconds(700), Milliseconds(0) }));
    source.answer(peerAnswer({ 8, false, { { versionKey, secondVersion, 8, false } } }));
    const auto confirmedAt = monotonicNow() - Milliseconds(700);
    start(follower);
    runUntil([this] { return usableUntil().has_value(); });
    constexpr Milliseconds tolerance { 200 };
    CHECK(*usableUntil() < confirmedAt + services.oldWeightsGracePeriod() + tolerance);
}

TEST(VersionDating, TheAgesOfABuildThatReadsLateAreEstimates)
{
    const VersionAges ages { { { "m", 2 }, Milliseconds(100) } };
    const auto encoded = encodeView({ 7, true, {} });
    auto fields = encoded.fields({ Milliseconds(25) }, ages);
    CHECK(decodeView(fields, encoded.body).value().versionAges == ages);
    fields.erase(std::remove_if(fields.begin(), fields.end(), [](const auto& field) { return field.first == "View-Held-Ms" || field.first == "View-Confirmed-Ms"; }), fields.end());
    const auto received = decodeView(fields, encoded.body).value();
    CHECK(received.versionAges.empty());
    CHECK(received.estimatedAges == ages);
    LONGS_EQUAL(25, received.times.confirmedAge.count());
}
