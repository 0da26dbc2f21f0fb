#include "CallFlowSupport.h"

using namespace hyssopwick;

/// Answers with neither a length nor chunks, which end with their connection.
TEST_GROUP_BASE(UnframedAnswer, CallFlowGroup)
{
    const std::string head = okHead + "\r\n";
    const std::string twoEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    const std::string lastEvent = "id: 3\ndata: c\n\n";

    // Sends a call whose first upstream answers so, and the other one with the rest if it is asked.
    void call(const std::string& bytes, bool isReset, const std::string& rest)
    {
        answerBoth(bytes, isReset);
        send();
        while (requestCount() < 1)
            loop.run_one();
        auto& other = first.requests().empty() ? first : second;
        other.clearAnswers();
        other.answer(rest);
        finish();
    }

    std::string resumedAfter() const
    {
        for (const auto* upstream : { &first, &second }) {
            for (const auto& request : upstream->requests()) {
                const auto field = request.find("Last-Event-Id: ");
                if (field != std::string::npos)
                    return request.substr(field + 15, request.find("\r\n", field) - field - 15);
            }
        }
        return "";
    }

    void checkCompleteAfterOneCall(const std::string& events)
    {
        route(CallKind::Stream, 2, true);
        call(head + events, false, head + "id: 9\ndata: wrong\n\n");
        CHECK(exchange->isFinished);
        CHECK_FALSE(exchange->isAborted);
        LONGS_EQUAL(1, requestCount());
        STRCMP_EQUAL(events.c_str(), exchange->body.c_str());
    }

    // A stream that ends so is resumed after its second event, and complete for the caller.
    void checkResumed(const std::string& partialEvent, bool isReset)
    {
        route(CallKind::Stream, 2, true);
        call(head + twoEvents + partialEvent, isReset, head + lastEvent);
        CHECK(exchange->isFinished);
        LONGS_EQUAL(2, requestCount());
        STRCMP_EQUAL("2", resumedAfter().c_str());
        STRCMP_EQUAL((twoEvents + lastEvent).c_str(), exchange->body.c_str());
    }

    // A stream that ends so is cut for the caller, who receives whole events only.
    void checkCut(const std::string& partialEvent, bool isReset)
    {
        route(CallKind::Stream, 2, false);
        call(head + twoEvents + partialEvent, isReset, head + lastEvent);
        CHECK(exchange->isAborted);
        CHECK_FALSE(exchange->isFinished);
        LONGS_EQUAL(1, requestCount());
        STRCMP_EQUAL(twoEvents.c_str(), exchange->body.c_str());
    }

    // An upstream that is found down soon after it ended an answer so has crashed during the call.
    void checkCountsAsCrash(const std::string& bytes, bool isReset)
    {
        route(CallKind::Stream, 1, false);
        unsigned crashes = 0;
        services.crashes().onObservation([&crashes](const PeerMessage& message) { crashes += std::holds_alternative<CrashObservation>(message); });
        answerBoth(bytes, isReset);
        send();
        finish();
        CHECK_FALSE(exchange->isFinished);
        services.crashes().recordUpstreamDown(first.address());
        services.crashes().recordUpstreamDown(second.address());
        LONGS_EQUAL(1, crashes);
    }
};

TEST(UnframedAnswer, AWholeAnswerIsDeliveredWhole)
{
    route(CallKind::AtMostOnce, 2, false);
    call(head + "a whole answer", false, head + "wrong");
    LONGS_EQUAL(200, exchange->status);
    STRCMP_EQUAL("a whole answer", exchange->body.c_str());
    LONGS_EQUAL(1, requestCount());
}

TEST(UnframedAnswer, AWholeAnswerOfManyReadsIsDeliveredWhole)
{
    std::string body;
    for (int number = 0; number < 40'000; ++number)
        body += std::to_string(number) + "\n";
    route(CallKind::Idempotent, 2, false);
    call(head + body, false, head + "wrong");
    LONGS_EQUAL(200, exchange->status);
    CHECK(body == exchange->body);
    LONGS_EQUAL(1, requestCount());
}

TEST(UnframedAnswer, AnEmptyWholeAnswerIsDelivered)
{
    route(CallKind::AtMostOnce, 2, false);
    call(head, false, head + "wrong");
    LONGS_EQUAL(200, exchange->status);
    STRCMP_EQUAL("", exchange->body.c_str());
    LONGS_EQUAL(1, requestCount());
}

TEST(UnframedAnswer, AWholeAnswerThatEndsInAResetIsNotDelivered)
{
    route(CallKind::AtMostOnce, 2, false);
    call(head + "only a part", true, head + "wrong");
    LONGS_EQUAL(502, exchange->status);
    CHECK(exchange->body.find("part") == std::string::npos);
    LONGS_EQUAL(1, requestCount());
}

TEST(UnframedAnswer, AnIdempotentCallIsRepeatedAfterAReset)
{
    route(CallKind::Idempotent, 2, false);
    call(head + "only a part", true, head + "a whole answer");
    LONGS_EQUAL(200, exchange->status);
    STRCMP_EQUAL("a whole answer", exchange->body.c_str());
    LONGS_EQUAL(2, requestCount());
}

TEST(UnframedAnswer, AStreamThatEndsAfterAWholeEventIsComplete)
{
    checkCompleteAfterOneCall(twoEvents);
}

TEST(UnframedAnswer, AStreamWithReturnsThatEndsAfterAWholeEventIsComplete)
{
    checkCompleteAfterOneCall("id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n");
}

// Without its blank line an event is not whole, however complete its lines look.
TEST(UnframedAnswer, AStreamThatEndsInsideAnEventIsResumedAfterTheLastWholeOne)
{
    checkResumed("id: 3\nda", false);
}

TEST(UnframedAnswer, AStreamThatEndsBeforeTheBlankLineIsResumedAfterTheLastWholeEvent)
{
    checkResumed("id: 3\ndata: c\n", false);
}

TEST(UnframedAnswer, AStreamThatEndsInTheFirstByteOfAnEventIsResumed)
{
    checkResumed("i", false);
}

TEST(UnframedAnswer, AStreamThatIsResetInsideAnEventIsResumedAfterTheLastWholeOne)
{
    checkResumed("id: 3\nda", true);
}

TEST(UnframedAnswer, AStreamThatIsResetAfterAWholeEventIsResumed)
{
    checkResumed("", true);
}

TEST(UnframedAnswer, AStreamThatEndsInsideItsFirstEventIsRepeated)
{
    route(CallKind::Stream, 2, true);
    call(head + "id: 1\nda", false, head + twoEvents);
    CHECK(exchange->isFinished);
    STRCMP_EQUAL("", resumedAfter().c_str());
    STRCMP_EQUAL(twoEvents.c_str(), exchange->body.c_str());
}

TEST(UnframedAnswer, AStreamThatIsNotResumableAndEndsInsideAnEventIsCut)
{
    checkCut("id: 3\nda", false);
}

TEST(UnframedAnswer, AStreamThatIsNotResumableAndEndsBeforeTheBlankLineIsCut)
{
    checkCut("id: 3\ndata: c\n", false);
}

TEST(UnframedAnswer, AStreamThatIsNotResumableAndIsResetIsCut)
{
    checkCut("id: 3\nda", true);
}

TEST(UnframedAnswer, AStreamThatIsNotResumableAndIsResetAfterAWholeEventIsCut)
{
    checkCut("", true);
}

TEST(UnframedAnswer, AStreamThatIsNotResumableAndEndsInsideItsFirstEventIsNotDelivered)
{
    route(CallKind::Stream, 2, false);
    call(head + "id: 1\nda", false, head + twoEvents);
    LONGS_EQUAL(502, exchange->status);
    CHECK_FALSE(exchange->isStream);
    LONGS_EQUAL(1, requestCount());
}

// An engine's process that crashes closes its connections, which is all that shows of it here.
TEST(UnframedAnswer, AStreamThatEndsInsideAnEventOfACrashedUpstreamCountsAsItsCrash)
{
    checkCountsAsCrash(head + "id: 1\ndata: a\n\nid: 2\nda", false);
}

TEST(UnframedAnswer, AStreamThatEndsWithoutAnEventOfACrashedUpstreamCountsAsItsCrash)
{
    checkCountsAsCrash(head, false);
}

TEST(UnframedAnswer, AStreamThatACrashedUpstreamResetsCountsAsItsCrash)
{
    checkCountsAsCrash(head + "id: 1\ndata: a\n\nid: 2\nda", true);
}
