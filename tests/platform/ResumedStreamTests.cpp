#include "CallFlowSupport.h"
#include "SlowEngine.h"

using namespace hyssopwick;

/// Streams that break off after two events, and what their second upstream answers.
TEST_GROUP_BASE(ResumedStream, CallFlowGroup)
{
    const std::string twoEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    const std::string brokenStream = okHead + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(twoEvents);

    void call(const std::string& secondAnswer)
    {
        route(CallKind::Stream, 2, true);
        answerBoth(brokenStream);
        send();
        while (requestCount() < 1)
            loop.run_one();
        auto& other = first.requests().empty() ? first : second;
        other.clearAnswers();
        other.answer(secondAnswer);
        finish();
    }

    // The caller receives the events of the first upstream only, and its stream is cut.
    void checkCut(const std::string& secondAnswer)
    {
        call(secondAnswer);
        LONGS_EQUAL(2, requestCount());
        STRCMP_EQUAL(twoEvents.c_str(), exchange->body.c_str());
        CHECK(exchange->isAborted);
        CHECK_FALSE(exchange->isFinished);
    }
};

TEST(ResumedStream, AStreamOfEventsContinuesTheAnswer)
{
    call("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Seal: s2\r\nContent-Type: Text/Event-Stream; charset=utf-8\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(": comment\n\n") + chunk("id: 10\ndata: c\n\n") + "0\r\n\r\n");
    STRCMP_EQUAL((twoEvents + ": comment\n\nid: 10\ndata: c\n\n").c_str(), exchange->body.c_str());
    CHECK(exchange->isFinished);
}

TEST(ResumedStream, AnErrorIsNotForwarded)
{
    checkCut("HTTP/1.1 500 Internal Server Error\r\nRequest-Id: r1\r\nServer-Seal: s2\r\nContent-Type: text/plain\r\nContent-Length: 14\r\n\r\nserver error\n\n");
}

TEST(ResumedStream, ARefusalIsNotForwarded)
{
    checkCut("HTTP/1.1 503 Service Unavailable\r\nRequest-Id: r1\r\nNot-Executed: 1\r\nContent-Type: text/plain\r\nContent-Length: 6\r\n\r\nfull\n\n");
}

TEST(ResumedStream, AnErrorWithTheStatusOfASuccessIsNotForwarded)
{
    checkCut("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Seal: s2\r\nContent-Type: text/plain\r\nContent-Length: 14\r\n\r\nserver error\n\n");
}

TEST(ResumedStream, ASuccessWithoutAReceiptIsNotForwarded)
{
    checkCut("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 15\r\n\r\nid: 3\ndata: c\n\n");
}

TEST(ResumedStream, AnEmptySuccessWithoutAReceiptDoesNotEndTheStream)
{
    checkCut("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n");
}

TEST(ResumedStream, ASuccessWithoutContentDoesNotEndTheStream)
{
    checkCut("HTTP/1.1 204 No Content\r\nRequest-Id: r1\r\nServer-Seal: s2\r\n\r\n");
}

TEST(ResumedStream, AnAnswerHeadInTheBodyIsNotForwarded)
{
    checkCut("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\nHTTP/1.1 502 Bad Gateway\r\nContent-Length: 6\r\n\r\nerror\n");
}

TEST(ResumedStream, AnErrorAsAnEventWithoutIdIsNotForwarded)
{
    checkCut("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Seal: s2\r\nContent-Length: 15\r\n\r\nserver error.\n\n");
}

TEST(ResumedStream, EventsThatTheCallerHasAreNotRepeated)
{
    checkCut("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Seal: s2\r\nContent-Length: 30\r\n\r\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
}

TEST(ResumedStream, AnErrorInTheMiddleOfAnEventIsNotForwarded)
{
    route(CallKind::Stream, 2, true);
    answerBoth(okHead + "Transfer-Encoding: chunked\r\n\r\n" + chunk(twoEvents + "id: 3\nda"));
    send();
    while (requestCount() < 2)
        loop.run_one();
    finish();
    CHECK(exchange->isAborted);
    STRCMP_EQUAL(twoEvents.c_str(), exchange->body.c_str());
}

TEST(ResumedStream, AStreamWithoutAReceiptIsNotBegun)
{
    route(CallKind::Stream, 1, true);
    answerBoth("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(twoEvents) + "0\r\n\r\n");
    send();
    finish();
    LONGS_EQUAL(502, exchange->status);
    CHECK_FALSE(exchange->isStream);
}

/// A stream whose first event has been forwarded when its upstream seems to be down.
TEST_GROUP_BASE(SilentUpstream, CallFlowGroup)
{
    SlowEngine engine { loop };

    void begin(unsigned maxUpstreams)
    {
        configure(CallKind::Stream, maxUpstreams, true);
        registerUpstream("i-1", engine.address());
        send();
        while (!engine.isReceiving())
            loop.run_one();
        engine.send(okHead + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("id: 1\ndata: a\n\n"));
        while (exchange->body.empty())
            loop.run_one();
        registerUpstream("i-2", second.address());
        report(false);
        flow->handleUpstreamDown(engine.address());
    }

    // What the agent of the upstream says of it.
    void report(bool isAnswering)
    {
        EngineUpdate update;
        update.engineAddress = engine.address();
        update.isAnswering = isAnswering;
        services.recordEngineUpdate(update);
    }

    void runFor(Milliseconds time)
    {
        for (const auto until = monotonicNow() + time; !exchange->hasEnded && monotonicNow() < until;)
            loop.run_one_for(Milliseconds(5));
    }

    void checkWhole() const
    {
        STRCMP_EQUAL("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", exchange->body.c_str());
        CHECK(exchange->isFinished);
    }
};

// Guards against an answer that is cut because its upstream's agent got no report for a moment (issue 49).
TEST(SilentUpstream, AStreamThatNoOtherUpstreamMayContinueStays)
{
    begin(1);
    runFor(Milliseconds(500));
    CHECK_FALSE(exchange->hasEnded);
    engine.send(chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
    finish();
    checkWhole();
}

// Guards against a stream that is moved away from an upstream at work, and cut where it cannot go on (issue 49).
TEST(SilentUpstream, AStreamOfWhichMoreArrivesStays)
{
    second.answer(notExecuted);
    begin(2);
    runFor(Milliseconds(100));
    engine.send(chunk("id: 2\ndata: b\n\n"));
    runFor(Milliseconds(250));
    CHECK_FALSE(exchange->hasEnded);
    LONGS_EQUAL(0, requestCount());
    engine.send("0\r\n\r\n");
    finish();
    checkWhole();
}

TEST(SilentUpstream, AStreamOfWhichNothingArrivesContinuesAtAnother)
{
    second.answer("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Seal: s2\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
    begin(2);
    finish();
    checkWhole();
    LONGS_EQUAL(1, requestCount());
}

// Guards against a stream that is cut although its upstream answered its agent again (issue 49).
TEST(SilentUpstream, AStreamStaysAtAnUpstreamThatAnswersItsAgentAgain)
{
    second.answer(notExecuted);
    begin(2);
    runFor(Milliseconds(100));
    report(true);
    runFor(Milliseconds(500));
    CHECK_FALSE(exchange->hasEnded);
    LONGS_EQUAL(0, requestCount());
    engine.send(chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
    finish();
    checkWhole();
}

// Guards against streams of one silent upstream that are cut because the retry budget lasts for some of them only.
TEST(SilentUpstream, AStreamStaysIfTheRetryBudgetIsSpentMeanwhile)
{
    begin(2);
    while (services.budget().tryTake()) { }
    runFor(Milliseconds(500));
    CHECK_FALSE(exchange->hasEnded);
    engine.send(chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
    finish();
    checkWhole();
}

// Guards against a stream that waits for a dead upstream until its deadline although another could continue it.
TEST(SilentUpstream, AStreamLeavesLaterIfItCouldNotAtFirst)
{
    second.answer("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Seal: s2\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
    begin(2);
    while (services.budget().tryTake()) { }
    runFor(Milliseconds(400));
    CHECK_FALSE(exchange->hasEnded);
    while (services.budget().isSpent())
        services.budget().recordFirstAttempt();
    finish();
    checkWhole();
}
