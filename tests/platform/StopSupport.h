#pragma once

#include "../TestSupport.h"

#include <PlatformAdapter.h>
#include <csignal>
#include <fcntl.h>
#include <hyssopwick_gateway.h>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>
#include <sys/wait.h>
#include <unistd.h>

namespace hyssopwick {

// Below the ephemeral range, so that the system does not assign them to other sockets.
constexpr std::uint16_t internalPort = 21731;
constexpr std::uint16_t metricsPort = 21732;
constexpr std::uint16_t platformPort = 21733;
constexpr std::uint16_t callerPort = 21734;
constexpr const char* ownIp = "127.0.0.1";
constexpr const char* peerIp = "127.0.0.2";

inline std::string platformAddress() { return std::string(ownIp) + ":" + std::to_string(platformPort); }

/// Describes an agent whose store and engine are one server on the same address.
inline ProcessDescription describeAgent(const std::string& ip)
{
    ProcessDescription description;
    description.node = "agent";
    description.ip = ip;
    description.region = "north";
    description.failureDomain = "north-a";
    description.internalPort = internalPort;
    description.metricsPort = metricsPort;
    description.storeAddress = description.engineAddress = ip + ":" + std::to_string(platformPort);
    description.engineService = "s";
    return description;
}

/// Returns whether an order lets an engine give up its weights, and does not load any.
inline bool isRetirement(const std::string& order) { return nlohmann::json::parse(order).value("target", -1) == 0; }

inline asio::ip::address_v4 ipAddress(const char* ip) { return asio::ip::make_address_v4(ip); }

/// Child process for code that may be ended by a signal.
class ChildProcess {
public:
    /// Starts a process that runs \p run and exits with its result.
    void start(const std::function<int()>& run)
    {
        m_id = fork();
        if (m_id != 0)
            return;
        // The event log makes its output non-blocking; standard output is shared with the tests.
        dup2(open("/dev/null", O_WRONLY | O_CLOEXEC), STDOUT_FILENO);
        _exit(run());
    }

    /// Runs \p loop until \p isDone. Returns false when the process ends first, or at a
    /// timeout.
    bool runUntil(EventLoop& loop, const std::function<bool()>& isDone)
    {
        for (const auto deadline = monotonicNow() + timeout; !isDone();) {
            if (monotonicNow() > deadline || hasEnded())
                return false;
            loop.run_one_for(pollPeriod);
        }
        return true;
    }

    void signal(int number) const { ::kill(m_id, number); }

    /// Returns the exit code, the negative number of the signal that ended the process, or
    /// "still running" at a timeout. \param poll  called repeatedly while waiting
    int waitForEnd(const std::function<void()>& poll)
    {
        for (const auto deadline = monotonicNow() + timeout; !hasEnded() && monotonicNow() < deadline;) {
            poll();
            usleep(static_cast<useconds_t>(std::chrono::microseconds(pollPeriod).count()));
        }
        if (!m_hasEnded)
            return stillRunning;
        return WIFEXITED(m_status) ? WEXITSTATUS(m_status) : -WTERMSIG(m_status);
    }

    void kill()
    {
        if (m_id <= 0 || hasEnded())
            return;
        signal(SIGKILL);
        waitpid(m_id, nullptr, 0);
    }

private:
    static constexpr int stillRunning = 1000;
    // Upper bound that only ends a failing test; passing tests wait for events, not for a time.
    static constexpr Milliseconds timeout { 40000 };
    static constexpr Milliseconds pollPeriod { 5 };

    bool hasEnded()
    {
        m_hasEnded = m_hasEnded || waitpid(m_id, &m_status, WNOHANG) == m_id;
        return m_hasEnded;
    }

    pid_t m_id = -1;
    int m_status = 0;
    bool m_hasEnded = false;
};

/// Server that answers requests by their targets, or leaves them pending.
class PendingRequestServer {
public:
    /// Returns the body of the answer, or nothing to leave the request pending.
    using Handler = std::function<std::optional<std::string>(const std::string& target)>;

    PendingRequestServer(EventLoop& loop, const char* ip, std::uint16_t port, Handler handler)
        : m_acceptor(loop, asio::ip::tcp::endpoint(ipAddress(ip), port))
        , m_handler(std::move(handler))
    {
        accept();
    }

    /// Returns whether a request whose target starts with \p prefix is pending on an open
    /// connection.
    bool isPending(const std::string& prefix) const { return findPending(prefix) != nullptr; }

    /// Answers a pending request.
    void complete(const std::string& prefix, const std::string& body)
    {
        if (auto* connection = findPending(prefix))
            answer(*connection, body);
    }

private:
    struct Connection : std::enable_shared_from_this<Connection> {
        explicit Connection(TcpSocket accepted)
            : socket(std::move(accepted))
        {
        }
        TcpSocket socket;
        std::string read;
        std::string target;
        std::string response;
        std::array<char, 65536> buffer;
    };

    Connection* findPending(const std::string& prefix) const
    {
        for (const auto& connection : m_pending) {
            if (connection->target.compare(0, prefix.size(), prefix) == 0)
                return connection.get();
        }
        return nullptr;
    }

    void accept()
    {
        m_acceptor.async_accept([this](boost::system::error_code error, TcpSocket socket) {
            if (error)
                return;
            readHead(std::make_shared<Connection>(std::move(socket)));
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
            const auto begin = connection->read.find(' ') + 1;
            connection->target = connection->read.substr(begin, connection->read.find(' ', begin) - begin);
            const auto body = m_handler(connection->target);
            if (body)
                return answer(*connection, *body);
            m_pending.insert(connection);
            keepPending(connection);
        });
    }

    void answer(Connection& connection, const std::string& body)
    {
        connection.response = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        asio::async_write(connection.socket, asio::buffer(connection.response), [self = connection.shared_from_this()](boost::system::error_code, std::size_t) {});
    }

    void keepPending(const std::shared_ptr<Connection>& connection)
    {
        connection->socket.async_read_some(asio::buffer(connection->buffer), [this, connection](boost::system::error_code error, std::size_t) {
            if (!error)
                return keepPending(connection);
            m_pending.erase(connection);
        });
    }

    asio::ip::tcp::acceptor m_acceptor;
    Handler m_handler;
    std::set<std::shared_ptr<Connection>> m_pending;
};

/// Sends one request and counts the bytes received; reads while the loop runs.
class SlowReader {
public:
    SlowReader(EventLoop& loop, std::uint16_t port, const std::string& target)
        : m_socket(loop)
        , m_request("GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n")
    {
        m_socket.connect({ ipAddress(ownIp), port });
        asio::write(m_socket, asio::buffer(m_request));
        read();
    }

    std::size_t received() const { return m_received; }

private:
    void read()
    {
        m_socket.async_read_some(asio::buffer(m_buffer), [this](boost::system::error_code error, std::size_t size) {
            m_received += size;
            if (!error)
                read();
        });
    }

    TcpSocket m_socket;
    std::string m_request;
    std::array<char, 4096> m_buffer;
    std::size_t m_received = 0;
};

/// Returns a page of the store. \param records  keys and JSON values
inline std::string storePage(const char* listName, std::uint64_t revision, const std::vector<std::pair<std::string, std::string>>& records)
{
    auto items = nlohmann::json::array();
    for (const auto& [key, value] : records) {
        std::string text(value.size() * 2 + 4, '\0');
        text.resize(static_cast<std::size_t>(EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()), reinterpret_cast<const unsigned char*>(value.data()), static_cast<int>(value.size()))));
        items.push_back({ { "key", key }, { "value", text }, { "revision", revision } });
    }
    return nlohmann::json { { listName, items }, { "at", revision } }.dump();
}

/// The store, the engine, the origin and a peer of an agent. Uploading and staging of version
/// 2 never end; then version 3 is published, of which nothing arrives.
class RolloutScenario {
public:
    explicit RolloutScenario(EventLoop& loop)
        : m_loop(loop)
        , m_platform(loop, ownIp, platformPort, [this](const std::string& target) { return answer(target); })
        , m_peer(loop, peerIp, internalPort, [this](const std::string& target) { return answer(target); })
        , m_peerSocket(loop, asio::ip::udp::endpoint(ipAddress(peerIp), internalPort))
    {
    }

    /// Returns whether the agent is uploading, staging, pulling, watching and polling now.
    bool isBusy() const { return isWorking() && m_platform.isPending("/-/report"); }

private:
    static constexpr std::size_t chunkBytes = 1 << 20;
    static constexpr std::uint32_t chunkCount = 8; // of version 3

    bool isWorking() const
    {
        const bool isUploading = m_uploads.size() == 3 && std::all_of(m_uploads.begin(), m_uploads.end(), [](const auto& upload) { return upload->received() > 0 && upload->received() < chunkBytes; });
        return isUploading && m_platform.isPending("/-/kv-watch") && m_platform.isPending("/-/stage-put") && m_platform.isPending("/-/piece") && m_peer.isPending("/weights/chunk");
    }

    std::string manifest(std::uint64_t version) const
    {
        WeightsManifest manifest;
        manifest.weights = { "m", version };
        manifest.chunkBytes = chunkBytes;
        manifest.chunks.assign(version == 2 ? 1 : chunkCount, Digest::of(m_chunk));
        return platform::platformPorts().engines->encodeManifest(manifest);
    }

    std::optional<std::string> answer(const std::string& target)
    {
        const auto startsWith = [&target](const char* prefix) { return target.rfind(prefix, 0) == 0; };
        if (startsWith("/-/kv-range"))
            return storePage("items", 5, { { "op/config", R"({"version":1,"routes":[],"services":[{"name":"s","engine":{"slots":4,"chunks":1,"chunkBytes":1048576,"models":[{"name":"m"}]}},{"name":"o","origin":"127.0.0.1:21733","zone":"north-a","linkMbps":1000}]})" }, { "op/version/m", R"({"model":"m","version":2})" } });
        if (startsWith("/-/manifest") || startsWith("/weights/manifest"))
            return manifest(target.back() == '2' ? 2 : 3);
        if (startsWith("/-/piece") && target.find("version=2") != std::string::npos)
            return m_chunk;
        if (startsWith("/-/stage-put"))
            publishNextVersion();
        if (!startsWith("/-/report") || isWorking())
            return std::nullopt;
        announceChunk();
        return R"({"sequence":0,"queued":0,"running":0,"born":1000})";
    }

    // Publishes version 3 and starts uploads of version 2, which is complete by now.
    void publishNextVersion()
    {
        if (!m_uploads.empty() || !m_platform.isPending("/-/kv-watch"))
            return;
        m_platform.complete("/-/kv-watch", storePage("events", 7, { { "op/version/m", R"({"model":"m","version":3})" }, { "servers/i-2", R"({"service":"s","address":"127.0.0.2:1","zone":"north-a","slots":4,"state":"ready","born":1000})" } }));
        for (int i = 0; i < 3; ++i)
            m_uploads.push_back(std::make_unique<SlowReader>(m_loop, internalPort, "/weights/chunk/m/2/0"));
    }

    void announceChunk()
    {
        ChunkSet held(chunkCount);
        held.insert(0);
        const auto bytes = encodePeerMessage(ChunksUpdate { peerIp, "m", 3, held.hex(), false });
        m_peerSocket.send_to(asio::buffer(bytes), { ipAddress(ownIp), internalPort });
    }

    EventLoop& m_loop;
    const std::string m_chunk = std::string(chunkBytes, 'w');
    PendingRequestServer m_platform;
    PendingRequestServer m_peer;
    UdpSocket m_peerSocket;
    std::vector<std::unique_ptr<SlowReader>> m_uploads;
};

/// The store and the upstream of an entry VM, and a caller that gets no answer.
class CallScenario {
public:
    explicit CallScenario(EventLoop& loop)
        : m_loop(loop)
        , m_platform(loop, ownIp, platformPort, [this](const std::string& target) { return answer(target); })
    {
    }

    /// Returns whether a call is pending at the upstream and the entry VM's watch at the store.
    bool isBusy() const { return m_platform.isPending("/p/") && m_platform.isPending("/-/kv-watch"); }

private:
    std::optional<std::string> answer(const std::string& target)
    {
        const auto startsWith = [&target](const char* prefix) { return target.rfind(prefix, 0) == 0; };
        if (startsWith("/-/kv-range"))
            return storePage("items", 5, { { "op/config", R"({"version":1,"routes":[{"name":"r","host":"h","prefix":"/p/","kind":"safe","timeoutMs":60000,"goalMs":1,"service":"s","attempts":1,"anonymous":true}],"services":[{"name":"s"}]})" }, { "servers/i-1", R"({"service":"s","address":"127.0.0.1:21733","zone":"north-a","slots":4,"state":"ready"})" } });
        if (startsWith("/-/kv-lease"))
            return R"({"lease":7})";
        if (startsWith("/-/kv-watch") && !m_call) // the entry has read the store by now
            m_call = std::make_unique<SlowReader>(m_loop, callerPort, "/p/a");
        return startsWith("/-/kv-txn") ? std::optional<std::string>("{}") : std::nullopt;
    }

    EventLoop& m_loop;
    PendingRequestServer m_platform;
    std::unique_ptr<SlowReader> m_call;
};

}
