#pragma once

#include <PlatformAdapter.h>
#include <csignal>
#include <fcntl.h>
#include <hyssopwick_gateway.h>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>
#include <sys/wait.h>
#include <unistd.h>

namespace hyssopwick {

// Below the ports that the system hands out by itself.
constexpr std::uint16_t internalPort = 21731;
constexpr std::uint16_t metricsPort = 21732;
constexpr std::uint16_t platformPort = 21733;
constexpr std::uint16_t callerPort = 21734;
constexpr const char* ownIp = "127.0.0.1";
constexpr const char* peerIp = "127.0.0.2";

inline std::string platformAddress() { return std::string(ownIp) + ":" + std::to_string(platformPort); }

inline asio::ip::address_v4 ipAddress(const char* ip) { return asio::ip::make_address_v4(ip); }

/// A process of its own, since what runs in it may end by a signal.
class ChildProcess {
public:
    /// Starts a process that ends with the result of \p run.
    void start(const std::function<int()>& run)
    {
        m_id = fork();
        if (m_id != 0)
            return;
        // The log makes its descriptor non-blocking, which is not for the tests' output.
        dup2(open("/dev/null", O_WRONLY | O_CLOEXEC), STDOUT_FILENO);
        _exit(run());
    }

    /// Runs \p loop until \p isReached. Returns false when the process ends before, or time is up.
    bool runUntil(EventLoop& loop, const std::function<bool()>& isReached)
    {
        for (const auto giveUpAt = monotonicNow() + longestWait; !isReached();) {
            if (monotonicNow() > giveUpAt || hasEnded())
                return false;
            loop.run_one_for(pollPeriod);
        }
        return true;
    }

    void signal(int number) const { ::kill(m_id, number); }

    /// Returns the exit code, the negative number of the signal that ended the process, or
    /// "still running" after a while. \param work  done meanwhile
    int waitForEnd(const std::function<void()>& work)
    {
        for (const auto giveUpAt = monotonicNow() + longestWait; !hasEnded() && monotonicNow() < giveUpAt;) {
            work();
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
    // Only so that a failing test ends; what is waited for is an event.
    static constexpr Milliseconds longestWait { 40000 };
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

/// Answers requests by their targets, or holds them without an answer.
class HoldingServer {
public:
    /// Returns the body of the answer, or nothing to hold the request.
    using Handler = std::function<std::optional<std::string>(const std::string& target)>;

    HoldingServer(EventLoop& loop, const char* ip, std::uint16_t port, Handler handler)
        : m_acceptor(loop, asio::ip::tcp::endpoint(ipAddress(ip), port))
        , m_handler(std::move(handler))
    {
        accept();
    }

    /// Returns whether a request whose target begins so is held and its sender still waits.
    bool isHeld(const std::string& prefix) const { return find(prefix) != nullptr; }

    /// Answers a held request.
    void release(const std::string& prefix, const std::string& body)
    {
        if (auto* connection = find(prefix))
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

    Connection* find(const std::string& prefix) const
    {
        for (const auto& connection : m_held) {
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
            m_held.insert(connection);
            hold(connection);
        });
    }

    void answer(Connection& connection, const std::string& body)
    {
        connection.response = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        asio::async_write(connection.socket, asio::buffer(connection.response), [self = connection.shared_from_this()](boost::system::error_code, std::size_t) {});
    }

    void hold(const std::shared_ptr<Connection>& connection)
    {
        connection->socket.async_read_some(asio::buffer(connection->buffer), [this, connection](boost::system::error_code error, std::size_t) {
            if (!error)
                return hold(connection);
            m_held.erase(connection);
        });
    }

    asio::ip::tcp::acceptor m_acceptor;
    Handler m_handler;
    std::set<std::shared_ptr<Connection>> m_held;
};

/// Sends one request and counts the bytes that come back; reads as long as the loop runs.
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

/// The store, the engine, the origin and a peer of an agent. Version 2 is given out and
/// staged without end; then version 3 is named, of which nothing arrives.
class RolloutScene {
public:
    explicit RolloutScene(EventLoop& loop)
        : m_loop(loop)
        , m_platform(loop, ownIp, platformPort, [this](const std::string& target) { return answer(target); })
        , m_peer(loop, peerIp, internalPort, [this](const std::string& target) { return answer(target); })
        , m_news(loop, asio::ip::udp::endpoint(ipAddress(peerIp), internalPort))
    {
    }

    /// Returns whether all kinds of work are under way at this moment.
    bool isInTheMiddle() const { return isWorking() && m_platform.isHeld("/-/report"); }

private:
    static constexpr std::size_t chunkBytes = 1 << 20;
    static constexpr std::uint32_t chunkCount = 8; // of version 3

    bool isWorking() const
    {
        const bool isUploading = m_uploads.size() == 3 && std::all_of(m_uploads.begin(), m_uploads.end(), [](const auto& upload) { return upload->received() > 0 && upload->received() < chunkBytes; });
        return isUploading && m_platform.isHeld("/-/kv-watch") && m_platform.isHeld("/-/stage-put") && m_platform.isHeld("/-/piece") && m_peer.isHeld("/weights/chunk");
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
        const auto begins = [&target](const char* prefix) { return target.rfind(prefix, 0) == 0; };
        if (begins("/-/kv-range"))
            return storePage("items", 5, { { "op/config", R"({"version":1,"routes":[],"services":[{"name":"s","engine":{"slots":4,"chunks":1,"chunkBytes":1048576,"models":[{"name":"m"}]}},{"name":"o","origin":"127.0.0.1:21733","zone":"north-a","linkMbps":1000}]})" }, { "op/version/m", R"({"model":"m","version":2})" } });
        if (begins("/-/manifest") || begins("/weights/manifest"))
            return manifest(target.back() == '2' ? 2 : 3);
        if (begins("/-/piece") && target.find("version=2") != std::string::npos)
            return m_chunk;
        if (begins("/-/stage-put"))
            nameNext();
        if (!begins("/-/report") || isWorking())
            return std::nullopt;
        tellHeld();
        return R"({"sequence":0,"queued":0,"running":0,"born":1000})";
    }

    // Called when version 2 is whole, so that it can be asked for.
    void nameNext()
    {
        if (!m_uploads.empty() || !m_platform.isHeld("/-/kv-watch"))
            return;
        m_platform.release("/-/kv-watch", storePage("events", 7, { { "op/version/m", R"({"model":"m","version":3})" }, { "servers/i-2", R"({"service":"s","address":"127.0.0.2:1","zone":"north-a","slots":4,"state":"ready","born":1000})" } }));
        for (int i = 0; i < 3; ++i)
            m_uploads.push_back(std::make_unique<SlowReader>(m_loop, internalPort, "/weights/chunk/m/2/0"));
    }

    void tellHeld()
    {
        ChunkSet held(chunkCount);
        held.insert(0);
        const auto bytes = encodePeerMessage(ChunksUpdate { peerIp, "m", 3, held.hex(), false });
        m_news.send_to(asio::buffer(bytes), { ipAddress(ownIp), internalPort });
    }

    EventLoop& m_loop;
    const std::string m_chunk = std::string(chunkBytes, 'w');
    HoldingServer m_platform;
    HoldingServer m_peer;
    UdpSocket m_news;
    std::vector<std::unique_ptr<SlowReader>> m_uploads;
};

/// The store and the upstream of an entry, and a caller that gets no answer.
class CallScene {
public:
    explicit CallScene(EventLoop& loop)
        : m_loop(loop)
        , m_platform(loop, ownIp, platformPort, [this](const std::string& target) { return answer(target); })
    {
    }

    /// Returns whether a call is under way to the upstream.
    bool isInTheMiddle() const { return m_platform.isHeld("/p/") && m_platform.isHeld("/-/kv-watch"); }

private:
    std::optional<std::string> answer(const std::string& target)
    {
        const auto begins = [&target](const char* prefix) { return target.rfind(prefix, 0) == 0; };
        if (begins("/-/kv-range"))
            return storePage("items", 5, { { "op/config", R"({"version":1,"routes":[{"name":"r","host":"h","prefix":"/p/","kind":"safe","timeoutMs":60000,"goalMs":1,"service":"s","attempts":1,"anonymous":true}],"services":[{"name":"s"}]})" }, { "servers/i-1", R"({"service":"s","address":"127.0.0.1:21733","zone":"north-a","slots":4,"state":"ready"})" } });
        if (begins("/-/kv-lease"))
            return R"({"lease":7})";
        if (begins("/-/kv-watch") && !m_call) // the entry has read the store by now
            m_call = std::make_unique<SlowReader>(m_loop, callerPort, "/p/a");
        return begins("/-/kv-txn") ? std::optional<std::string>("{}") : std::nullopt;
    }

    EventLoop& m_loop;
    HoldingServer m_platform;
    std::unique_ptr<SlowReader> m_call;
};

}
