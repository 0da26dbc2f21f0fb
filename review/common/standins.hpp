// Small stand-ins for clients, workers and the platform's store, and the control of the programs
// under test. One process holds them; each connection has a thread.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <algorithm>
#include <cmath>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>
#include <poll.h>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

inline const Clock::time_point startOfCase = Clock::now();

inline double seconds() { return std::chrono::duration<double>(Clock::now() - startOfCase).count(); }

inline void sleepMs(double ms) { std::this_thread::sleep_for(std::chrono::microseconds(static_cast<long>(ms * 1000))); }

constexpr int held = 0;
constexpr int broken = 1;
constexpr int couldNotRun = 2;

/// The file record.txt of a case.
class Record {
public:
    static Record& file()
    {
        static Record record;
        return record;
    }

    void open(const std::string& path) { m_file = std::fopen(path.c_str(), "w"); }

    void line(const char* format, ...) __attribute__((format(printf, 2, 3)))
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        if (!m_file)
            return;
        std::fprintf(m_file, "%8.3f ", seconds());
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(m_file, format, arguments);
        va_end(arguments);
        std::fputc('\n', m_file);
        std::fflush(m_file);
    }

private:
    std::FILE* m_file = nullptr;
    std::mutex m_mutex;
};

#define NOTE(...) ::review::Record::file().line(__VA_ARGS__)

inline bool hasTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

using Fields = std::vector<std::pair<std::string, std::string>>;

inline std::string fieldOf(const Fields& fields, const std::string& name)
{
    for (const auto& [key, value] : fields) {
        if (strcasecmp(key.c_str(), name.c_str()) == 0)
            return value;
    }
    return "";
}

struct Request {
    std::string method;
    std::string target;
    Fields fields;
    std::string body;

    std::string path() const { return target.substr(0, target.find('?')); }

    std::string parameter(const std::string& name) const
    {
        const auto question = target.find('?');
        if (question == std::string::npos)
            return "";
        std::istringstream query(target.substr(question + 1));
        for (std::string pair; std::getline(query, pair, '&');) {
            if (pair.compare(0, name.size() + 1, name + "=") == 0)
                return pair.substr(name.size() + 1);
        }
        return "";
    }
};

struct Response {
    bool isComplete = false;
    unsigned status = 0;
    Fields fields;
    std::string body;
};

/// A connection with a read buffer.
class Connection {
public:
    explicit Connection(int fd)
        : m_fd(fd)
    {
        const int on = 1;
        setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }

    ~Connection() { close(); }

    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    int fd() const { return m_fd; }

    void close()
    {
        if (m_fd >= 0)
            ::close(m_fd);
        m_fd = -1;
    }

    bool send(const std::string& bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const auto size = ::send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (size <= 0)
                return false;
            sent += static_cast<std::size_t>(size);
        }
        return true;
    }

    /// Reads more bytes. Returns false at the end, at an error or at the timeout.
    bool fill(int timeoutMs = -1)
    {
        pollfd waiting { m_fd, POLLIN, 0 };
        if (poll(&waiting, 1, timeoutMs) <= 0)
            return false;
        char bytes[65536];
        const auto size = recv(m_fd, bytes, sizeof bytes, 0);
        if (size <= 0)
            return false;
        m_buffer.append(bytes, static_cast<std::size_t>(size));
        return true;
    }

    const std::string& buffer() const { return m_buffer; }

    bool readHead(std::string& startLine, Fields& fields, int timeoutMs = -1)
    {
        std::size_t end;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(timeoutMs))
                return false;
        }
        std::istringstream head(m_buffer.substr(0, end + 2));
        m_buffer.erase(0, end + 4);
        std::getline(head, startLine);
        while (!startLine.empty() && startLine.back() == '\r')
            startLine.pop_back();
        fields.clear();
        for (std::string line; std::getline(head, line);) {
            while (!line.empty() && line.back() == '\r')
                line.pop_back();
            const auto colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            auto value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(" \t") == std::string::npos ? value.size() : value.find_first_not_of(" \t"));
            fields.emplace_back(line.substr(0, colon), value);
        }
        return true;
    }

    bool readBody(const Fields& fields, std::string& body, bool endsWithConnection, int timeoutMs = -1)
    {
        body.clear();
        if (strcasecmp(fieldOf(fields, "Transfer-Encoding").c_str(), "chunked") == 0) {
            for (;;) {
                std::size_t end;
                while ((end = m_buffer.find("\r\n")) == std::string::npos) {
                    if (!fill(timeoutMs))
                        return false;
                }
                const auto size = std::stoul(m_buffer.substr(0, end), nullptr, 16);
                while (m_buffer.size() < end + 2 + size + 2) {
                    if (!fill(timeoutMs))
                        return false;
                }
                body += m_buffer.substr(end + 2, size);
                m_buffer.erase(0, end + 2 + size + 2);
                if (size == 0)
                    return true;
            }
        }
        const auto length = fieldOf(fields, "Content-Length");
        if (length.empty()) {
            if (!endsWithConnection)
                return true;
            while (fill(timeoutMs)) { }
            body = std::move(m_buffer);
            m_buffer.clear();
            return true;
        }
        const auto size = std::stoul(length);
        while (m_buffer.size() < size) {
            if (!fill(timeoutMs))
                return false;
        }
        body = m_buffer.substr(0, size);
        m_buffer.erase(0, size);
        return true;
    }

private:
    int m_fd;
    std::string m_buffer;
};

inline sockaddr_in addressOf(const std::string& address)
{
    sockaddr_in result {};
    const auto colon = address.rfind(':');
    result.sin_family = AF_INET;
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
    result.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    return result;
}

/// Returns nullptr if nothing accepts the connection.
inline std::unique_ptr<Connection> connectTo(const std::string& address)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto to = addressOf(address);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) {
        ::close(fd);
        return nullptr;
    }
    return std::make_unique<Connection>(fd);
}

inline std::string textOf(const Request& request)
{
    std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : request.fields)
        text += name + ": " + value + "\r\n";
    if (!request.body.empty() || request.method == "POST" || request.method == "PUT")
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    return text + "\r\n" + request.body;
}

inline Response readResponse(Connection& connection, int timeoutMs)
{
    Response response;
    std::string line;
    if (!connection.readHead(line, response.fields, timeoutMs) || line.size() < 12)
        return response;
    response.status = static_cast<unsigned>(std::stoul(line.substr(9, 3)));
    response.isComplete = connection.readBody(response.fields, response.body, true, timeoutMs);
    return response;
}

/// Sends a request on a new connection. The status is 0 without an answer.
inline Response call(const std::string& address, const Request& request, int timeoutMs = 5000)
{
    const auto connection = connectTo(address);
    if (!connection || !connection->send(textOf(request)))
        return {};
    return readResponse(*connection, timeoutMs);
}

inline std::string reasonOf(unsigned status)
{
    switch (status) {
    case 200:
        return "OK";
    case 202:
        return "Accepted";
    case 404:
        return "Not Found";
    case 409:
        return "Conflict";
    case 412:
        return "Precondition Failed";
    case 421:
        return "Misdirected Request";
    case 503:
        return "Service Unavailable";
    }
    return "Status";
}

inline std::string answerText(unsigned status, const Fields& fields, const std::string& body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " " + reasonOf(status) + "\r\n";
    for (const auto& [name, value] : fields)
        text += name + ": " + value + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Server on a loopback address. The handler answers on the connection and returns whether it
/// stays open.
class Server {
public:
    using Handler = std::function<bool(const Request&, Connection&)>;

    Server(std::string address, Handler handler)
        : m_state(std::make_shared<State>())
    {
        m_state->address = std::move(address);
        m_state->handler = std::move(handler);
        m_state->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(m_state->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const auto at = addressOf(m_state->address);
        if (bind(m_state->fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 || listen(m_state->fd, 512) != 0) {
            std::fprintf(stderr, "cannot listen on %s\n", m_state->address.c_str());
            std::exit(couldNotRun);
        }
        std::thread([state = m_state] {
            for (;;) {
                const int fd = accept4(state->fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd < 0) {
                    if (state->isClosed)
                        return;
                    continue;
                }
                std::thread([state, fd] { serve(*state, fd); }).detach();
            }
        }).detach();
    }

    /// Stops listening and resets the open connections, as the end of a process does.
    void stop()
    {
        m_state->isClosed = true;
        shutdown(m_state->fd, SHUT_RDWR);
        ::close(m_state->fd);
        std::lock_guard<std::mutex> lock(m_state->mutex);
        for (const int fd : m_state->open)
            shutdown(fd, SHUT_RDWR);
    }

    const std::string& address() const { return m_state->address; }

private:
    struct State {
        std::string address;
        Handler handler;
        int fd = -1;
        std::atomic<bool> isClosed { false };
        std::mutex mutex;
        std::set<int> open;
    };

    static void serve(State& state, int fd)
    {
        {
            std::lock_guard<std::mutex> lock(state.mutex);
            state.open.insert(fd);
        }
        {
            Connection connection(fd);
            for (bool isOpen = true; isOpen && !state.isClosed;) {
                Request request;
                std::string line;
                if (!connection.readHead(line, request.fields) || !connection.readBody(request.fields, request.body, false))
                    break;
                const auto first = line.find(' ');
                const auto second = line.find(' ', first + 1);
                request.method = line.substr(0, first);
                request.target = line.substr(first + 1, second - first - 1);
                isOpen = state.handler(request, connection) && fieldOf(request.fields, "Connection") != "close";
            }
            std::lock_guard<std::mutex> lock(state.mutex);
            state.open.erase(fd);
        }
    }

    std::shared_ptr<State> m_state;
};

/// The link between a client and a server: passes bytes on in both directions, and holds them up
/// while it is cut.
class Link {
public:
    Link(const std::string& address, std::string to)
        : m_state(std::make_shared<State>())
        , m_server(address, [state = m_state, to = std::move(to)](int client) { pass(state, client, to); })
    {
    }

    const std::string& address() const { return m_server.address; }

    void cut() { m_state->isCut = true; }
    void heal() { m_state->isCut = false; }

private:
    struct State {
        std::atomic<bool> isCut { false };
    };

    // Accepts connections without reading from them.
    struct Acceptor {
        Acceptor(const std::string& at, std::function<void(int)> handler)
            : address(at)
        {
            const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            const int on = 1;
            setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
            const auto to = addressOf(at);
            if (bind(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0 || listen(fd, 512) != 0) {
                std::fprintf(stderr, "cannot listen on %s\n", at.c_str());
                std::exit(couldNotRun);
            }
            std::thread([fd, handler = std::move(handler)] {
                for (;;) {
                    const int client = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
                    if (client >= 0)
                        std::thread([handler, client] { handler(client); }).detach();
                }
            }).detach();
        }

        std::string address;
    };

    static void pass(const std::shared_ptr<State>& state, int clientFd, const std::string& to)
    {
        Connection client(clientFd);
        const auto server = connectTo(to);
        if (!server)
            return;
        pollfd ends[2] = { { client.fd(), POLLIN, 0 }, { server->fd(), POLLIN, 0 } };
        for (;;) {
            if (state->isCut) {
                sleepMs(1);
                continue;
            }
            if (poll(ends, 2, 1) <= 0 || state->isCut)
                continue;
            for (int from = 0; from < 2; ++from) {
                if (ends[from].revents == 0)
                    continue;
                char bytes[16384];
                const auto size = recv(ends[from].fd, bytes, sizeof bytes, 0);
                if (size <= 0 || !(from == 0 ? *server : client).send({ bytes, static_cast<std::size_t>(size) }))
                    return;
            }
        }
    }

    std::shared_ptr<State> m_state;
    Acceptor m_server;
};

inline std::string base64(const std::string& bytes)
{
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()), reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

inline std::string sha256(const std::string& bytes)
{
    unsigned char digest[EVP_MAX_MD_SIZE];
    unsigned size = 0;
    EVP_Digest(bytes.data(), bytes.size(), digest, &size, EVP_sha256(), nullptr);
    std::string hex;
    for (unsigned i = 0; i < size; ++i) {
        char text[3];
        std::snprintf(text, sizeof text, "%02x", digest[i]);
        hex += text;
    }
    return hex;
}

/// The platform's store.
class Store {
public:
    explicit Store(const std::string& address)
        : m_server(address, [this](const Request& request, Connection& connection) { return serve(request, connection); })
    {
        std::thread([this] { expireLeases(); }).detach();
    }

    const std::string& address() const { return m_server.address(); }

    void set(const std::string& key, const Json& value)
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        write(key, base64(value.dump()), 0);
        m_changed.notify_all();
    }

    void remove(const std::string& key)
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        erase(key);
        m_changed.notify_all();
    }

private:
    struct Item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
        bool isDeleted = false;
    };

    struct Lease {
        Clock::time_point until;
        std::int64_t ttlMs = 0;
    };

    void write(const std::string& key, const std::string& value, std::uint64_t lease)
    {
        auto& item = m_items[key];
        ++m_revision;
        const auto created = item.revision == 0 || item.isDeleted ? m_revision : item.created;
        item = { value, m_revision, created, lease, false };
    }

    void erase(const std::string& key)
    {
        const auto found = m_items.find(key);
        if (found == m_items.end() || found->second.isDeleted)
            return;
        found->second = { "", ++m_revision, 0, 0, true };
    }

    void expireLeases()
    {
        for (;;) {
            sleepMs(100);
            std::lock_guard<std::mutex> lock(m_mutex);
            for (auto lease = m_leases.begin(); lease != m_leases.end();) {
                if (Clock::now() < lease->second.until) {
                    ++lease;
                    continue;
                }
                endLease(lease->first);
                lease = m_leases.erase(lease);
            }
        }
    }

    void endLease(std::uint64_t lease)
    {
        std::vector<std::string> keys;
        for (const auto& [key, item] : m_items) {
            if (item.lease == lease)
                keys.push_back(key);
        }
        for (const auto& key : keys)
            erase(key);
        m_changed.notify_all();
    }

    static Json itemJson(const std::string& key, const Item& item)
    {
        if (item.isDeleted)
            return { { "key", key }, { "revision", item.revision }, { "deleted", true } };
        return { { "key", key }, { "value", item.value }, { "revision", item.revision }, { "created", item.created }, { "lease", item.lease } };
    }

    Json changesAfter(const std::string& prefix, std::uint64_t revision) const
    {
        std::map<std::uint64_t, Json> events;
        for (const auto& [key, item] : m_items) {
            if (item.revision > revision && key.compare(0, prefix.size(), prefix) == 0)
                events[item.revision] = itemJson(key, item);
        }
        auto list = Json::array();
        for (const auto& [at, event] : events)
            list.push_back(event);
        return list;
    }

    static bool answer(Connection& connection, unsigned status, const Json& body)
    {
        return connection.send(answerText(status, { { "Content-Type", "application/json" } }, body.dump()));
    }

    bool serve(const Request& request, Connection& connection)
    {
        const auto path = request.path();
        std::unique_lock<std::mutex> lock(m_mutex);
        if (path == "/-/kv-range") {
            const auto prefix = request.parameter("prefix");
            auto items = Json::array();
            for (const auto& [key, item] : m_items) {
                if (!item.isDeleted && key.compare(0, prefix.size(), prefix) == 0)
                    items.push_back(itemJson(key, item));
            }
            const Json body { { "items", items }, { "hasMore", false }, { "at", m_revision } };
            lock.unlock();
            return answer(connection, 200, body);
        }
        if (path == "/-/kv-watch") {
            const auto prefix = request.parameter("prefix");
            const auto after = std::stoull(request.parameter("after"));
            const auto until = Clock::now() + std::chrono::milliseconds(std::stoll(request.parameter("waitMs")));
            auto events = changesAfter(prefix, after);
            while (events.empty() && m_changed.wait_until(lock, until) != std::cv_status::timeout)
                events = changesAfter(prefix, after);
            const Json body { { "events", events }, { "at", m_revision } };
            lock.unlock();
            return answer(connection, 200, body);
        }
        if (path == "/-/kv-txn")
            return transact(Json::parse(request.body), connection);
        if (path == "/-/kv-lease") {
            const auto ttl = Json::parse(request.body).at("ttlMs").get<std::int64_t>();
            m_leases[++m_lastLease] = { Clock::now() + std::chrono::milliseconds(ttl), ttl };
            return answer(connection, 200, { { "lease", m_lastLease }, { "ttlMs", ttl } });
        }
        const auto lastSlash = path.rfind('/');
        const auto kind = path.substr(0, lastSlash);
        const auto found = kind == "/-/kv-keep" || kind == "/-/kv-lease-end" ? m_leases.find(std::stoull(path.substr(lastSlash + 1))) : m_leases.end();
        if (found == m_leases.end())
            return answer(connection, 404, Json::object());
        if (kind == "/-/kv-keep") {
            found->second.until = Clock::now() + std::chrono::milliseconds(found->second.ttlMs);
            return answer(connection, 200, { { "lease", found->first }, { "ttlMs", found->second.ttlMs } });
        }
        endLease(found->first);
        m_leases.erase(found);
        return answer(connection, 200, Json::object());
    }

    bool transact(const Json& body, Connection& connection)
    {
        auto current = Json::array();
        bool holds = true;
        for (const auto& row : body.at("expected")) {
            const auto found = m_items.find(row.at("key").get<std::string>());
            const bool exists = found != m_items.end() && !found->second.isDeleted;
            holds = holds && row.at("revision").get<std::uint64_t>() == (exists ? found->second.revision : 0);
            if (exists)
                current.push_back(itemJson(found->first, found->second));
        }
        if (!holds)
            return answer(connection, 412, { { "items", current } });
        for (const auto& row : body.at("setKeys")) {
            if (const auto lease = row.value("lease", std::uint64_t(0)); lease != 0 && m_leases.count(lease) == 0)
                return answer(connection, 404, Json::object());
        }
        for (const auto& row : body.at("setKeys"))
            write(row.at("key").get<std::string>(), row.at("value").get<std::string>(), row.value("lease", std::uint64_t(0)));
        for (const auto& key : body.at("remove"))
            erase(key.get<std::string>());
        m_changed.notify_all();
        return answer(connection, 200, { { "revision", m_revision } });
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::map<std::uint64_t, Lease> m_leases;
    std::uint64_t m_revision = 10;
    std::uint64_t m_lastLease = 0;
    Server m_server;
};

inline std::int64_t unixMs() { return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count(); }

inline Json serverEntry(const std::string& service, const std::string& address, const std::string& zone, unsigned slots, std::int64_t born)
{
    return { { "service", service }, { "address", address }, { "zone", zone }, { "version", "1" }, { "slots", slots }, { "state", "ready" }, { "coldLeftMs", 0 }, { "sequence", 0 }, { "born", born } };
}

/// Addresses and ports of one run: a free network under 127.0.0.0/8, the same ports on each address.
class Network {
public:
    static constexpr int portCount = 16;

    Network()
    {
        std::random_device device;
        for (int tries = 0; tries < 50; ++tries) {
            m_prefix = "127." + std::to_string(20 + device() % 200) + "." + std::to_string(1 + device() % 250) + ".";
            m_firstPort = 20000 + static_cast<int>(device() % 500) * portCount;
            if (isFree())
                return;
        }
        std::fprintf(stderr, "no free ports\n");
        std::exit(couldNotRun);
    }

    std::string ip(int host) const { return m_prefix + std::to_string(host); }
    int port(int index) const { return m_firstPort + index; }
    std::string at(int host, int index) const { return ip(host) + ":" + std::to_string(port(index)); }

private:
    bool isFree() const
    {
        for (int index = 0; index < portCount; ++index) {
            const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            const auto address = addressOf(at(1, index));
            const bool isBound = bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
            ::close(fd);
            if (!isBound)
                return false;
        }
        return true;
    }

    std::string m_prefix;
    int m_firstPort = 0;
};

// Indexes of the ports.
constexpr int internalPort = 0;
constexpr int metricsPort = 1;
constexpr int frontPort = 2;
constexpr int readyPort = 3;
constexpr int controlPort = 4;
constexpr int directoryPort = 5;
constexpr int appPort = 6;
constexpr int storePort = 7;
constexpr int originPort = 8;
constexpr int proxyPort = 9;

/// What the settings of a process hold, beside the bounds of the site caroni-ducts.
struct Machine {
    std::string node;
    int host = 0;
    std::string zone = "north-a";
    std::string region = "north";
    std::string engineService; ///< of a machine beside a worker
};

inline std::string settingsText(const Network& network, const Machine& machine, const std::vector<int>& seedHosts, const std::string& storeAddress)
{
    const bool isSide = !machine.engineService.empty();
    std::ostringstream text;
    text << "node = \"" << machine.node << "\"\n"
         << "role = \"" << (isSide ? "agent" : "entry") << "\"\n"
         << "machineClass = \"" << (isSide ? "side" : "front") << "\"\n"
         << "serves = " << (isSide ? "[\"side\"]" : "[\"front\",\"directory\",\"control\"]") << "\n"
         << "ip = \"" << network.ip(machine.host) << "\"\n"
         << "zone = \"" << machine.zone << "\"\nregion = \"" << machine.region << "\"\n"
         << "internalPorts = [" << network.port(internalPort) << "," << network.port(metricsPort) << "]\n"
         << "seeds = [";
    for (std::size_t i = 0; i < seedHosts.size(); ++i)
        text << (i ? "," : "") << "\"" << network.at(seedHosts[i], controlPort) << "\"";
    text << "]\nbootstrap = true\ncountsLoss = false\ndiscovery = \"platform\"\nentry = \"directory\"\nbeatMs = 1200\n"
         << "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"platform\",\"chunks\"]\n";
    if (isSide)
        text << "app = \"" << network.at(machine.host, appPort) << "\"\nservice = \"" << machine.engineService << "\"\n";
    text << "[zones]\nnorth-a = \"north\"\ncentral-a = \"central\"\nsouth-a = \"south\"\n[listen]\n";
    if (!isSide)
        text << "front = \"" << network.at(machine.host, frontPort) << "\"\nready = \"" << network.at(machine.host, readyPort) << "\"\ncontrol = \"" << network.at(machine.host, controlPort) << "\"\ndirectory = \"" << network.at(machine.host, directoryPort) << "\"\n";
    text << "[limits]\ncpuShare = " << (isSide ? 0.3 : 0.17) << "\ncores = 1\nmemoryMb = " << (isSide ? 128 : 182) << "\nmaxFds = " << (isSide ? 2048 : 2870) << "\nlinkMbps = " << (isSide ? "9.4" : "700.0") << "\ndiskMb = 0\n"
         << "[tolerate]\nmachines = 2\nzones = 0\nregions = 0\n"
         << "[bounds]\nseedLagS = 3\nreuseAfterS = 2\ncontactMs = 3000\nackMs = 4000\ncatchUpS = 4\ndrainMs = 2000\ngraceS = 8\nlossSlackMs = 200\nconfigMs = 2000\ndowngradeMs = 250\nstretchMaxMs = 5000\nstrictRevoke = false\nrevokeMs = 5000\nbudgetRatio = 0.2\nbudgetWindowS = 10\nbudgetSlack = 234\nrecoverS = 12\npassMs = 120\nretryAfterS = 0\nversion_ms = 8000\nversion_all_ms = 0\nttl_max_s = 5\n"
         << "[platform]\naddress = \"" << storeAddress << "\"\nform = \"kv\"\nwritesPerS = 400\nreadsPerS = 2000\nhistoryS = 20\nvalueBytes = 1048576\nttlMinMs = 1000\n";
    return text.str();
}

/// A program under test, with the command of the deploy file.
class Program {
public:
    /// \param role  of the deploy file
    /// \param folder  for the settings and what the program prints
    Program(const std::string& role, const std::string& node, const std::string& folder, const std::string& settings)
        : m_command(commandOf(role))
        , m_settings(folder + "/" + node + ".toml")
        , m_log(folder + "/" + node + ".log")
        , m_node(node)
    {
        std::ofstream(m_settings) << settings;
        all().push_back(this);
    }

    ~Program()
    {
        kill();
        auto& programs = all();
        programs.erase(std::remove(programs.begin(), programs.end(), this), programs.end());
    }

    void start()
    {
        m_id = fork();
        if (m_id == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL); // should the case be ended from outside
            const int log = open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
            dup2(log, STDOUT_FILENO);
            dup2(log, STDERR_FILENO);
            clearenv();
            setenv("PATH", "/usr/bin:/bin", 1);
            setenv("HYSSOPWICK_BOOT", m_settings.c_str(), 1);
            execl(m_command.c_str(), m_command.c_str(), static_cast<char*>(nullptr));
            _exit(127);
        }
        m_hasEnded = false;
        NOTE("program %s started, id %d", m_node.c_str(), int(m_id));
    }

    void signal(int number) const { ::kill(m_id, number); }

    bool hasEnded()
    {
        if (m_id > 0 && !m_hasEnded && waitpid(m_id, &m_status, WNOHANG) == m_id)
            m_hasEnded = true;
        return m_hasEnded;
    }

    /// Returns how the process ended.
    std::string end() const { return WIFEXITED(m_status) ? "exit code " + std::to_string(WEXITSTATUS(m_status)) : "signal " + std::to_string(WTERMSIG(m_status)); }

    void kill()
    {
        if (m_id <= 0 || hasEnded())
            return;
        ::kill(m_id, SIGKILL);
        waitpid(m_id, &m_status, 0);
        m_hasEnded = true;
    }

    pid_t id() const { return m_id; }
    const std::string& logPath() const { return m_log; }

    /// Returns the resident memory in MB.
    double memoryMb() const
    {
        std::ifstream statm("/proc/" + std::to_string(m_id) + "/statm");
        long total = 0;
        long resident = 0;
        statm >> total >> resident;
        return double(resident) * double(sysconf(_SC_PAGESIZE)) / (1 << 20);
    }

    static void killAll()
    {
        for (auto* program : all())
            program->kill();
    }

private:
    static std::vector<Program*>& all()
    {
        static std::vector<Program*> programs;
        return programs;
    }

    static std::string commandOf(const std::string& role)
    {
        std::ifstream file("deploy/system.toml");
        bool isInRole = false;
        for (std::string line; std::getline(file, line);) {
            if (!line.empty() && line[0] == '[')
                isInRole = line == "[roles." + role + "]";
            const auto quote = line.find('"');
            if (isInRole && line.compare(0, 3, "run") == 0 && quote != std::string::npos)
                return line.substr(quote + 1, line.rfind('"') - quote - 1);
        }
        std::fprintf(stderr, "deploy/system.toml has no role %s\n", role.c_str());
        std::exit(couldNotRun);
    }

    std::string m_command;
    std::string m_settings;
    std::string m_log;
    std::string m_node;
    pid_t m_id = -1;
    int m_status = 0;
    bool m_hasEnded = false;
};

/// Ends the case: all programs are killed first.
[[noreturn]] inline void finish(int code, const std::string& result)
{
    Program::killAll();
    NOTE("result: %s (exit %d)", result.c_str(), code);
    std::printf("%s\n", result.c_str());
    std::fflush(stdout);
    std::_Exit(code);
}

/// Waits until a front says that it is ready.
inline void waitUntilReady(const std::string& readyAddress, double timeoutS = 20)
{
    for (const auto until = seconds() + timeoutS; seconds() < until; sleepMs(50)) {
        if (call(readyAddress, { "GET", "/-/ready", { { "Host", "x" } }, "" }, 1000).status == 200)
            return;
    }
    finish(couldNotRun, "the entry never became ready");
}

inline std::string newRequestId()
{
    static std::atomic<unsigned> next { 1 };
    char text[32];
    std::snprintf(text, sizeof text, "%08x%08x", unsigned(getpid()), next++);
    return text;
}

inline Json limitsOf() { return { { "headerBytes", 16384 }, { "bodyBytes", 4194304 }, { "headerTimeoutMs", 2000 }, { "idleTimeoutMs", 15000 } }; }

/// Begins a case: arguments are the folder of the case and a temporary folder.
inline void begin(int argc, char** argv)
{
    if (argc < 3) {
        std::fprintf(stderr, "usage: %s CASE-FOLDER TEMPORARY-FOLDER\n", argv[0]);
        std::exit(couldNotRun);
    }
    std::signal(SIGPIPE, SIG_IGN);
    Record::file().open(std::string(argv[1]) + "/record.txt");
    NOTE("trouble: %s", hasTrouble() ? "yes" : "no");
    // Ends the programs even if a case hangs.
    std::thread([] {
        sleepMs(110000);
        finish(couldNotRun, "the case took too long");
    }).detach();
}

}
