#include "TestSupport.h"

#include <condition_variable>
#include <filesystem>
#include <hyssopwick_gateway.h>
#include <hyssopwick_transport.h>
#include <thread>

using namespace hyssopwick;

namespace {

constexpr std::size_t maxConnections = 16;
constexpr Milliseconds answerTimeout { 10'000 };
const std::string unfinishedHead = "POST /x HTTP/1.1\r\nHost: a.exam";

// Event loops have descriptors of other kinds, of which Pistache's threads keep some after a stop.
std::size_t openSockets()
{
    std::size_t count = 0;
    for (const auto& descriptor : std::filesystem::directory_iterator("/proc/self/fd")) {
        std::error_code closed; // the folder's own descriptor
        count += std::filesystem::read_symlink(descriptor.path(), closed).string().rfind("socket:", 0) == 0;
    }
    return count;
}

/// A client that is driven step by step.
class Client {
public:
    explicit Client(EventLoop& loop)
        : m_socket(loop, asio::ip::tcp::v4())
    {
    }

    Client(EventLoop& loop, const std::string& address)
        : Client(loop)
    {
        connect(address);
    }

    void connect(const std::string& address)
    {
        m_socket.connect(parseEndpoint(address).value());
        m_socket.non_blocking(true);
    }

    void close()
    {
        boost::system::error_code ignored;
        m_socket.close(ignored);
    }

    void send(const std::string& bytes)
    {
        boost::system::error_code ignored;
        asio::write(m_socket, asio::buffer(bytes), ignored);
    }

    /// Takes what has arrived.
    void read()
    {
        std::array<char, 4096> buffer;
        for (boost::system::error_code error; !isDisconnected;) {
            const auto size = m_socket.read_some(asio::buffer(buffer), error);
            received.append(buffer.data(), size);
            if (error == asio::error::would_block)
                return;
            isDisconnected = static_cast<bool>(error);
        }
    }

    std::string received;
    bool isDisconnected = false;

private:
    TcpSocket m_socket;
};

}

TEST_GROUP(HttpServer)
{
    EventLoop loop { 1 };
    std::mutex mutex;
    std::condition_variable wake;
    std::size_t arrived = 0;
    std::size_t holds = 0; // that release() has not ended
    std::vector<HttpResponderPointer> kept;
    std::unique_ptr<HttpServer> server;

    void start(unsigned threads, Milliseconds bodyTimeout = Milliseconds(20'000))
    {
        HttpServerOptions options;
        options.address = "127.0.0.1:0";
        options.threads = threads;
        options.bodyTimeout = bodyTimeout;
        options.budget.connections = maxConnections;
        server = std::make_unique<HttpServer>(options, [this](const HttpRequest& request, const HttpResponderPointer& responder) { handle(request, responder); });
        CHECK(server->start().has_value());
    }

    void teardown() override
    {
        while (holds > 0)
            release();
        kept.clear();
        server.reset();
    }

    // The thread that handles /hold does nothing else until the next release(); /keep is answered later.
    void handle(const HttpRequest& request, const HttpResponderPointer& responder)
    {
        std::unique_lock<std::mutex> lock(mutex);
        ++arrived;
        wake.notify_all();
        if (request.path == "/keep") {
            kept.push_back(responder);
            return;
        }
        if (request.path == "/hold") {
            const auto before = holds++;
            wake.wait(lock, [&] { return holds <= before; });
        }
        responder->send(200, request.path);
    }

    void release()
    {
        std::lock_guard<std::mutex> lock(mutex);
        --holds;
        wake.notify_all();
    }

    void awaitRequests(std::size_t count)
    {
        std::unique_lock<std::mutex> lock(mutex);
        CHECK(wake.wait_for(lock, answerTimeout, [&] { return arrived >= count; }));
    }

    static void awaitThat(Client & client, const std::function<bool()>& isTrue)
    {
        for (const auto deadline = monotonicNow() + answerTimeout; !isTrue() && monotonicNow() < deadline;) {
            std::this_thread::sleep_for(Milliseconds(5));
            client.read();
        }
        CHECK(isTrue());
    }

    static void awaitAnswer(Client & client, const std::string& text)
    {
        awaitThat(client, [&] { return client.received.find(text) != std::string::npos; });
    }

    // Until the server has accepted what it accepts.
    static std::size_t settledSockets()
    {
        constexpr Milliseconds quietTime { 300 };
        auto count = openSockets();
        for (auto quietSince = monotonicNow(); monotonicNow() < quietSince + quietTime;) {
            std::this_thread::sleep_for(Milliseconds(5));
            if (std::exchange(count, openSockets()) != count)
                quietSince = monotonicNow();
        }
        return count;
    }
};

// Load: more clients than the process has room for, while its threads are late. Guards against
// connections that are accepted before others were closed for them.
TEST(HttpServer, NoMoreConnectionsAreOpenThanAllowedWhileItsThreadsAreBusy)
{
    constexpr std::size_t clients = 100;
    start(1);
    const auto before = openSockets();
    Client held(loop, server->address());
    held.send("GET /hold HTTP/1.1\r\nHost: a\r\n\r\n");
    awaitRequests(1);
    std::vector<std::unique_ptr<Client>> crowd;
    for (std::size_t number = 0; number < clients; ++number) {
        crowd.push_back(std::make_unique<Client>(loop, server->address()));
        crowd.back()->send(unfinishedHead);
    }
    const auto open = settledSockets() - before - clients - 1;
    CHECK_TEXT(open <= maxConnections, std::to_string(open).c_str());
    release();
    awaitAnswer(held, "/hold");
    Client ordinary(loop, server->address());
    ordinary.send("GET /ordinary HTTP/1.1\r\nHost: a\r\n\r\n");
    awaitAnswer(ordinary, "/ordinary");
}

// Regression: Pistache addresses what it has to send by descriptor, and a new connection may have
// that of an earlier one.
TEST(HttpServer, AnAnswerWhoseClientHasLeftReachesNoOtherClient)
{
    constexpr Milliseconds eventTime { 100 }; // for the server's other threads
    start(1);
    Client leaving(loop, server->address());
    leaving.send("GET /keep HTTP/1.1\r\nHost: a\r\n\r\n");
    awaitRequests(1);
    Client second(loop, server->address());
    second.send("GET /second HTTP/1.1\r\nHost: a\r\n\r\n");
    awaitAnswer(second, "/second");
    Client other(loop); // its own descriptor is not that of the client that leaves
    Client first(loop, server->address());
    first.send("GET /hold HTTP/1.1\r\nHost: a\r\n\r\n");
    awaitRequests(3);
    // These wait for the only thread, which takes them in this order.
    leaving.close();
    std::this_thread::sleep_for(eventTime);
    second.send("GET /hold HTTP/1.1\r\nHost: a\r\n\r\n");
    std::this_thread::sleep_for(eventTime);
    Client idle(loop, server->address());
    std::this_thread::sleep_for(eventTime);
    kept.front()->send(200, "an answer for the client that has left");
    kept.clear();
    release();
    awaitRequests(4);
    other.connect(server->address());
    std::this_thread::sleep_for(eventTime);
    release();
    awaitAnswer(second, "/hold");
    other.send("GET /other HTTP/1.1\r\nHost: a\r\n\r\n");
    awaitAnswer(other, "/other");
    LONGS_EQUAL(std::string::npos, other.received.find("has left"));
}

TEST(HttpServer, ClientsAreTurnedAwayWhileAllConnectionsCarryAcceptedRequests)
{
    start(2);
    std::vector<std::unique_ptr<Client>> accepted;
    for (std::size_t number = 0; number < maxConnections; ++number) {
        accepted.push_back(std::make_unique<Client>(loop, server->address()));
        accepted.back()->send("GET /keep HTTP/1.1\r\nHost: a\r\n\r\n");
    }
    awaitRequests(maxConnections);
    Client further(loop, server->address());
    awaitThat(further, [&] { return further.isDisconnected; });
    for (const auto& responder : kept)
        responder->send(200, "kept");
    kept.clear();
    for (const auto& client : accepted)
        awaitAnswer(*client, "kept");
    Client later(loop, server->address());
    later.send("GET /ordinary HTTP/1.1\r\nHost: a\r\n\r\n");
    awaitAnswer(later, "/ordinary");
}

// Guards against a connection that is counted for ever, as the server would accept none at last.
TEST(HttpServer, ConnectionsLeaveRoomHoweverTheyEnd)
{
    start(2);
    const std::vector<std::string> requests = { "", unfinishedHead, "GET /whole HTTP/1.1\r\nHost: a\r\n\r\n", "no request\r\n\r\n",
        "POST /x HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n" };
    for (std::size_t round = 0; round < maxConnections * requests.size(); ++round) {
        Client client(loop, server->address());
        client.send(requests[round % requests.size()]);
        if (round % 2 == 0)
            client.read();
    }
    std::vector<std::unique_ptr<Client>> accepted;
    for (std::size_t number = 0; number < maxConnections; ++number) {
        accepted.push_back(std::make_unique<Client>(loop, server->address()));
        accepted.back()->send("GET /last HTTP/1.1\r\nHost: a\r\n\r\n");
    }
    for (const auto& client : accepted)
        awaitAnswer(*client, "/last");
}

TEST(HttpServer, ARequestThatIsNotCompleteInTimeIsEndedAndSaysSo)
{
    start(2, Milliseconds(300));
    Client client(loop, server->address());
    client.send(unfinishedHead);
    awaitThat(client, [&] { return client.isDisconnected; });
    STRCMP_CONTAINS("HTTP/1.1 408 ", client.received.c_str());
}

// Regression: only the first request of a connection had to be complete in time.
TEST(HttpServer, ALaterRequestOfAConnectionHasTheSameTime)
{
    start(2, Milliseconds(300));
    Client client(loop, server->address());
    client.send("GET /first HTTP/1.1\r\nHost: a\r\n\r\n");
    awaitAnswer(client, "/first");
    client.send(unfinishedHead);
    awaitThat(client, [&] { return client.isDisconnected; });
    STRCMP_CONTAINS("HTTP/1.1 408 ", client.received.c_str());
}

TEST(HttpServer, NeitherAnAnswerThatTakesLongNorAnIdleConnectionIsEnded)
{
    start(2, Milliseconds(300));
    Client client(loop, server->address());
    client.send("GET /keep HTTP/1.1\r\nHost: a\r\n\r\n");
    awaitRequests(1);
    std::this_thread::sleep_for(Milliseconds(1500));
    kept.front()->send(200, "kept");
    kept.clear();
    awaitAnswer(client, "kept");
    std::this_thread::sleep_for(Milliseconds(1500));
    client.send("GET /again HTTP/1.1\r\nHost: a\r\n\r\n");
    awaitAnswer(client, "/again");
    CHECK(client.received.find(" 408 ") == std::string::npos);
}

TEST(HttpServer, StoppingClosesAllConnections)
{
    const auto before = openSockets();
    start(2);
    {
        Client idle(loop, server->address());
        idle.send("GET /first HTTP/1.1\r\nHost: a\r\n\r\n");
        awaitAnswer(idle, "/first");
        Client unfinished(loop, server->address());
        unfinished.send(unfinishedHead);
        server->stop();
        awaitThat(idle, [&] { return idle.isDisconnected; });
        awaitThat(unfinished, [&] { return unfinished.isDisconnected; });
    }
    server.reset();
    CHECK_EQUAL(before, openSockets());
}
