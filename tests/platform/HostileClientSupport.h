#pragma once

#include "../HostileCrowd.h"
#include "FleetSupport.h"

namespace hyssopwick {

/// Upstream that reads each body and answers it with its size; on one path never, on another when it is told to.
class ConsumingUpstream {
public:
    static constexpr const char* silentPath = "/slow/";
    static constexpr const char* heldPath = "/q/held";

    explicit ConsumingUpstream(EventLoop& loop)
        : m_acceptor(loop, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
        accept();
    }

    ~ConsumingUpstream()
    {
        for (const auto& connection : m_connections)
            connection->socket.close();
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()); }

    /// Returns the size of the longest body that arrived whole.
    std::size_t longestBody() const { return m_longestBody; }

    /// Returns the fields and the request line of the latest request.
    const std::string& lastHead() const { return m_lastHead; }

    std::size_t heldRequests() const { return m_held.size(); }

    void answerHeld()
    {
        for (const auto& connection : std::exchange(m_held, {}))
            respond(connection);
    }

private:
    struct Connection {
        explicit Connection(TcpSocket accepted)
            : socket(std::move(accepted))
        {
        }
        TcpSocket socket;
        std::string head;
        std::size_t bodyBytes = 0;
        std::size_t expectedBytes = 0;
        std::string answer;
        std::array<char, 65536> buffer;
    };
    using ConnectionPointer = std::shared_ptr<Connection>;

    void accept()
    {
        m_acceptor.async_accept([this](boost::system::error_code error, TcpSocket socket) {
            if (error)
                return;
            const auto connection = std::make_shared<Connection>(std::move(socket));
            m_connections.insert(connection);
            read(connection);
            accept();
        });
    }

    void read(const ConnectionPointer& connection)
    {
        connection->socket.async_read_some(asio::buffer(connection->buffer), [this, connection](boost::system::error_code error, std::size_t size) {
            if (error) {
                connection->socket.close(error);
                m_connections.erase(connection);
                return;
            }
            receive(connection, { connection->buffer.data(), size });
        });
    }

    void receive(const ConnectionPointer& connection, std::string_view bytes)
    {
        if (connection->expectedBytes == 0 && connection->bodyBytes == 0) {
            connection->head.append(bytes);
            const auto end = connection->head.find("\r\n\r\n");
            if (end == std::string::npos)
                return read(connection);
            const std::string name = "Content-Length: ";
            const auto length = connection->head.find(name);
            connection->expectedBytes = length < end ? std::stoull(connection->head.substr(length + name.size())) : 0;
            connection->bodyBytes = connection->head.size() - end - 4;
            connection->head.resize(end);
        } else {
            connection->bodyBytes += bytes.size();
        }
        if (connection->bodyBytes < connection->expectedBytes)
            return read(connection);
        m_longestBody = std::max(m_longestBody, connection->bodyBytes);
        m_lastHead = connection->head;
        if (m_lastHead.find(heldPath) != std::string::npos)
            m_held.push_back(connection);
        else if (m_lastHead.find(silentPath) == std::string::npos)
            respond(connection);
        read(connection);
    }

    static std::string fieldOf(const std::string& head, const std::string& name)
    {
        const auto begin = head.find(name + ": ");
        return begin == std::string::npos ? "" : head.substr(begin + name.size() + 2, head.find("\r\n", begin) - begin - name.size() - 2);
    }

    static void respond(const ConnectionPointer& connection)
    {
        const auto body = std::to_string(connection->bodyBytes);
        connection->answer = "HTTP/1.1 200 OK\r\nServer-Seal: s\r\nRequest-Id: " + fieldOf(connection->head, "Request-Id") + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        connection->head.clear();
        connection->bodyBytes = connection->expectedBytes = 0;
        asio::async_write(connection->socket, asio::buffer(connection->answer), [connection](boost::system::error_code, std::size_t) {});
    }

    asio::ip::tcp::acceptor m_acceptor;
    std::set<ConnectionPointer> m_connections;
    std::vector<ConnectionPointer> m_held;
    std::size_t m_longestBody = 0;
    std::string m_lastHead;
};

/// An entry or an agent for the platform as a process, with a store, a plain upstream and limits
/// that are far below those of a real VM.
class HostileClientGroup : public Utest {
protected:
    static constexpr std::size_t memoryMegabytes = 64;
    static constexpr std::size_t memoryBytes = memoryMegabytes << 20;
    static constexpr std::size_t descriptors = 512;
    // The platform reserves the rest for files.
    static constexpr std::size_t socketDescriptors = descriptors - 200;
    static constexpr std::size_t bodyBytes = std::size_t(1) << 20; // allowed by the configuration
    static constexpr std::size_t defaultBodyBytes = std::size_t(4) << 20; // on the other addresses
    static constexpr const char* pathVariable = "HYSSOPWICK_BOOT";
    static constexpr std::uint16_t internalPort = 21761;
    static constexpr std::uint16_t metricsPort = 21762;
    static constexpr std::uint16_t callerPort = 21763;
    static constexpr std::uint16_t directoryPort = 21764;
    static constexpr std::uint16_t readyPort = 21765;

    void setup() override
    {
        raiseOwnDescriptorLimit();
        store.set("op/config", Fleet::base64(R"({"version":1,"routes":[{"name":"q","host":"a.example","prefix":"/q/","kind":"safe","timeoutMs":30000,"goalMs":2000,"service":"d","attempts":1},{"name":"slow","host":"a.example","prefix":"/slow/","kind":"unsafe","timeoutMs":60000,"goalMs":2000,"service":"d","attempts":1}],"services":[{"name":"d","maxConns":10000}],"tenants":[{"name":"carrier","keys":["key"]}],"limits":{"headerBytes":16384,"bodyBytes":)" + std::to_string(bodyBytes) + R"(,"headerTimeoutMs":60000,"idleTimeoutMs":60000}})"));
        store.set("servers/i-1", Fleet::base64(R"({"service":"d","address":")" + upstream.address() + R"(","zone":"north-a","slots":10000,"state":"ready"})"));
    }

    void startEntry()
    {
        process = std::make_unique<ProgramProcess>("hyssopwick-platform-entry", settings(R"(front = ")" + at(callerPort) + "\"\nready = \"" + at(readyPort) + "\"\ndirectory = \"" + at(directoryPort) + "\"\n"), descriptors, pathVariable);
        CHECK(isAnswered(loop, at(callerPort), ordinaryCall(), 200));
    }

    void startAgent()
    {
        process = std::make_unique<ProgramProcess>("hyssopwick-platform-agent", settings(""), descriptors, pathVariable);
        CHECK(isAnswered(loop, at(metricsPort), { "GET", "/metrics", {}, "" }, 200));
    }

    /// Lets a crowd send its requests to a port of the running process, and checks what has to hold.
    void withstand(std::uint16_t port, std::size_t clients, const HostileRequest& request)
    {
        HostileCrowd crowd(loop, at(port), clients, request);
        crowd.settle();
        check(port, "while the crowd is connected");
        crowd.settle();
        check(port, "some time later");
    }

    void runUntil(const std::function<bool()>& isDone)
    {
        // The upper bound only ends a failing test.
        for (const auto deadline = monotonicNow() + Milliseconds(20000); !isDone() && monotonicNow() < deadline;)
            loop.run_one_for(Milliseconds(5));
        CHECK(isDone());
    }

    std::string at(std::uint16_t port) const { return ip + ":" + std::to_string(port); }

    static HttpCall ordinaryCall()
    {
        return { "POST", "/q/a", { { "Host", "a.example" }, { "Request-Id", "00000000000000aa" }, { "Authorization", "Bearer key" }, { "Deadline-Ms", "20000" } }, "ordinary" };
    }

    void check(std::uint16_t port, const char* when)
    {
        const auto text = [&](const std::string& what) { return "port " + std::to_string(port) + ", " + when + ": " + what; };
        CHECK_TEXT(process->isRunning(), text("the process has ended").c_str());
        const auto [call, status] = ordinaryCallTo(port);
        CHECK_TEXT(isAnswered(loop, at(port), call, status), text("an ordinary request is not answered").c_str());
        CHECK_TEXT(process->isRunning(), text("the process has ended").c_str());
        const auto memory = process->peakMemory();
        CHECK_TEXT(memory <= memoryBytes, text(std::to_string(memory >> 20) + " MiB of " + std::to_string(memoryMegabytes)).c_str());
        const auto open = process->openDescriptors();
        CHECK_TEXT(open <= socketDescriptors, text(std::to_string(open) + " descriptors").c_str());
    }

    EventLoop loop { 1 };
    FleetStore store { loop };
    ConsumingUpstream upstream { loop };
    std::unique_ptr<ProgramProcess> process;
    const std::string ip = loopbackIp(201);

private:
    std::pair<HttpCall, unsigned> ordinaryCallTo(std::uint16_t port) const
    {
        switch (port) {
        case callerPort:
            return { ordinaryCall(), 200 };
        case directoryPort:
            return { { "GET", "/-/resolve?name=a.example&region=north&zone=north-a", {}, "" }, 200 };
        case readyPort:
            return { { "GET", "/-/ready", {}, "" }, 200 };
        case metricsPort:
            return { { "GET", "/metrics", {}, "" }, 200 };
        default:
            return { { "GET", "/none", {}, "" }, 404 };
        }
    }

    std::string settings(const std::string& listen) const
    {
        const auto limits = "memoryMb = " + std::to_string(memoryMegabytes) + "\nmaxFds = " + std::to_string(descriptors) + "\n";
        return "node = \"vm-1\"\nip = \"" + ip + "\"\nregion = \"north\"\nzone = \"north-a\"\ninternalPorts = [" + std::to_string(internalPort) + "," + std::to_string(metricsPort)
            + "]\napp = \"127.0.0.1:1\"\nservice = \"d\"\n[zones]\nnorth-a = \"north\"\n[listen]\n" + listen + "[limits]\n" + limits + "[platform]\naddress = \"" + store.address() + "\"\n";
    }
};

}
