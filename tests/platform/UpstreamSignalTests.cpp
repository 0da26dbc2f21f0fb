#include "CallFlowSupport.h"

#include <CallFormat.h>
#include <EngineFormat.h>

using namespace hyssopwick;

namespace {

const std::string served = okHead + "Content-Length: 2\r\n\r\nok";

std::string refusal(const std::string& fields) { return "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n" + fields + "Content-Length: 0\r\n\r\n"; }

}

/// What upstreams say of themselves in their answers to calls.
TEST_GROUP_BASE(UpstreamSignal, CallFlowGroup)
{
    std::vector<LeavingObservation> passedOn;

    void setup() override
    {
        CallFlowGroup::setup();
        services.onLeaving([this](const LeavingObservation& observation) { passedOn.push_back(observation); });
    }

    bool hasLogged(const std::string& text) const
    {
        return std::any_of(lines.begin(), lines.end(), [&text](const std::string& line) { return line.find(text) != std::string::npos; });
    }

    void call()
    {
        send();
        finish();
    }

    double retryAfterSeconds() const { return std::stod("0" + std::string(headerValue(exchange->fields, "Retry-After"))); }
};

TEST(UpstreamSignal, AnUpstreamThatSaysThatItLeavesGetsNoFurtherCalls)
{
    route(CallKind::Idempotent, 2, false);
    answerBoth(okHead + "Server-Leaving: 1\r\nContent-Length: 2\r\n\r\nok");
    call();
    LONGS_EQUAL(200, exchange->status);
    LONGS_EQUAL(1, passedOn.size());
    const bool isFirstLeaving = first.requests().size() == 1;
    auto& staying = isFirstLeaving ? second : first;
    auto& leaving = isFirstLeaving ? first : second;
    staying.clearAnswers();
    for (int i = 0; i < 10; ++i) {
        staying.answer(served);
        leaving.answer(served);
        call();
    }
    LONGS_EQUAL(1, leaving.requests().size());
    LONGS_EQUAL(10, staying.requests().size());
    CHECK(hasLogged("upstream.leaving"));
}

TEST(UpstreamSignal, ALeavingUpstreamIsLearntFromAPeer)
{
    route(CallKind::Idempotent, 2, false);
    const auto message = decodePeerMessage(encodePeerMessage(LeavingObservation { "i-1", 0 }));
    CHECK(message.has_value());
    services.recordLeaving(std::get<LeavingObservation>(message.value()));
    for (int i = 0; i < 10; ++i) {
        second.answer(served);
        call();
    }
    LONGS_EQUAL(0, first.requests().size());
    LONGS_EQUAL(0, passedOn.size()); // who saw it has told all
}

TEST(UpstreamSignal, ALeavingUpstreamThatRefusesIsReplacedByAnother)
{
    route(CallKind::AtMostOnce, 2, false);
    answerBoth(refusal("Server-Leaving: 1\r\n"));
    answerBoth(served);
    call();
    LONGS_EQUAL(2, requestCount());
    LONGS_EQUAL(2, passedOn.size());
    LONGS_EQUAL(503, exchange->status); // both leave
}

// The answer is that of another upstream, which has the address by now.
TEST(UpstreamSignal, LeavingInAnAnswerOfAnotherUpstreamIsNotTakenForTheOneThatWasMeant)
{
    route(CallKind::Idempotent, 1, false);
    answerBoth("HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n");
    call();
    LONGS_EQUAL(0, passedOn.size());
}

TEST(UpstreamSignal, AnEnginesReportSaysThatItLeaves)
{
    const platform::EngineFormat format;
    const std::string body = R"({"sequence":0,"queued":0,"running":0,"born":1000})";
    CHECK_FALSE(format.decodeReport({}, body).value().isLeaving);
    CHECK_FALSE(format.decodeReport({ { "Server-Leaving", "0" } }, body).value().isLeaving);
    const auto report = format.decodeReport({ { "Server-Leaving", "1" } }, body).value();
    CHECK(report.isLeaving);
    EngineUpdate update;
    update.report = report;
    update.engineAddress = "127.0.0.1:1";
    const auto message = decodePeerMessage(encodePeerMessage(update));
    CHECK(std::get<EngineUpdate>(message.value()).report.isLeaving);
}

TEST(UpstreamSignal, AnUpstreamThatAsksForARestGetsNoCallsUntilItsEnd)
{
    route(CallKind::Idempotent, 2, false);
    first.answer(refusal("Retry-After: 0.4\r\n"));
    second.answer(served);
    while (first.requests().empty()) {
        second.answer(served);
        call();
        LONGS_EQUAL(200, exchange->status);
    }
    const auto restEnd = monotonicNow() + Milliseconds(380);
    for (int i = 0; i < 10; ++i) {
        second.answer(served);
        call();
    }
    LONGS_EQUAL(1, first.requests().size());
    while (monotonicNow() < restEnd + Milliseconds(40))
        loop.run_one_for(Milliseconds(10));
    services.maintain();
    for (int i = 0; i < 40 && first.requests().size() < 2; ++i) {
        first.answer(served);
        second.answer(served);
        call();
    }
    LONGS_EQUAL(2, first.requests().size());
}

TEST(UpstreamSignal, WhileAllUpstreamsRestCallersAreToldTheEarliestEndAtOnce)
{
    route(CallKind::AtMostOnce, 2, false);
    first.answer(refusal("Retry-After: 8\r\n"));
    second.answer(refusal("Retry-After: 3.5\r\n"));
    call();
    LONGS_EQUAL(503, exchange->status);
    LONGS_EQUAL(2, requestCount());
    CHECK(retryAfterSeconds() > 3 && retryAfterSeconds() <= 3.51);
    const auto before = monotonicNow();
    call();
    LONGS_EQUAL(503, exchange->status);
    LONGS_EQUAL(2, requestCount());
    CHECK(retryAfterSeconds() > 3 && retryAfterSeconds() <= 3.51);
    CHECK(exchange->hasEnded);
    CHECK(monotonicNow() - before < Milliseconds(1000));
}

TEST(UpstreamSignal, AbsurdRetryAfterIsBounded)
{
    const platform::CallFormat format;
    for (const auto* value : { "-5", "Fri, 31 Dec 1999 23:59:59 GMT", "soon", "nan", "1e", "" }) {
        const auto answer = format.decodeAnswer(503, { { "Retry-After", value } });
        CHECK_FALSE(answer.retryAfter.has_value());
        CHECK_EQUAL(std::string(value).empty(), !answer.hasUnreadableRetryAfter);
    }
    for (const auto* value : { "inf", "1e300", "86400" })
        CHECK(format.decodeAnswer(503, { { "Retry-After", value } }).retryAfter->count() >= 86400000);
    route(CallKind::AtMostOnce, 2, false);
    answerBoth(refusal("Retry-After: 86400\r\n"));
    call();
    CHECK(retryAfterSeconds() <= 30.01);
    CHECK(hasLogged("upstream.resting"));
}

TEST(UpstreamSignal, AnUnreadableRetryAfterIsLoggedAndIgnored)
{
    route(CallKind::AtMostOnce, 2, false);
    answerBoth(refusal("Retry-After: -3\r\n"));
    call();
    CHECK(hasLogged("upstream.retry-after-unreadable"));
    LONGS_EQUAL(2, metrics.counter("retry_after_unreadable_total", ""));
    answerBoth(served);
    call();
    LONGS_EQUAL(200, exchange->status);
}

TEST(UpstreamSignal, ALimitIsADecimalNumberOfAtLeastZero)
{
    const auto limitOf = [this](const std::string& text) { return context.ports.calls->decodeAnswer(200, { { "Server-Limit", text } }); };
    DOUBLES_EQUAL(1.7, limitOf("1.7").callLimit.value(), 0);
    DOUBLES_EQUAL(0, limitOf("0").callLimit.value(), 0);
    for (const std::string malformed : { "-1", "nan", "inf", "1.7/s", "many" }) {
        CHECK_FALSE(limitOf(malformed).callLimit.has_value());
        CHECK(limitOf(malformed).hasUnreadableCallLimit);
    }
    CHECK_FALSE(context.ports.calls->decodeAnswer(200, {}).hasUnreadableCallLimit);
}

TEST(UpstreamSignal, AnUnreadableLimitDoesNotEndTheOneBefore)
{
    route(CallKind::Idempotent, 1, false);
    services.allowances().recordLimit(UpstreamLimit { "i-1", 0.05, monotonicNow(), monotonicNow() - Milliseconds(1000) });
    const auto limits = services.allowances().limits();
    services.recordAnswerHead("i-1", 200, context.ports.calls->decodeAnswer(200, { { "Server-Limit", "many" } }), monotonicNow());
    CHECK(limits == services.allowances().limits());
    services.recordAnswerHead("i-1", 200, context.ports.calls->decodeAnswer(200, {}), monotonicNow());
    CHECK(limits == services.allowances().limits()); // may be anybody's
    services.recordAnswerHead("i-1", 200, context.ports.calls->decodeAnswer(200, { { "Request-Id", "r" } }), monotonicNow());
    CHECK_FALSE(services.allowances().limits().front().callsPerSecond.has_value());
}

TEST(UpstreamSignal, WhatAnotherEntryKnowsOfALimitArrives)
{
    const auto now = monotonicNow();
    const UpstreamLimit limit { "i-1", 1.7, now - Milliseconds(3000), now - Milliseconds(100) };
    const auto message = decodePeerMessage(encodePeerMessage(LimitObservation { limit }));
    CHECK(message.has_value());
    const auto& received = std::get<LimitObservation>(message.value()).limit;
    CHECK(received.callsPerSecond == limit.callsPerSecond);
    CHECK_COMPARE(std::abs(millisecondsBetween(limit.origin, received.origin)), <=, 1000);
    const auto ended = decodePeerMessage(encodePeerMessage(LimitObservation { { "i-1", std::nullopt, now, now } }));
    CHECK_FALSE(std::get<LimitObservation>(ended.value()).limit.callsPerSecond.has_value());
}
