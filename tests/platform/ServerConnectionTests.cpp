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

// Trailers describe the body that was sent; as fields of the head they could replace what was checked.
TEST(ServerConnection, TrailersAreNoFieldsOfTheRequest)
{
    send("POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nAuthorization: other\r\nHost: other\r\n\r\n");
    runUntil([this] { return received.size() == 1; });
    STRCMP_EQUAL("body", received[0]->request().body.c_str());
    STRCMP_EQUAL("h", received[0]->request().host.c_str());
    CHECK(headerValue(received[0]->request().fields, "Authorization").empty());
}

TEST(ServerConnection, ABodyInChunksIsReceivedWholeHoweverItsBytesAreSplit)
{
    const std::string head = "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string body = "4;a=b\r\nbody\r\n3\r\nend\r\n0\r\nX-Trailer: a\r\n\r\n";
    for (std::size_t split = 1; split < body.size(); ++split) {
        received.clear();
        answers.clear();
        send(head + body.substr(0, split));
        for (int i = 0; i < 3; ++i)
            loop.run_one_for(Milliseconds(1));
        send(body.substr(split, 1));
        for (int i = 0; i < 3; ++i)
            loop.run_one_for(Milliseconds(1));
        send(body.substr(split + 1));
        answerAll(1);
        STRCMP_EQUAL("bodyend", received[0]->request().body.c_str());
    }
}

// The parser of the library has preconditions for the last chunk that arrives in pieces.
TEST(ServerConnection, TrailersThatArriveByteForByteAreRead)
{
    send("POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (const char byte : std::string("0\r\nX-Trailer: a\r\n\r\n")) {
        for (int i = 0; i < 5; ++i)
            loop.run_one_for(Milliseconds(1));
        send({ byte });
    }
    answerAll(1);
    STRCMP_EQUAL("", received[0]->request().body.c_str());
}

// Each write ends with a line, so that nothing of the head is left over between them.
TEST(ServerConnection, AHeadWithoutEndIsRejectedHoweverItsLinesArrive)
{
    send("GET /x HTTP/1.1\r\nHost: h\r\n");
    boost::system::error_code error;
    for (int line = 0; line < 1000 && answers.empty(); ++line) {
        asio::write(caller, asio::buffer("X-More: " + std::string(100, 'm') + "\r\n"), error);
        for (int i = 0; i < 3; ++i)
            loop.run_one_for(Milliseconds(1));
    }
    LONGS_EQUAL(1, countOf(answers, "HTTP/1.1 431"));
    CHECK(received.empty());
}

/// A listener whose clients have little time.
TEST_GROUP_BASE(HastyListener, TEST_GROUP_CppUTestGroupServerConnection)
{
    HttpListener hasty { loop,
        [this](const ServerExchangePointer& exchange) { received.push_back(exchange); }, [] {
                            CallerLimits limits;
                            limits.headerTimeout = Milliseconds(20);
                            return limits; } };
};

// A rejected client's bytes must not become part of another client's request, nor of freed memory.
TEST(HastyListener, BytesThatFollowARejectionAreDiscarded)
{
    constexpr std::size_t others = 4;
    CHECK(hasty.listen("127.0.0.1:0").has_value());
    const auto connectAndSend = [this](TcpSocket& socket, const std::string& bytes) {
        socket.connect({ asio::ip::address_v4::loopback(), hasty.port() });
        asio::write(socket, asio::buffer(bytes));
    };
    const std::string padding(200, 'n');
    for (int round = 0; round < 30; ++round) {
        TcpSocket slow(loop);
        connectAndSend(slow, "POST /slow HTTP/1.1\r\nHost: h\r\nX-Rest: ");
        const auto rejections = [this] { return hasty.rejections().count("slow-header") == 0 ? 0 : hasty.rejections().at("slow-header"); };
        const auto rejectionsBefore = rejections();
        runUntil([&] { return rejections() > rejectionsBefore; });
        std::array<char, 256> answer;
        slow.read_some(asio::buffer(answer));
        for (int i = 0; i < 10; ++i)
            loop.poll();
        std::vector<TcpSocket> next;
        for (std::size_t number = 0; number < others; ++number)
            connectAndSend(next.emplace_back(loop), firstRequest + ("GET /second HTTP/1.1\r\nHost: h\r\nX-Padding: " + padding + "\r\n\r\n"));
        runUntil([&] { return received.size() == others; });
        boost::system::error_code error;
        asio::write(slow, asio::buffer(std::string(500, 'r')), error);
        for (int i = 0; i < 10; ++i)
            loop.poll();
        for (std::size_t number = 0; number < others; ++number)
            received[number]->respond(200, {}, "");
        runUntil([&] { return received.size() == 2 * others; });
        for (std::size_t number = others; number < received.size(); ++number)
            CHECK(headerValue(received[number]->request().fields, "X-Padding") == padding);
        received.clear();
    }
}
