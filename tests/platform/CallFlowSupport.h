#pragma once

#include "../TestSupport.h"

#include <PlatformAdapter.h>
#include <hyssopwick_gateway.h>

namespace hyssopwick {

/// Upstream on a loopback port that sends one scripted answer per connection.
class ScriptedUpstream {
public:
    explicit ScriptedUpstream(EventLoop& loop)
        : m_acceptor(loop, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
        accept();
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()); }

    // Adds the bytes of an answer, after which the connection is closed, or reset.
    void answer(const std::string& bytes, bool isReset = false) { m_answers.emplace_back(bytes, isReset); }

    void clearAnswers() { m_answers.clear(); }

    const std::vector<std::string>& requests() const { return m_requests; }

private:
    struct Connection {
        explicit Connection(TcpSocket accepted)
            : socket(std::move(accepted))
        {
        }
        TcpSocket socket;
        std::string read;
        std::array<char, 4096> buffer;
    };

    void accept()
    {
        m_acceptor.async_accept([this](boost::system::error_code error, TcpSocket socket) {
            if (error)
                return;
            readRequest(std::make_shared<Connection>(std::move(socket)));
            accept();
        });
    }

    void readRequest(const std::shared_ptr<Connection>& connection)
    {
        connection->socket.async_read_some(asio::buffer(connection->buffer), [this, connection](boost::system::error_code error, std::size_t size) {
            if (error)
                return;
            connection->read.append(connection->buffer.data(), size);
            const auto headEnd = connection->read.find("\r\n\r\n");
            const auto length = connection->read.find("Content-Length: ");
            const auto body = length == std::string::npos ? 0 : std::stoul(connection->read.substr(length + 16));
            if (headEnd == std::string::npos || connection->read.size() < headEnd + 4 + body)
                return readRequest(connection);
            m_requests.push_back(connection->read);
            if (m_answers.empty())
                return waitForDisconnect(connection);
            const auto answer = m_answers.front();
            m_answers.erase(m_answers.begin());
            boost::system::error_code ignored;
            asio::write(connection->socket, asio::buffer(answer.first), ignored);
            if (answer.second)
                connection->socket.set_option(asio::socket_base::linger(true, 0), ignored);
            connection->socket.close(ignored);
        });
    }

    // Sends no answer and counts the connection when the peer disconnects.
    void waitForDisconnect(const std::shared_ptr<Connection>& connection)
    {
        connection->socket.async_read_some(asio::buffer(connection->buffer), [this, connection](boost::system::error_code error, std::size_t) {
            if (error)
                ++m_disconnects;
        });
    }

    asio::ip::tcp::acceptor m_acceptor;
    std::vector<std::pair<std::string, bool>> m_answers;
    std::vector<std::string> m_requests;

public:
    int m_disconnects = 0;
};

/// Records what is sent to the caller.
class RecordedExchange : public ServerExchange {
public:
    explicit RecordedExchange(ServerRequest request)
        : m_request(std::move(request))
    {
    }

    const ServerRequest& request() const override { return m_request; }
    void respond(unsigned code, HeaderFields answerFields, std::string answerBody) override
    {
        CHECK_FALSE(hasEnded || isStream); // one answer, and none within a stream
        status = code;
        fields = std::move(answerFields);
        body = std::move(answerBody);
        hasEnded = true;
    }
    void startStream(unsigned code, HeaderFields answerFields) override
    {
        CHECK_FALSE(hasEnded || isStream);
        status = code;
        fields = std::move(answerFields);
        isStream = true;
    }
    void write(std::string data) override { body += data; }
    void finish() override
    {
        hasEnded = true;
        isFinished = true;
    }
    void abort() override
    {
        hasEnded = true;
        isAborted = true;
    }
    void onCallerLeft(std::function<void()> handler) override { m_onCallerLeft = std::move(handler); }
    void onDone(std::function<void()>) override { }

    void disconnectCaller() { m_onCallerLeft(); }

    unsigned status = 0;
    HeaderFields fields;
    std::string body;
    bool isStream = false;
    bool hasEnded = false;
    bool isFinished = false;
    bool isAborted = false;

private:
    ServerRequest m_request;
    std::function<void()> m_onCallerLeft;
};

inline const std::string okHead = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Seal: s1\r\n";
inline const std::string notExecuted = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";

/// Returns one chunk of a body in chunked transfer coding.
inline std::string chunk(const std::string& text)
{
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
}

/// Fixture with one route to two upstreams of a plain service.
struct CallFlowGroup : public Utest {
    EventLoop loop { 1 };
    std::vector<std::string> lines;
    EventLog log { "test", [this](const std::string& line) { lines.push_back(line); } };
    MetricsRegistry metrics;
    ProcessDescription description = [] {
        ProcessDescription result;
        result.node = "entry";
        result.ip = "127.0.0.1";
        result.region = "north";
        result.failureDomain = "north-a";
        result.internalPort = 1;
        return result;
    }();
    GatewayContext context { loop, description, platform::platformPorts(), log, metrics, 1 };
    EntryServices services { context };
    ScriptedUpstream first { loop };
    ScriptedUpstream second { loop };
    DeploymentConfiguration configuration;
    std::string tokenCounts; // header value: tokens of the prompt and maximum tokens of the answer; not sent when empty
    std::shared_ptr<CallFlow> flow;
    std::shared_ptr<RecordedExchange> exchange;

    void setup() override
    {
        configuration.version = 1;
        ServiceDescription service;
        service.name = "plain";
        configuration.services["plain"] = service;
        configuration.accounts = { { "carrier", { "secret-key" }, std::nullopt } };
    }

    void route(CallKind kind, unsigned maxUpstreams, bool isResumable)
    {
        configure(kind, maxUpstreams, isResumable);
        registerUpstream("i-1", first.address());
        registerUpstream("i-2", second.address());
    }

    void configure(CallKind kind, unsigned maxUpstreams, bool isResumable)
    {
        CallRoute route;
        route.name = "route";
        route.host = "a.example";
        route.pathPrefix = "/x/";
        route.kind = kind;
        route.maxUpstreams = maxUpstreams;
        route.isResumable = isResumable;
        route.answerTimeout = Milliseconds(2000);
        route.targets = { { "plain", 1 } };
        configuration.routes = { route };
        services.setConfiguration(configuration);
    }

    void registerUpstream(const std::string& id, const std::string& address)
    {
        Upstream registered;
        registered.id = id;
        registered.service = "plain";
        registered.address = address;
        registered.failureDomain = "north-a";
        services.setUpstream(registered);
        services.refresh();
    }

    void send(const std::string& key = "secret-key")
    {
        ServerRequest request;
        request.method = "POST";
        request.target = "/x/book?b=2&a=1&a=3";
        request.host = "a.example";
        request.fields = { { "Host", "a.example" }, { "Request-Id", "r1" }, { "Deadline-Ms", "1500" }, { "Tenant", "forged" }, { "Connection", "x-hop" }, { "X-Hop", "1" }, { "X-Kept", "1" } };
        if (!tokenCounts.empty())
            request.fields.emplace_back("Token-Counts", tokenCounts);
        if (!key.empty())
            request.fields.emplace_back("Authorization", "Bearer " + key);
        request.body = "body";
        request.receivedAt = monotonicNow();
        exchange = std::make_shared<RecordedExchange>(std::move(request));
        flow = std::make_shared<CallFlow>(
            services, exchange, [](const std::string&) {}, [](CallFlow*) {});
        flow->start();
    }

    // Runs the loop until the caller has its answer, at the latest after the route's answerTimeout.
    void finish()
    {
        while (!exchange->hasEnded)
            loop.run_one();
    }

    std::size_t requestCount() const { return first.requests().size() + second.requests().size(); }

    // Adds an answer to both upstreams, since either may be asked first.
    void answerBoth(const std::string& bytes, bool isReset = false)
    {
        first.answer(bytes, isReset);
        second.answer(bytes, isReset);
    }
};

}
