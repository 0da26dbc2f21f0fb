#include "../TestSupport.h"
#include "StopSupport.h"

using namespace hyssopwick;

namespace {

/// The store and the upstream of an entry VM. A stream has an event every 100 ms, a whole answer takes as long as one.
class AnsweringPlatform {
public:
    AnsweringPlatform(EventLoop& loop, unsigned eventCount)
        : m_loop(loop)
        , m_eventCount(eventCount)
        , m_acceptor(loop, asio::ip::tcp::endpoint(ipAddress(ownIp), platformPort))
    {
        accept();
    }

    /// Returns whether the entry has read the store.
    bool isWatched() const { return m_isWatched; }

    /// Returns the ids of the requests that reached the upstream.
    const std::set<std::string>& ran() const { return m_ran; }

private:
    struct Connection : std::enable_shared_from_this<Connection> {
        Connection(EventLoop& loop, TcpSocket accepted)
            : socket(std::move(accepted))
            , timer(loop)
        {
        }
        TcpSocket socket;
        LoopTimer timer;
        std::string read;
        std::array<char, 4096> buffer;
    };

    void accept()
    {
        m_acceptor.async_accept([this](boost::system::error_code error, TcpSocket socket) {
            if (error)
                return;
            readHead(std::make_shared<Connection>(m_loop, std::move(socket)));
            accept();
        });
    }

    void readHead(const std::shared_ptr<Connection>& connection)
    {
        connection->socket.async_read_some(asio::buffer(connection->buffer), [this, connection](boost::system::error_code error, std::size_t size) {
            if (error)
                return;
            connection->read.append(connection->buffer.data(), size);
            if (connection->read.find("\r\n\r\n") == std::string::npos)
                return readHead(connection);
            serve(connection);
        });
    }

    void serve(const std::shared_ptr<Connection>& connection)
    {
        const auto begin = connection->read.find(' ') + 1;
        const auto target = connection->read.substr(begin, connection->read.find(' ', begin) - begin);
        const auto startsWith = [&target](const char* prefix) { return target.rfind(prefix, 0) == 0; };
        if (startsWith("/stream/") || startsWith("/whole/"))
            return run(connection, startsWith("/stream/") ? m_eventCount : 0);
        if (startsWith("/-/kv-watch")) {
            m_isWatched = true;
            return readHead(connection); // until the entry disconnects
        }
        send(connection, response(storeAnswer(target)));
        connection->read.clear();
        readHead(connection);
    }

    static std::string storeAnswer(const std::string& target)
    {
        if (target.rfind("/-/kv-lease", 0) == 0)
            return R"({"lease":7,"ttlMs":30000})";
        if (target.rfind("/-/kv-range", 0) != 0)
            return R"({"revision":6})";
        const std::string routes = R"([{"name":"s","host":"h","prefix":"/stream/","kind":"stream","canResume":true,"timeoutMs":6000,"goalMs":1,"gapGoalMs":400,"service":"s","attempts":1,"anonymous":true},)"
                                   R"({"name":"w","host":"h","prefix":"/whole/","kind":"safe","timeoutMs":6000,"goalMs":1,"service":"s","attempts":1,"anonymous":true}])";
        return storePage("items", 5, { { "op/config", R"({"version":1,"routes":)" + routes + R"(,"services":[{"name":"s"}]})" }, { "servers/i-1", R"({"service":"s","address":")" + platformAddress() + R"(","zone":"north-a","slots":100,"state":"ready"})" } });
    }

    static std::string response(const std::string& body) { return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body; }

    void run(const std::shared_ptr<Connection>& connection, unsigned events)
    {
        const auto name = std::string("Request-Id: ");
        const auto begin = connection->read.find(name) + name.size();
        const auto id = connection->read.substr(begin, connection->read.find('\r', begin) - begin);
        m_ran.insert(id);
        const auto head = "HTTP/1.1 200 OK\r\nServer-Seal: s1\r\n" + name + id + "\r\n";
        if (events == 0)
            return sendLater(connection, head + "Content-Length: 2\r\n\r\nok", nullptr);
        send(connection, head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        sendEvents(connection, 1, events);
    }

    void sendEvents(const std::shared_ptr<Connection>& connection, unsigned number, unsigned last)
    {
        const auto text = "id: " + std::to_string(number) + "\ndata: x\n\n";
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", text.size());
        sendLater(connection, size + text + "\r\n" + (number == last ? "0\r\n\r\n" : ""), [this, connection, number, last] {
            if (number < last)
                sendEvents(connection, number + 1, last);
        });
    }

    void sendLater(const std::shared_ptr<Connection>& connection, const std::string& bytes, std::function<void()> next)
    {
        connection->timer.expires_after(eventPeriod);
        connection->timer.async_wait([this, connection, bytes, next = std::move(next)](boost::system::error_code error) {
            if (error || !send(connection, bytes))
                return;
            if (next)
                next();
        });
    }

    static bool send(const std::shared_ptr<Connection>& connection, const std::string& bytes)
    {
        boost::system::error_code error;
        asio::write(connection->socket, asio::buffer(bytes), error);
        return !error;
    }

    static constexpr Milliseconds eventPeriod { 100 };

    EventLoop& m_loop;
    const unsigned m_eventCount;
    asio::ip::tcp::acceptor m_acceptor;
    std::set<std::string> m_ran;
    bool m_isWatched = false;
};

/// A caller that connects at once and sends its request when it is told to.
class StoppedEntrysCaller {
public:
    explicit StoppedEntrysCaller(EventLoop& loop)
        : m_socket(loop)
    {
        m_socket.connect({ ipAddress(ownIp), callerPort });
    }

    void send(const std::string& path, const std::string& id, int timeoutMilliseconds)
    {
        m_id = id;
        boost::system::error_code error;
        const auto request = "POST " + path + " HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id + "\r\nDeadline-Ms: " + std::to_string(timeoutMilliseconds) + "\r\nContent-Length: 0\r\n\r\n";
        asio::write(m_socket, asio::buffer(request), error);
        m_hasEnded = bool(error);
        if (!error)
            read();
    }

    const std::string& id() const { return m_id; }
    bool hasEnded() const { return m_hasEnded; }
    bool isRefusal() const { return m_answer.rfind("HTTP/1.1 503", 0) == 0 && hasWholeAnswer(); }

    bool hasWholeAnswer() const
    {
        const auto headEnd = m_answer.find("\r\n\r\n");
        if (headEnd == std::string::npos)
            return false;
        const std::string name = "Content-Length: ";
        const auto length = m_answer.find(name);
        if (length < headEnd)
            return m_answer.size() == headEnd + 4 + std::stoul(m_answer.substr(length + name.size()));
        const std::string end = "0\r\n\r\n";
        return m_answer.size() >= end.size() && m_answer.compare(m_answer.size() - end.size(), end.size(), end) == 0;
    }

private:
    void read()
    {
        m_socket.async_read_some(asio::buffer(m_buffer), [this](boost::system::error_code error, std::size_t size) {
            m_answer.append(m_buffer.data(), size);
            m_hasEnded = error || hasWholeAnswer();
            if (!m_hasEnded)
                read();
        });
    }

    TcpSocket m_socket;
    std::string m_id;
    std::string m_answer;
    std::array<char, 4096> m_buffer;
    bool m_hasEnded = false;
};

}

TEST_GROUP(PlannedStop)
{
    static constexpr Milliseconds stopBound { 2500 };
    static constexpr Milliseconds pollPeriod { 5 };

    EventLoop loop { 1 };
    ChildProcess child;

    void teardown() override { child.kill(); }

    static ProcessDescription describeEntry()
    {
        ProcessDescription description;
        description.node = "entry";
        description.ip = ownIp;
        description.region = "north";
        description.failureDomain = "north-a";
        description.regionOfFailureDomain = { { "north-a", "north" } };
        description.internalPort = internalPort;
        description.metricsPort = metricsPort;
        description.storeAddress = platformAddress();
        description.callerAddress = std::string(ownIp) + ":" + std::to_string(callerPort);
        description.stopBound = stopBound;
        return description;
    }

    void startEntry(AnsweringPlatform & platform)
    {
        child.start([] {
            auto ports = platform::platformPorts();
            ports.readSettings = [] { return Outcome<ProcessDescription>(describeEntry()); };
            return runGateway("entry", ports, [](GatewayContext& context) { return std::make_unique<EntryGateway>(context); });
        });
        CHECK(child.runUntil(loop, [&platform] { return platform.isWatched(); }));
    }

    void runFor(Milliseconds time)
    {
        for (const auto until = monotonicNow() + time; monotonicNow() < until;)
            loop.run_one_for(pollPeriod);
    }

    void waitForEnd()
    {
        LONGS_EQUAL(0, child.waitForEnd([this] { loop.poll(); }));
        runFor(Milliseconds(100));
    }
};

// Guards against a stream that a stopping entry accepts and cuts when its time to stop ends (issue 49).
TEST(PlannedStop, AStreamThatMayOutlastTheStopIsNotAcceptedAndCut)
{
    AnsweringPlatform platform(loop, 14);
    startEntry(platform);
    child.signal(SIGTERM);
    runFor(Milliseconds(1000));
    StoppedEntrysCaller caller(loop);
    caller.send("/stream/a", "r1", 2000);
    waitForEnd();
    CHECK(caller.hasWholeAnswer());
    CHECK(caller.isRefusal());
}

TEST(PlannedStop, AStreamThatEndsBeforeTheStopIsServedWhole)
{
    AnsweringPlatform platform(loop, 4);
    startEntry(platform);
    StoppedEntrysCaller early(loop);
    early.send("/stream/a", "r1", 6000);
    CHECK(child.runUntil(loop, [&platform] { return !platform.ran().empty(); }));
    child.signal(SIGTERM);
    runFor(Milliseconds(100));
    StoppedEntrysCaller late(loop);
    late.send("/stream/b", "r2", 1500);
    waitForEnd();
    CHECK(early.hasWholeAnswer());
    CHECK(late.hasWholeAnswer());
    LONGS_EQUAL(2, platform.ran().size());
}

// Guards against a call that is accepted in the last moment before the process exits (issue 49).
TEST(PlannedStop, ACallThatArrivesRightBeforeTheExitIsAnsweredOrNotRun)
{
    AnsweringPlatform platform(loop, 1);
    std::unique_ptr<StoppedEntrysCaller> caller;
    EventLog log("entry", [&caller](const std::string& line) {
        if (line.find("event=entry.stopped") != std::string::npos)
            caller->send("/whole/a", "r1", 200);
    });
    MetricsRegistry metrics;
    GatewayContext context { loop, describeEntry(), platform::platformPorts(), log, metrics, 1 };
    {
        EntryGateway entry(context);
        CHECK(entry.start().has_value());
        while (!platform.isWatched())
            loop.run_one();
        entry.stop();
        caller = std::make_unique<StoppedEntrysCaller>(loop);
        loop.run(); // until the entry stops it
    }
    loop.restart();
    runFor(Milliseconds(200));
    CHECK(platform.ran().empty() || caller->hasWholeAnswer());
}
