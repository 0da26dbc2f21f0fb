#include "CallFlowSupport.h"

#include <hyssopwick_transport.h>
#include <mutex>

using namespace hyssopwick;

/// Upstreams that close their connection in the middle of an answer's head, for example because
/// they are stopped. Whatever follows was not received, so that such an answer is never whole.
TEST_GROUP_BASE(TruncatedHead, CallFlowGroup)
{
    const std::string head = okHead + "Content-Length: 2\r\n\r\n";

    // After the status line, inside a field, after a field, and before the blank line.
    std::vector<std::string> truncatedHeads() const
    {
        return { head.substr(0, 17), head.substr(0, 25), okHead, okHead + "Content-Le", head.substr(0, head.size() - 2) };
    }

    // Sends a call whose first upstream truncates its answer, and the other one answers if it is asked.
    void call(CallKind kind, bool isResumable, const std::string& truncated, const std::string& rest)
    {
        ++configuration.version;
        route(kind, 2, isResumable);
        first.clearAnswers();
        second.clearAnswers();
        answerBoth(truncated);
        const auto requests = requestCount();
        const auto requestsOfFirst = first.requests().size();
        send();
        while (requestCount() == requests)
            loop.run_one();
        auto& other = first.requests().size() == requestsOfFirst ? first : second;
        other.clearAnswers();
        other.answer(rest);
        finish();
    }
};

TEST(TruncatedHead, AnAnswerThatEndsAtAnyByteOfItsHeadIsNotComplete)
{
    for (std::size_t size = 0; size < head.size(); ++size) {
        first.answer(head.substr(0, size));
        std::optional<ExchangeEnd> end;
        const auto deadline = monotonicNow() + Milliseconds(5000);
        fetchWhole(loop, first.address(), { "GET", "/", {}, "" }, deadline, deadline, [&end](const WholeResponse& response) { end = response.end; });
        while (!end)
            loop.run_one();
        CHECK_TEXT(*end == ExchangeEnd::Lost, head.substr(0, size).c_str());
    }
}

TEST(TruncatedHead, ACallThatMayRunOnlyOnceFails)
{
    for (const auto& truncated : truncatedHeads()) {
        call(CallKind::AtMostOnce, false, truncated, head + "no");
        LONGS_EQUAL(502, exchange->status);
        CHECK_FALSE(exchange->isStream);
    }
}

TEST(TruncatedHead, AnIdempotentCallGetsTheAnswerOfAnotherUpstream)
{
    for (const auto& truncated : truncatedHeads()) {
        call(CallKind::Idempotent, false, truncated, head + "ok");
        LONGS_EQUAL(200, exchange->status);
        STRCMP_EQUAL("ok", exchange->body.c_str());
    }
}

TEST(TruncatedHead, AStreamIsNotBegun)
{
    for (const auto& truncated : truncatedHeads()) {
        call(CallKind::Stream, false, truncated, head + "no");
        LONGS_EQUAL(502, exchange->status);
        CHECK_FALSE(exchange->isStream);
    }
}

/// The HTTP client of the project's own interface.
TEST_GROUP(HttpClient)
{
    EventLoop loop { 1 };
    ScriptedUpstream server { loop };
    HttpClient client;

    Outcome<HttpClientResponse> fetch(const std::string& answer)
    {
        server.answer(answer);
        HttpClientRequest request;
        request.method = "GET";
        request.url = "http://" + server.address() + "/";
        request.deadline = monotonicNow() + Milliseconds(5000);
        request.freshConnection = true;
        std::mutex mutex;
        std::optional<Outcome<HttpClientResponse>> received;
        client.start(std::move(request), [&](Outcome<HttpClientResponse> outcome) {
            std::lock_guard<std::mutex> lock(mutex);
            received.emplace(std::move(outcome));
        });
        for (;;) {
            loop.run_one_for(Milliseconds(5));
            std::lock_guard<std::mutex> lock(mutex);
            if (received)
                return std::move(*received);
        }
    }
};

// libcurl takes the end of the connection for the end of an answer without a body.
TEST(HttpClient, AnAnswerThatEndsAtAnyByteOfItsHeadIsNotComplete)
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\n";
    for (std::size_t size = 0; size < head.size(); ++size) {
        const auto outcome = fetch(head.substr(0, size));
        CHECK_TEXT(!outcome, head.substr(0, size).c_str());
        CHECK(outcome.error().code == ErrorCode::UnknownResult);
    }
}

TEST(HttpClient, AWholeAnswerIsComplete)
{
    for (const auto* answer : { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Checksum: 1\r\n\r\n", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" }) {
        const auto outcome = fetch(answer);
        CHECK_TEXT(outcome.has_value(), answer);
        LONGS_EQUAL(200, outcome.value().status);
        STRCMP_EQUAL("ok", outcome.value().body.c_str());
    }
}

TEST(HttpClient, AnAnswerWithoutABodyIsComplete)
{
    const auto outcome = fetch("HTTP/1.1 204 No Content\r\n\r\n");
    CHECK(outcome.has_value());
    LONGS_EQUAL(204, outcome.value().status);
}
