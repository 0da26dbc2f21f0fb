#include "../TestSupport.h"
#include "CallFlowSupport.h"

#include <PlatformAdapter.h>
#include <hyssopwick_gateway.h>
#include <unistd.h>

using namespace hyssopwick;

TEST_GROUP_BASE(CallFlow, CallFlowGroup) {};

TEST(CallFlow, AnAtMostOnceCallIsNotRetriedAfterALostAnswer)
{
    route(CallKind::AtMostOnce, 2, false);
    answerBoth("", true);
    send();
    finish();
    LONGS_EQUAL(502, exchange->status);
    LONGS_EQUAL(1, requestCount());
}

TEST(CallFlow, ACallThatAnUpstreamDidNotExecuteGoesToAnother)
{
    route(CallKind::AtMostOnce, 2, false);
    answerBoth(notExecuted);
    answerBoth(okHead + "Content-Length: 2\r\n\r\nok");
    send();
    finish();
    // The other upstream refuses as well, and the route allows two upstreams.
    LONGS_EQUAL(503, exchange->status);
    LONGS_EQUAL(2, requestCount());
    LONGS_EQUAL(1, first.requests().size());
}

// Regression (caroni trouble-3 --seed 960389088379, LOST): a call accepted 6 s after SIGTERM
// was aborted when the stop timeout expired.
TEST(CallFlow, AStoppingEntryRefusesCallsThatItCouldNotFinish)
{
    route(CallKind::AtMostOnce, 2, false);
    configuration.routes.front().latencyObjective = Milliseconds(150);
    configuration.version = 2;
    services.setConfiguration(configuration);
    answerBoth(okHead + "Content-Length: 2\r\n\r\nok");
    services.setStopBy(monotonicNow() + Milliseconds(1000));
    send();
    finish();
    LONGS_EQUAL(503, exchange->status);
    LONGS_EQUAL(0, requestCount());
    services.setStopBy(monotonicNow() + Milliseconds(5000));
    send();
    finish();
    LONGS_EQUAL(200, exchange->status);
}

// Guards against a call that is passed on late in a planned stop and has no answer when the process ends.
TEST(CallFlow, AStoppingEntryRefusesACallThatMayRunOnlyOnceAndOutlastIt)
{
    route(CallKind::AtMostOnce, 2, false);
    configuration.routes.front().latencyObjective = Milliseconds(100);
    configuration.version = 2;
    services.setConfiguration(configuration);
    services.setStopBy(monotonicNow() + Milliseconds(1400)); // the caller waits for 1500 ms
    send();
    for (const auto until = monotonicNow() + Milliseconds(300); !exchange->hasEnded && monotonicNow() < until;)
        loop.run_one_for(Milliseconds(5));
    LONGS_EQUAL(0, requestCount());
    LONGS_EQUAL(503, exchange->status);
}

// Guards against a call that is sent late in a stop, which began while it waited for an engine (issue 49).
TEST(CallFlow, ACallThatWaitsWhenAStopBeginsIsRefusedIfItMayOutlastIt)
{
    configuration.services["plain"].engine = EngineSpeed();
    route(CallKind::Stream, 2, true);
    send();
    services.setStopBy(monotonicNow() + Milliseconds(2000)); // the caller waits for 1500 ms
    flow->reconsider();
    CHECK_FALSE(exchange->hasEnded);
    services.setStopBy(monotonicNow() + Milliseconds(1000));
    flow->reconsider();
    CHECK(exchange->hasEnded);
    LONGS_EQUAL(503, exchange->status);
    LONGS_EQUAL(0, requestCount());
}

// Regression (kalupahana mix --seed 558576159074, LOST): a stream accepted 4.1 s after
// SIGTERM needed 3.4 s on a slow engine and was aborted.
TEST(CallFlow, AStoppingEntryLeavesTimeForASlowEngine)
{
    EngineSpeed speed;
    speed.typicalAnswerTokens = 94;
    configuration.services["plain"].engine = speed;
    route(CallKind::Stream, 1, true);
    tokenCounts = "0,94";
    services.setStopBy(monotonicNow() + Milliseconds(1400)); // the caller waits for 1500 ms
    send();
    CHECK(exchange->hasEnded);
    LONGS_EQUAL(503, exchange->status);
    LONGS_EQUAL(0, requestCount());
}

TEST(CallFlow, AnIdempotentCallIsRetriedAfterALostAnswer)
{
    route(CallKind::Idempotent, 2, false);
    first.answer("", true);
    first.answer(okHead + "Content-Length: 2\r\n\r\nok");
    second.answer(okHead + "Content-Length: 2\r\n\r\nok");
    send();
    finish();
    LONGS_EQUAL(200, exchange->status);
    STRCMP_EQUAL("ok", exchange->body.c_str());
}

TEST(CallFlow, ARefusalWithoutNotExecutedIsNeitherRetriedNorReportedAsNotExecuted)
{
    route(CallKind::AtMostOnce, 2, false);
    answerBoth("HTTP/1.1 503 Service Unavailable\r\nServer-Seal: s1\r\nContent-Length: 0\r\n\r\n");
    send();
    finish();
    LONGS_EQUAL(502, exchange->status);
    LONGS_EQUAL(0, exchange->fields.size());
    LONGS_EQUAL(1, requestCount());
}

TEST(CallFlow, AnAnswerToAnotherRequestIsNotDelivered)
{
    route(CallKind::AtMostOnce, 1, false);
    answerBoth("HTTP/1.1 200 OK\r\nRequest-Id: r2\r\nServer-Seal: s2\r\nContent-Length: 5\r\n\r\nwrong");
    send();
    finish();
    LONGS_EQUAL(502, exchange->status);
}

TEST(CallFlow, ASuccessWithoutAServerSealIsNotDelivered)
{
    route(CallKind::AtMostOnce, 1, false);
    answerBoth("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 2\r\n\r\nok");
    send();
    finish();
    LONGS_EQUAL(502, exchange->status);
}

TEST(CallFlow, ATruncatedAnswerIsNotDelivered)
{
    route(CallKind::AtMostOnce, 1, false);
    answerBoth(okHead + "Content-Length: 20\r\n\r\nonly a part", true);
    send();
    finish();
    LONGS_EQUAL(502, exchange->status);
}

TEST(CallFlow, ABodyWithoutLengthThatEndsInAResetIsNotComplete)
{
    route(CallKind::AtMostOnce, 1, false);
    answerBoth(okHead + "\r\nonly a part", true);
    send();
    finish();
    LONGS_EQUAL(502, exchange->status);
}

TEST(CallFlow, TheRequestArrivesUnchangedWithTheSystemsOwnHeaders)
{
    route(CallKind::AtMostOnce, 1, false);
    answerBoth(okHead + "Content-Length: 2\r\n\r\nok");
    send();
    finish();
    const auto& request = first.requests().empty() ? second.requests()[0] : first.requests()[0];
    CHECK(request.find("POST /x/book?b=2&a=1&a=3 HTTP/1.1\r\n") == 0);
    CHECK(request.find("Tenant: carrier\r\n") != std::string::npos);
    CHECK(request.find("forged") == std::string::npos);
    CHECK(request.find("secret-key") == std::string::npos);
    CHECK(request.find("X-Hop") == std::string::npos);
    CHECK(request.find("X-Kept: 1\r\n") != std::string::npos);
    CHECK(request.find("Request-Id: r1\r\n") != std::string::npos);
    CHECK(request.find("Expect-Instance: i-") != std::string::npos);
    CHECK(request.substr(request.size() - 8) == "\r\n\r\nbody");
    const auto deadline = std::stoul(request.substr(request.find("Deadline-Ms: ") + 13));
    CHECK(deadline <= 1500);
}

TEST(CallFlow, AnUnknownKeyIsUnauthorizedAndAMissingConfigurationIsUnavailable)
{
    send();
    finish();
    LONGS_EQUAL(503, exchange->status);
    route(CallKind::AtMostOnce, 1, false);
    send("other-key");
    finish();
    LONGS_EQUAL(401, exchange->status);
    LONGS_EQUAL(0, requestCount());
}

TEST(CallFlow, ABrokenStreamIsResumedAfterTheLastCompleteEvent)
{
    route(CallKind::Stream, 2, true);
    const auto partial = okHead + "Transfer-Encoding: chunked\r\n\r\n" + chunk("id: 1\ndata: a\n\n") + chunk("id: 2\ndata: b\n\nid: 3\nda");
    const auto rest = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Seal: s2\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("id: 3\ndata: c\n\n") + "0\r\n\r\n";
    answerBoth(partial, false);
    send();
    while (requestCount() < 1)
        loop.run_one();
    // The upstream that was not asked first answers with the rest.
    for (auto* upstream : { &first, &second }) {
        if (upstream->requests().empty()) {
            ScriptedUpstream& other = *upstream;
            other.answer(rest);
        }
    }
    finish();
    CHECK(exchange->isStream);
    LONGS_EQUAL(2, requestCount());
    const auto& events = exchange->body;
    CHECK(events.find("id: 1\ndata: a\n\nid: 2\ndata: b\n\n") == 0);
    CHECK(events.find("id: 3\nda") == std::string::npos || exchange->isFinished);
    STRCMP_EQUAL("s1", std::string(headerValue(exchange->fields, "Server-Seal")).c_str());
    bool isResumedAtTwo = false;
    for (const auto* upstream : { &first, &second }) {
        for (const auto& request : upstream->requests())
            isResumedAtTwo = isResumedAtTwo || request.find("Last-Event-Id: 2\r\n") != std::string::npos;
    }
    CHECK(isResumedAtTwo);
}

TEST(CallFlow, AStreamThatIsNotResumableIsAbortedNotFinished)
{
    route(CallKind::Stream, 2, false);
    answerBoth(okHead + "Transfer-Encoding: chunked\r\n\r\n" + chunk("id: 1\ndata: a\n\n"), true);
    send();
    finish();
    CHECK(exchange->isAborted);
    CHECK_FALSE(exchange->isFinished);
    LONGS_EQUAL(1, requestCount());
}

// Regression: a call that had been moved and found no engine was answered twice.
TEST(CallFlow, ACallWithAPartialAnswerIsAbortedInsteadOfAnswered)
{
    route(CallKind::Stream, 2, true);
    answerBoth(okHead + "Transfer-Encoding: chunked\r\n\r\n" + chunk("id: 1\ndata: a\n\n"), true);
    send();
    while (exchange->body.empty())
        loop.run_one();
    flow->refuseUnservable(Milliseconds(100));
    CHECK(exchange->isAborted);
}

// Callers retry at any entry VM, so a request that crashes every upstream must be refused.
TEST(CallFlow, ARequestIsRefusedAfterItsThirdCrash)
{
    route(CallKind::AtMostOnce, 1, false);
    std::vector<CrashObservation> observations;
    services.crashes().onObservation([&](const PeerMessage& message) { observations.push_back(std::get<CrashObservation>(message)); });
    for (int crash = 1; crash <= 3; ++crash) {
        answerBoth("", true);
        send();
        finish();
        services.crashes().recordUpstreamDown(first.address());
        services.crashes().recordUpstreamDown(second.address());
        LONGS_EQUAL(crash, observations.size());
    }
    const auto before = requestCount();
    send();
    finish();
    LONGS_EQUAL(before, requestCount());
    LONGS_EQUAL(503, exchange->status); // not run; a recheck may find it harmless soon
    CHECK(std::stod(std::string(headerValue(exchange->fields, "Retry-After"))) > 0);
}

TEST(CallFlow, ALostAnswerOfALiveUpstreamIsNoCrash)
{
    route(CallKind::AtMostOnce, 1, false);
    int observations = 0;
    services.crashes().onObservation([&](const PeerMessage&) { ++observations; });
    answerBoth("", true);
    send();
    finish();
    answerBoth(okHead + "Content-Length: 2\r\n\r\nok");
    send();
    finish();
    LONGS_EQUAL(0, observations);
}

// Regression: publishing version 3 postponed the bound of version 2 for engines on version 1.
TEST(CallFlow, ALaterVersionDoesNotPostponeTheBoundOfAnEarlierOne)
{
    // Calls may start on old weights for 50 ms.
    context.description.versionBound += Milliseconds(50) - services.oldWeightsGracePeriod();
    configuration.services["plain"].engine = EngineSpeed {};
    route(CallKind::Stream, 1, false);
    Upstream engine;
    engine.id = "i-9";
    engine.service = "plain";
    engine.address = first.address();
    engine.loadedVersions["m"] = 1;
    services.setUpstream(engine);
    services.addVersion({ "m", 2 }, monotonicNow());
    services.refresh();
    LONGS_EQUAL(1, services.enginePool("plain")->size());
    usleep(60000);
    services.addVersion({ "m", 3 }, monotonicNow());
    services.refresh();
    LONGS_EQUAL(0, services.enginePool("plain")->size());
}

// Regression: a restarted entry VM counted the bound of a published version from its own start.
TEST(CallFlow, AVersionThatAnEntryFindsAtItsStartHasReachedItsBound)
{
    configuration.services["plain"].engine = EngineSpeed {};
    const ViewSourceDecision atStart({ "entry", "127.0.0.1:1", "north", "north-a", "entry" }, true);
    services.addVersion({ "m", 2 }, atStart.earliestChangeTime(monotonicNow()));
    Upstream engine;
    engine.id = "i-9";
    engine.service = "plain";
    engine.address = first.address();
    engine.loadedVersions["m"] = 1;
    services.setUpstream(engine);
    route(CallKind::Stream, 1, false);
    LONGS_EQUAL(0, services.enginePool("plain")->size());
}

TEST(CallFlow, AnUpstreamIsDisconnectedWhenTheCallerDisconnects)
{
    route(CallKind::AtMostOnce, 1, false);
    send();
    while (requestCount() == 0)
        loop.run_one();
    exchange->disconnectCaller();
    while (first.m_disconnects + second.m_disconnects == 0)
        loop.run_one();
    LONGS_EQUAL(1, first.m_disconnects + second.m_disconnects);
}

// Guards against upstreams that work on after their callers' time if the end of the connection reaches them late.
TEST(CallFlow, AnUpstreamIsGivenNoMoreTimeThanIsLeftWhenTheCallArrives)
{
    route(CallKind::Idempotent, 1, false);
    const auto callerDeadline = monotonicNow() + Milliseconds(1500);
    send();
    usleep(50'000); // the connection is established meanwhile
    while (requestCount() == 0)
        loop.run_one();
    const auto& request = first.requests().empty() ? second.requests()[0] : first.requests()[0];
    const Milliseconds given(std::stol(request.substr(request.find("Deadline-Ms: ") + 13)));
    CHECK_COMPARE(millisecondsBetween(callerDeadline, monotonicNow() + given), <=, 0);
    CHECK_COMPARE(given.count(), >=, 1000);
}

// Guards against a stale refusal that is taken for the answer to a call that runs.
TEST(CallFlow, ARefusalOfAnotherCallDoesNotSayThatThisOneHasNotRun)
{
    route(CallKind::AtMostOnce, 2, false);
    answerBoth("HTTP/1.1 503 Service Unavailable\r\nRequest-Id: r0\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    send();
    finish();
    LONGS_EQUAL(502, exchange->status);
    LONGS_EQUAL(1, requestCount());
}

TEST(CallFlow, ARefusalThatIsWrittenTwiceDoesNotReachTheNextCall)
{
    route(CallKind::AtMostOnce, 1, false);
    answerBoth(notExecuted + notExecuted);
    send();
    finish();
    LONGS_EQUAL(503, exchange->status);
    first.clearAnswers();
    second.clearAnswers();
    answerBoth(okHead + "Content-Length: 2\r\n\r\nok");
    send();
    finish();
    LONGS_EQUAL(200, exchange->status);
    LONGS_EQUAL(2, requestCount());
}

TEST(CallFlow, ACallWithoutAnAnswerTimesOutAfterTheAnswerTimeout)
{
    route(CallKind::AtMostOnce, 1, false);
    send();
    finish();
    LONGS_EQUAL(504, exchange->status);
}

TEST_GROUP(HttpExchange) {};

// Regression: an expired connect timer ended an exchange whose request had been sent.
TEST(HttpExchange, AnExchangeThatEndsAsNotSentHasSentNothing)
{
    for (int round = 0; round < 200; ++round) {
        EventLoop loop(1);
        ScriptedUpstream upstream(loop);
        upstream.answer("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        bool hasEnded = false;
        ExchangeEnd end = ExchangeEnd::Complete;
        ExchangeHandlers handlers;
        handlers.onEnd = [&](ExchangeEnd ended) {
            end = ended;
            hasEnded = true;
        };
        const auto now = monotonicNow();
        const auto exchange = HttpExchange::start(loop, upstream.address(), { "POST", "/", {}, "body" }, now, now + std::chrono::seconds(5), handlers);
        // The connection and the timer are both ready when the loop first polls.
        usleep(200);
        while (!hasEnded)
            loop.run_one();
        loop.poll();
        if (end == ExchangeEnd::NotSent) {
            CHECK_FALSE(exchange->isSent());
            LONGS_EQUAL(0, upstream.requests().size());
        }
    }
}

// Entries that do not hear each other would exceed the common budget together.
TEST(CallFlow, AnEntryThatHearsNoOtherKeepsItsShareOfTheRetryBudget)
{
    context.description.retrySlack = 180;
    context.description.retryRatio = 0.2;
    EntryServices entry { context };
    const auto retries = [&entry] {
        unsigned count = 0;
        while (entry.budget().tryTake())
            ++count;
        return count;
    };
    const std::vector<std::string> known { "entry-1", "entry-2", "entry-3", "entry-4", "entry-5", "entry-6", "entry-7", "entry-8", "entry-9", context.description.node };
    entry.setEntries({}, known);
    const auto atFirst = retries();
    CHECK_COMPARE(atFirst, <=, 18u);
    for (int call = 0; call < 10'000; ++call)
        entry.budget().recordFirstAttempt();
    const auto later = retries();
    CHECK_COMPARE(later, <=, 18u);
}
