#include "CallFlowSupport.h"

#include <numeric>

using namespace hyssopwick;

namespace {

/// Upstream that answers each request with numbered events as fast as they are read.
class FloodUpstream {
public:
    static constexpr std::size_t eventBytes = 1024;

    FloodUpstream(EventLoop& loop, std::size_t events, bool isChunked)
        : m_events(events)
        , m_isChunked(isChunked)
        , m_acceptor(loop, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
        accept();
    }

    static std::string event(std::size_t number)
    {
        auto text = "id: " + std::to_string(number) + "\ndata: ";
        return text + std::string(eventBytes - text.size() - 2, 'x') + "\n\n";
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()); }

    std::size_t sentEvents = 0;
    std::size_t finished = 0;

private:
    struct Connection {
        explicit Connection(TcpSocket accepted)
            : socket(std::move(accepted))
        {
        }
        TcpSocket socket;
        std::string request;
        std::string sending;
        std::size_t sent = 0;
    };

    void accept()
    {
        m_acceptor.async_accept([this](boost::system::error_code error, TcpSocket socket) {
            if (error)
                return;
            const auto connection = std::make_shared<Connection>(std::move(socket));
            asio::async_read_until(connection->socket, asio::dynamic_buffer(connection->request), "\r\n\r\n", [this, connection](boost::system::error_code, std::size_t) {
                connection->sending = okHead + (m_isChunked ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n");
                write(connection);
            });
            accept();
        });
    }

    void write(const std::shared_ptr<Connection>& connection)
    {
        const bool isLast = connection->sent == m_events;
        if (!isLast)
            connection->sending += m_isChunked ? chunk(event(connection->sent)) : event(connection->sent);
        else if (m_isChunked)
            connection->sending += "0\r\n\r\n";
        asio::async_write(connection->socket, asio::buffer(connection->sending), [this, connection, isLast](boost::system::error_code error, std::size_t) {
            connection->sending.clear();
            finished += isLast;
            if (error || isLast) {
                connection->socket.close(error);
                return;
            }
            ++connection->sent;
            ++sentEvents;
            write(connection);
        });
    }

    std::size_t m_events;
    bool m_isChunked;
    asio::ip::tcp::acceptor m_acceptor;
};

/// Exchange of a caller whose socket takes bytes only when it is told to; unlike a real one it has no
/// buffer in the system, whose size varies.
class SlowExchange : public RecordedExchange {
public:
    using RecordedExchange::RecordedExchange;

    std::size_t unsentBytes() const override { return hasEnded ? 0 : body.size() - m_taken; }
    void onSent(std::function<void()> handler) override { m_onSent = std::move(handler); }

    void takeAll()
    {
        m_taken = body.size();
        if (!hasEnded && m_onSent)
            m_onSent();
    }

private:
    std::size_t m_taken = 0;
    std::function<void()> m_onSent;
};

/// Caller that reads its answer only when it is told to.
class SlowCaller {
public:
    SlowCaller(EventLoop& loop, std::uint16_t port, const std::string& deadline)
        : m_socket(loop)
    {
        m_socket.open(asio::ip::tcp::v4());
        m_socket.set_option(asio::socket_base::receive_buffer_size(4096));
        m_socket.connect({ asio::ip::address_v4::loopback(), port });
        asio::write(m_socket, asio::buffer("GET /x/a HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer secret-key\r\nRequest-Id: r1\r\nDeadline-Ms: " + deadline + "\r\n\r\n"));
    }

    void send(const std::string& bytes) { asio::write(m_socket, asio::buffer(bytes)); }

    void read()
    {
        m_socket.async_read_some(asio::buffer(m_buffer), [this](boost::system::error_code error, std::size_t size) {
            received.append(m_buffer.data(), size);
            isComplete = received.size() >= lastChunk.size() && received.compare(received.size() - lastChunk.size(), lastChunk.size(), lastChunk) == 0;
            hasEnded = error || isComplete;
            if (!hasEnded)
                read();
        });
    }

    std::string received;
    bool isComplete = false;
    bool hasEnded = false;

private:
    const std::string lastChunk = "\r\n0\r\n\r\n";
    TcpSocket m_socket;
    std::array<char, 65536> m_buffer;
};

}

TEST_GROUP_BASE(SlowReader, CallFlowGroup)
{
    std::unique_ptr<FloodUpstream> flood;
    std::vector<std::unique_ptr<SlowCaller>> callers;
    std::vector<std::shared_ptr<SlowExchange>> exchanges;
    std::vector<std::shared_ptr<CallFlow>> flows;
    HttpListener listener { loop, [this](const ServerExchangePointer& received) {
                               flow = std::make_shared<CallFlow>(
                                   services, received, [](const std::string&) {}, [](CallFlow*) {});
                               flow->start(); },
        [] { return CallerLimits(); } };
    std::size_t peakBytes = 0;

    void serve(std::size_t events, bool isChunked = true)
    {
        flood = std::make_unique<FloodUpstream>(loop, events, isChunked);
        route(CallKind::Stream, 1, false);
        configuration.routes.front().answerTimeout = Milliseconds(30000);
        services.setConfiguration(configuration);
        for (const auto* id : { "i-1", "i-2" }) {
            Upstream upstream;
            upstream.id = id;
            upstream.service = "plain";
            upstream.address = flood->address();
            services.setUpstream(upstream);
        }
        services.refresh();
        services.answerMemory()->setBufferedBytes([this] {
            return std::accumulate(exchanges.begin(), exchanges.end(), listener.bufferedBytes(), [](std::size_t sum, const auto& slow) { return sum + slow->unsentBytes(); });
        });
        CHECK(listener.listen("127.0.0.1:0").has_value());
    }

    SlowCaller& call(const std::string& deadline = "20000")
    {
        callers.push_back(std::make_unique<SlowCaller>(loop, listener.port(), deadline));
        return *callers.back();
    }

    // Starts a call without a socket.
    SlowExchange& callWithoutSocket()
    {
        ServerRequest request;
        request.method = "GET";
        request.target = "/x/a";
        request.host = "a.example";
        request.fields = { { "Request-Id", "r1" }, { "Deadline-Ms", "20000" }, { "Authorization", "Bearer secret-key" } };
        request.receivedAt = monotonicNow();
        exchanges.push_back(std::make_shared<SlowExchange>(std::move(request)));
        flows.push_back(std::make_shared<CallFlow>(
            services, exchanges.back(), [](const std::string&) {}, [](CallFlow*) {}));
        flows.back()->start();
        return *exchanges.back();
    }

    void runFor(Milliseconds time)
    {
        const auto end = monotonicNow() + time;
        runUntil([end] { return monotonicNow() > end; });
    }

    // Takes all bytes until the answer has ended.
    void takeUntilEnd(SlowExchange & slow)
    {
        runUntil([&slow] {
            slow.takeAll();
            return slow.hasEnded;
        });
    }

    static void checkEvents(const std::string& body, std::size_t events)
    {
        for (std::size_t number = 0, position = 0; number < events; ++number) {
            position = body.find("id: " + std::to_string(number) + "\n", position);
            CHECK(position != std::string::npos);
        }
    }

    void runUntil(const std::function<bool()>& isDone)
    {
        for (const auto end = monotonicNow() + Milliseconds(20000); !isDone() && monotonicNow() < end;) { // only ends a failing test
            loop.run_one_for(Milliseconds(5));
            peakBytes = std::max(peakBytes, services.answerMemory()->heldBytes());
        }
        CHECK(isDone());
    }
};

// Load: an engine streams 4 MB to a caller that reads nothing at first. Guards against an answer
// that is held whole in memory, and against one that is cut or damaged by the pause.
TEST(SlowReader, AStreamIsHeldInPartAndArrivesWholeOnceItIsRead)
{
    constexpr std::size_t events = 4000; // an answer may have 4 MiB
    serve(events);
    auto& slow = callWithoutSocket();
    runUntil([&] { return slow.unsentBytes() > ReadingPause::pauseBytes - FloodUpstream::eventBytes; });
    runFor(Milliseconds(300));
    CHECK_FALSE(slow.hasEnded);
    CHECK(peakBytes <= ReadingPause::pauseBytes + 16384);
    takeUntilEnd(slow);
    CHECK(slow.isFinished);
    CHECK(peakBytes <= std::size_t(256) << 10);
    checkEvents(slow.body, events);
    LONGS_EQUAL(events * FloodUpstream::eventBytes, slow.body.size());
    LONGS_EQUAL(0, services.answerMemory()->heldBytes());
    LONGS_EQUAL(1, std::count_if(lines.begin(), lines.end(), [](const auto& line) { return line.find("event=call.paused") != std::string::npos; }));
}

// The same over a socket, whose system buffers take a part.
TEST(SlowReader, AStreamOverASlowSocketArrivesWhole)
{
    constexpr std::size_t events = 4000;
    serve(events);
    auto& caller = call();
    runFor(Milliseconds(300));
    caller.read();
    runUntil([&] { return caller.hasEnded; });
    CHECK(peakBytes <= ReadingPause::pauseBytes + 16384);
    CHECK(caller.isComplete);
    checkEvents(caller.received, events);
    runUntil([&] { return services.answerMemory()->heldBytes() == 0; });
}

// Load: a caller that reads nothing until its deadline. Guards against a connection that holds
// an engine's stream for longer than the call lasts.
TEST(SlowReader, AStreamThatIsNotReadIsCutAtItsDeadline)
{
    serve(1000000);
    call("600");
    const auto begin = monotonicNow();
    runUntil([&] { return listener.openExchanges() == 1; });
    runUntil([&] { return listener.openExchanges() == 0; });
    CHECK(monotonicNow() < begin + Milliseconds(1500));
    LONGS_EQUAL(0, services.answerMemory()->heldBytes());
}

// The same for an answer that had ended before: nothing else would close its connection.
TEST(SlowReader, AnEndedAnswerThatIsNotReadIsCutAtItsDeadline)
{
    std::size_t received = 0;
    HttpListener whole(
        loop, [&received](const ServerExchangePointer& exchange) {
            ++received;
            exchange->sendBy(monotonicNow() + Milliseconds(300));
            exchange->respond(200, {}, std::string(std::size_t(16) << 20, 'x')); },
        [] { return CallerLimits(); });
    CHECK(whole.listen("127.0.0.1:0").has_value());
    SlowCaller caller(loop, whole.port(), "300");
    runUntil([&] { return received == 1; });
    CHECK(whole.bufferedBytes() > 0);
    runUntil([&] { return whole.openExchanges() == 0; });
    LONGS_EQUAL(1, whole.unreadAnswers());
    LONGS_EQUAL(0, whole.bufferedBytes());
}

// Load: a caller that sends its next requests while it reads nothing of an ended answer. Guards
// against a connection that stays open, with its answer, for as long as the caller likes.
TEST(SlowReader, AnEndedAnswerIsCutAtItsDeadlineWhateverItsCallerSendsMeanwhile)
{
    std::size_t received = 0;
    HttpListener whole(
        loop, [&received](const ServerExchangePointer& exchange) {
            ++received;
            exchange->sendBy(monotonicNow() + Milliseconds(600));
            exchange->respond(200, {}, std::string(std::size_t(16) << 20, 'x')); },
        [] { return CallerLimits(); });
    CHECK(whole.listen("127.0.0.1:0").has_value());
    SlowCaller caller(loop, whole.port(), "600");
    runUntil([&] { return received == 1; });
    caller.send("POST /x/b HTTP/1.1\r\nHost: a.example\r\nContent-Length: 40000\r\n\r\n" + std::string(40000, 'z'));
    runUntil([&] { return whole.openExchanges() == 0; });
    LONGS_EQUAL(1, received);
    LONGS_EQUAL(1, whole.unreadAnswers());
    LONGS_EQUAL(0, whole.bufferedBytes());
}

// Load: callers that read nothing until the entry refuses one. Guards against a process that
// grows over its memory, and against streams that take the memory of whole answers.
TEST(SlowReader, CallsAreRefusedBeforeUnreadStreamsTakeTheMemoryOfWholeAnswers)
{
    context.description.memoryBytes = std::size_t(1) << 20;
    constexpr std::size_t maxBytes = std::size_t(1) << 18;
    serve(1000000);
    while (metrics.counter("refusals_total", "entry-busy") == 0 && exchanges.size() < 100) {
        callWithoutSocket();
        runFor(Milliseconds(30));
    }
    LONGS_EQUAL(1, metrics.counter("refusals_total", "entry-busy"));
    LONGS_EQUAL(503, exchanges.back()->status);
    CHECK_FALSE(headerValue(exchanges.back()->fields, "Retry-After").empty());
    CHECK(peakBytes <= maxBytes * 3 / 4);
    HeldAnswer whole(services.answerMemory());
    CHECK(whole.append(std::string(maxBytes / 4, 'x')));
    LONGS_EQUAL(0, metrics.counter("answers_cut_total", "no-memory"));
}

// Upstreams close the connection of an answer that stays unread. Without a length, that looks like
// its end; guards against a cut stream that its caller takes for complete.
TEST(SlowReader, AnUnframedStreamThatWasPausedForLongIsNotTakenForComplete)
{
    serve(4000, false);
    auto& slow = callWithoutSocket();
    runUntil([&] { return slow.unsentBytes() > ReadingPause::pauseBytes - FloodUpstream::eventBytes; });
    runFor(Milliseconds(1100));
    takeUntilEnd(slow);
    LONGS_EQUAL(1, flood->finished);
    CHECK_FALSE(slow.isFinished);
    CHECK(slow.isAborted);
}

// Guards against a pause that the limit on the time between two pieces ends as a stall.
TEST(SlowReader, APausedTransferHasNoTimeoutButItsEnd)
{
    FloodUpstream upstream(loop, 100, true);
    const auto fetch = [&](Milliseconds total) {
        const auto now = monotonicNow();
        std::optional<ExchangeEnd> end;
        ExchangeHandlers handlers;
        handlers.onEnd = [&end](ExchangeEnd reason) { end = reason; };
        const auto exchange = HttpExchange::start(loop, upstream.address(), { "GET", "/", {}, "" }, TransferLimits { now + total, now + total, Milliseconds(50), now + total }, handlers);
        exchange->pause();
        runUntil([&] { return end || monotonicNow() > now + Milliseconds(300); });
        exchange->resume();
        runUntil([&] { return end.has_value(); });
        return *end;
    };
    CHECK(ExchangeEnd::Complete == fetch(Milliseconds(10000)));
    CHECK(ExchangeEnd::Timeout == fetch(Milliseconds(200)));
}

TEST_GROUP(ReadingPause) {};

TEST(ReadingPause, ItPausesAboveOneBoundAndResumesBelowTheOther)
{
    ReadingPause pause;
    CHECK_FALSE(pause.update(ReadingPause::pauseBytes, 0, false, at(0)));
    CHECK(pause.update(ReadingPause::pauseBytes, 1, false, at(10)));
    CHECK_FALSE(pause.update(ReadingPause::resumeBytes, 0, false, at(20)));
    CHECK(pause.update(ReadingPause::resumeBytes - 1, 0, false, at(30)));
    CHECK_FALSE(pause.isPaused());
    LONGS_EQUAL(20, pause.pausedTime(at(50)).count());
    CHECK_FALSE(pause.mayHaveBeenCut(at(5000)));
    // Nothing would end a pause of a stream whose caller has taken all; its event has to become whole.
    CHECK_FALSE(pause.update(0, 2 * ReadingPause::pauseBytes, true, at(60)));
    CHECK(pause.update(1, 0, true, at(70)));
    CHECK_FALSE(pause.update(1, 0, true, at(80)));
    CHECK(pause.mayHaveBeenCut(at(1070)));
}
