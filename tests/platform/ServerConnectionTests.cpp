#include "../TestSupport.h"

#include <hyssopwick_gateway.h>
#include <unistd.h>

using namespace hyssopwick;

namespace {

constexpr const char* firstRequest = "GET /first HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr const char* secondRequest = "POST /second HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody";

std::size_t countOf(const std::string& text, const std::string& part)
{
    std::size_t count = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + part.size()))
        ++count;
    return count;
}

}

TEST_GROUP(ServerConnection)
{
    EventLoop loop { 1 };
    std::vector<ServerExchangePointer> received;
    int departures = 0;
    HttpListener listener { loop, [this](const ServerExchangePointer& exchange) {
                               exchange->onCallerLeft([this] { ++departures; });
                               received.push_back(exchange); },
        [] { return CallerLimits(); } };
    TcpSocket caller { loop };
    std::string answers;
    std::array<char, 4096> buffer;
    bool isDisconnected = false;

    void setup() override
    {
        CHECK(listener.listen("127.0.0.1:0").has_value());
        caller.connect({ asio::ip::address_v4::loopback(), listener.port() });
        read();
    }

    void read()
    {
        caller.async_read_some(asio::buffer(buffer), [this](boost::system::error_code error, std::size_t size) {
            answers.append(buffer.data(), size);
            isDisconnected = static_cast<bool>(error);
            if (!error)
                read();
        });
    }

    void send(const std::string& bytes) { asio::write(caller, asio::buffer(bytes)); }

    void runUntil(const std::function<bool()>& isDone)
    {
        // The upper bound only ends a failing test.
        for (const auto deadline = monotonicNow() + Milliseconds(10000); !isDone() && monotonicNow() < deadline;)
            loop.run_one_for(Milliseconds(5));
        CHECK(isDone());
    }

    // Answers each request when it has arrived; its body is the request's target.
    void answerAll(std::size_t count)
    {
        for (std::size_t answered = 0; answered < count; ++answered) {
            runUntil([&] { return received.size() > answered; });
            // An upstream takes some time.
            for (int i = 0; i < 5; ++i)
                loop.run_one_for(Milliseconds(1));
            received[answered]->respond(200, {}, received[answered]->request().target);
            runUntil([&] { return countOf(answers, "HTTP/1.1 200") > answered || isDisconnected; });
        }
    }

    void checkBothAnswersInOrder()
    {
        const auto first = answers.find("/first");
        const auto second = answers.find("/second");
        CHECK(first != std::string::npos);
        CHECK(second != std::string::npos);
        CHECK(first < second);
        STRCMP_EQUAL("body", received[1]->request().body.c_str());
    }
};

// Regression: nothing kept a connection open whose next request had arrived before the answer.
TEST(ServerConnection, TwoRequestsInOneWriteGetBothAnswers)
{
    send(std::string(firstRequest) + secondRequest);
    answerAll(2);
    checkBothAnswersInOrder();
}

TEST(ServerConnection, ARequestThatArrivesBeforeThePreviousAnswerGetsItsOwn)
{
    send(firstRequest);
    runUntil([this] { return received.size() == 1; });
    send(secondRequest);
    for (int i = 0; i < 20; ++i)
        loop.run_one_for(Milliseconds(1));
    answerAll(2);
    checkBothAnswersInOrder();
}

TEST(ServerConnection, TwoRequestsGetBothAnswersHoweverTheirBytesAreSplit)
{
    const auto bytes = std::string(firstRequest) + secondRequest;
    for (std::size_t split = 1; split < bytes.size(); split += 3) {
        received.clear();
        answers.clear();
        send(bytes.substr(0, split));
        for (int i = 0; i < 3; ++i)
            loop.run_one_for(Milliseconds(1));
        send(bytes.substr(split));
        answerAll(2);
        checkBothAnswersInOrder();
    }
}

TEST(ServerConnection, AStoppingListenerAnswersBothRequestsThatItHasRead)
{
    send(std::string(firstRequest) + secondRequest);
    runUntil([this] { return received.size() == 1; });
    listener.startClosing();
    answerAll(2);
    checkBothAnswersInOrder();
    LONGS_EQUAL(1, countOf(answers, "Connection: close")); // only the last answer ends the connection
    runUntil([this] { return isDisconnected; });
}

TEST(ServerConnection, ACallerThatLeavesAfterItsNextRequestIsNoticed)
{
    send(std::string(firstRequest) + secondRequest);
    runUntil([this] { return received.size() == 1; });
    caller.close();
    runUntil([this] { return departures == 1; });
    LONGS_EQUAL(0, listener.openExchanges());
}

// Guards against a caller's time that starts anew in an entry that is late.
TEST(ServerConnection, ARequestCountsFromItsArrivalHoweverLateItIsRead)
{
    const auto sentAt = monotonicNow();
    send(firstRequest);
    usleep(300'000);
    runUntil([this] { return received.size() == 1; });
    CHECK_COMPARE(millisecondsBetween(sentAt, received[0]->request().receivedAt), <=, 50);
}

TEST(ServerConnection, ACallerThatLeavesBehindManyUnreadRequestsIsNoticed)
{
    send(firstRequest);
    runUntil([this] { return received.size() == 1; });
    for (int i = 0; i < 1000; ++i)
        send(secondRequest);
    for (int i = 0; i < 50; ++i)
        loop.run_one_for(Milliseconds(1));
    const auto leftAt = monotonicNow();
    caller.close();
    runUntil([this] { return departures == 1; });
    CHECK_COMPARE(millisecondsBetween(leftAt, monotonicNow()), <, 500);
}

// Closing with unread bytes resets a connection, which may destroy an answer on its way.
TEST(ServerConnection, ARequestThatCrossesTheLastAnswerDoesNotDestroyIt)
{
    send(firstRequest);
    runUntil([this] { return received.size() == 1; });
    listener.startClosing();
    received[0]->respond(200, {}, std::string(1 << 20, 'x'));
    loop.run_one_for(Milliseconds(1));
    send(secondRequest);
    runUntil([this] { return isDisconnected; });
    LONGS_EQUAL(1 << 20, std::count(answers.begin(), answers.end(), 'x'));
}

TEST(ServerConnection, BytesThatAreNoRequestAreRejectedAtTheHeadersLimit)
{
    boost::system::error_code error;
    const std::string garbage(64 << 10, 'z');
    std::size_t sent = 0;
    caller.non_blocking(true);
    runUntil([&] {
        sent += caller.write_some(asio::buffer(garbage), error);
        return isDisconnected || countOf(answers, "HTTP/1.1 4") > 0;
    });
    CHECK(received.empty());
    LONGS_EQUAL(1, countOf(answers, "HTTP/1.1 4"));
}
