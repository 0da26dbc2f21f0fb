#pragma once

#include "TestSupport.h"

#include <arpa/inet.h>
#include <csignal>
#include <future>
#include <hyssopwick_node.h>
#include <list>
#include <malloc.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace hyssopwick {

constexpr const char* okHead = "HTTP/1.1 200 OK\r\n";
constexpr const char* chunkedEnd = "Transfer-Encoding: chunked\r\n\r\n";
constexpr std::size_t mebibyte = std::size_t(1) << 20;
// A head, and what libcurl and the sampling itself allocate.
constexpr std::size_t headBound = 2 * mebibyte;
// A body within the default limit and the copy that its string makes as it grows.
constexpr std::size_t bodyBound = 16 * mebibyte;
constexpr Milliseconds deadline { 8000 };
// An answer without end is noticed long before the deadline of its call.
constexpr Milliseconds endBound { 4000 };

inline std::string chunkOf(const std::string& data)
{
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", data.size());
    return size + data + "\r\n";
}

inline std::size_t allocatedBytes()
{
    const auto information = mallinfo2();
    return information.uordblks + information.hblkhd;
}

inline sockaddr_in socketAddress(const std::string& address)
{
    const auto colon = address.find(':');
    sockaddr_in target {};
    target.sin_family = AF_INET;
    target.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &target.sin_addr);
    return target;
}

/// Server that answers each request with a prefix and then sends a pattern until its caller closes.
/// "$ID" in the prefix is replaced by the attempt that the request names.
class EndlessServer {
public:
    EndlessServer(const std::string& prefix, const std::string& pattern, const std::string& address = "127.0.0.1:0")
        : m_prefix(prefix)
        , m_listener(socket(AF_INET, SOCK_STREAM, 0))
    {
        while (m_piece.size() < pieceBytes)
            m_piece += pattern;
        auto bound = socketAddress(address);
        const int reuse = 1;
        setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
        LONGS_EQUAL(0, bind(m_listener, reinterpret_cast<const sockaddr*>(&bound), sizeof bound));
        LONGS_EQUAL(0, listen(m_listener, 16));
        socklen_t size = sizeof bound;
        getsockname(m_listener, reinterpret_cast<sockaddr*>(&bound), &size);
        m_port = ntohs(bound.sin_port);
        m_acceptor = std::thread([this] { accept(); });
    }

    ~EndlessServer()
    {
        m_isStopping = true;
        shutdown(m_listener, SHUT_RDWR);
        m_acceptor.join();
        for (auto& thread : m_threads)
            thread.join();
        ::close(m_listener);
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    std::size_t sentBytes() const { return m_sentBytes; }
    std::size_t answerCount() const { return m_answerCount; }
    std::size_t closedCount() const { return m_closedCount; }

private:
    static constexpr std::size_t pieceBytes = 65536;

    void accept()
    {
        for (;;) {
            const int connection = ::accept(m_listener, nullptr, nullptr);
            if (connection < 0)
                return;
            m_threads.emplace_back([this, connection] { serve(connection); });
        }
    }

    void serve(int connection)
    {
        // A write that blocks ends in time for the server to stop.
        const timeval timeout { 0, 100'000 };
        setsockopt(connection, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
        setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
        const auto request = readRequest(connection);
        if (!request.empty()) {
            ++m_answerCount;
            auto prefix = m_prefix;
            const auto mark = prefix.find("$ID");
            if (mark != std::string::npos)
                prefix.replace(mark, 3, attemptOf(request));
            if (sendAll(connection, prefix)) {
                while (sendAll(connection, m_piece)) { }
            }
            if (!m_isStopping)
                ++m_closedCount;
        }
        ::close(connection);
    }

    std::string readRequest(int connection)
    {
        std::string request;
        char buffer[4096];
        while (request.find("\r\n\r\n") == std::string::npos && !m_isStopping) {
            const auto received = recv(connection, buffer, sizeof buffer, 0);
            if (received == 0 || (received < 0 && errno != EAGAIN))
                return "";
            request.append(buffer, static_cast<std::size_t>(std::max<ssize_t>(0, received)));
        }
        return request;
    }

    static std::string attemptOf(const std::string& request)
    {
        for (const std::string name : { "\r\nx-hyssopwick-attempt: ", "\r\nX-Request-Id: " }) {
            const auto found = request.find(name);
            if (found != std::string::npos)
                return request.substr(found + name.size(), request.find('\r', found + 2) - found - name.size());
        }
        return "";
    }

    bool sendAll(int connection, const std::string& bytes)
    {
        for (std::size_t sent = 0; sent < bytes.size();) {
            const auto result = send(connection, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (m_isStopping || (result < 0 && errno != EAGAIN))
                return false;
            sent += static_cast<std::size_t>(std::max<ssize_t>(0, result));
            m_sentBytes += static_cast<std::size_t>(std::max<ssize_t>(0, result));
        }
        return true;
    }

    std::string m_prefix;
    std::string m_piece;
    int m_listener;
    std::uint16_t m_port = 0;
    std::atomic<bool> m_isStopping { false };
    std::atomic<std::size_t> m_sentBytes { 0 };
    std::atomic<std::size_t> m_answerCount { 0 };
    std::atomic<std::size_t> m_closedCount { 0 };
    std::list<std::thread> m_threads; // used on the acceptor's thread until it is joined
    std::thread m_acceptor;
};

/// Caller that sends a request and does not read its answer.
class SilentCaller {
public:
    SilentCaller(const std::string& address, const HttpClientRequest& request)
        : m_socket(socket(AF_INET, SOCK_STREAM, 0))
    {
        const auto target = socketAddress(address);
        LONGS_EQUAL(0, connect(m_socket, reinterpret_cast<const sockaddr*>(&target), sizeof target));
        auto text = request.method + " " + request.url.substr(request.url.find('/', request.url.find("//") + 2)) + " HTTP/1.1\r\nHost: " + address + "\r\n";
        for (const auto& [name, value] : request.headers)
            text += name + ": " + value + "\r\n";
        text += "Content-Length: " + std::to_string(request.body->size()) + "\r\n\r\n" + *request.body;
        LONGS_EQUAL(text.size(), ::send(m_socket, text.data(), text.size(), MSG_NOSIGNAL));
    }

    ~SilentCaller() { ::close(m_socket); }

private:
    int m_socket;
};

inline ProcessSettings endlessServerSettings(const std::string& kind, const std::string& listen, const std::string& server)
{
    ProcessSettings settings;
    settings.vm = { kind + "-1", listen, "region-0", "region-0-0", kind };
    settings.listen = listen;
    settings.keyValueAddress = settings.vmListAddress = settings.upstreamAddress = settings.originAddress = server;
    settings.originRegion = "region-0";
    settings.uplinkBytesPerSecond = settings.downlinkBytesPerSecond = settings.regionLinkBytesPerSecond = 100'000'000;
    settings.peerKeyId = "k";
    settings.peerKey = "test-peer-key-0001";
    settings.keyValueCallsPerSecond = 40;
    settings.workerThreads = 3;
    return settings;
}

/// Tests of servers in trouble that send bytes until their caller closes.
struct EndlessResponseGroup : public Utest {
    std::size_t allocatedBefore = 0;
    std::size_t peakBytes = 0;

    void setup() override
    {
        std::signal(SIGPIPE, SIG_IGN); // as in the programs
        allocatedBefore = allocatedBytes();
    }

    void teardown() override { std::signal(SIGPIPE, SIG_DFL); }

    // Samples the memory in use until a condition holds, for at most endBound.
    bool await(const std::function<bool()>& isDone)
    {
        for (const auto until = monotonicNow() + endBound; monotonicNow() < until;) {
            const auto allocated = allocatedBytes();
            peakBytes = std::max(peakBytes, allocated > allocatedBefore ? allocated - allocatedBefore : 0);
            if (isDone())
                return true;
            std::this_thread::sleep_for(Milliseconds(1));
        }
        return false;
    }

    void checkHeldBelow(std::size_t bound)
    {
        const auto text = "held " + std::to_string(peakBytes) + " bytes, over " + std::to_string(bound);
        CHECK_TEXT(peakBytes <= bound, text.c_str());
    }

    void checkClosed(const EndlessServer& server)
    {
        const bool isClosed = await([&] { return server.closedCount() > 0; });
        const auto text = "open after " + std::to_string(server.sentBytes()) + " bytes, " + std::to_string(peakBytes) + " held";
        CHECK_TEXT(isClosed, text.c_str());
    }

    // Sends a request with the client itself and returns the error's text.
    std::string fetch(const std::string& prefix, const std::string& pattern, const HttpClient::DataHandler& onData = nullptr)
    {
        EndlessServer server(prefix, pattern);
        std::promise<Outcome<HttpClientResponse>> promise;
        auto future = promise.get_future();
        HttpClient client;
        HttpClientRequest request;
        request.method = "GET";
        request.url = "http://" + server.address() + "/";
        request.deadline = monotonicNow() + deadline;
        client.start(
            std::move(request), [&](Outcome<HttpClientResponse> answer) { promise.set_value(std::move(answer)); }, onData);
        checkClosed(server);
        const auto answer = future.get();
        CHECK_FALSE(answer.has_value());
        CHECK(answer.error().code == ErrorCode::UnknownResult);
        return answer.error().message;
    }

    void checkLimit(const std::string& error, const std::string& limit)
    {
        CHECK_TEXT(error.find(limit) != std::string::npos, error.c_str());
    }

    template <typename Result>
    void awaitFailure(const EndlessServer& server, std::future<Result> result)
    {
        checkClosed(server);
        CHECK_FALSE(result.get().has_value());
    }
};

}
