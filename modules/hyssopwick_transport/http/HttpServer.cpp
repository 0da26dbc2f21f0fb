#include "HttpServer.h"

#include <atomic>
#include <mutex>
#include <pistache/endpoint.h>
#include <pistache/http.h>
#include <pistache/peer.h>
#include <sys/socket.h>
#include <unordered_map>

namespace hyssopwick {

namespace {

    namespace Http = Pistache::Http;

    constexpr std::size_t maxResponseBytes = std::size_t(1) << 31;
    // Minutes of a token stream; a caller that reads, however slowly, stays far below it.
    constexpr std::size_t maxUnreadStreamBytes = std::size_t(2) << 20;
    // Estimate of what Pistache allocates for each write beside its bytes.
    constexpr std::size_t writeOverheadBytes = 512;
    constexpr int listenBacklog = 1024;
    // Also limits the duration of a streamed response.
    constexpr Milliseconds keepaliveTimeout { 3'600'000 };

    const char* reasonPhrase(int status) { return Http::codeString(static_cast<Http::Code>(status)); }

    std::string responseHead(int status, const HttpHeaders& headers)
    {
        std::string head = "HTTP/1.1 " + std::to_string(status) + " " + reasonPhrase(status) + "\r\n";
        for (const auto& [name, value] : headers)
            head += name + ": " + value + "\r\n";
        return head;
    }

    using WriteCounter = std::shared_ptr<std::atomic<std::size_t>>;

    // Counts a write and its bytes until Pistache has ended it or has dropped it with its connection.
    class PendingWrite {
    public:
        PendingWrite(WriteCounter counter, WriteCounter unreadBytes, std::size_t bytes)
            : m_counter(std::move(counter))
            , m_unreadBytes(std::move(unreadBytes))
            , m_bytes(bytes + writeOverheadBytes)
        {
            ++*m_counter;
            *m_unreadBytes += m_bytes;
        }

        ~PendingWrite()
        {
            --*m_counter;
            *m_unreadBytes -= m_bytes;
        }

        PendingWrite(const PendingWrite&) = delete;
        PendingWrite& operator=(const PendingWrite&) = delete;

    private:
        WriteCounter m_counter;
        WriteCounter m_unreadBytes;
        std::size_t m_bytes;
    };

    // Pistache's ResponseStream flushes the transport's queue on the calling thread,
    // although that queue allows one consumer only. Responses are therefore passed to
    // Peer::send(), which may be called from any thread.
    class PistacheResponder : public HttpResponder {
    public:
        PistacheResponder(std::weak_ptr<Pistache::Tcp::Peer> peer, WriteCounter pendingWrites)
            : m_peer(std::move(peer))
            , m_pendingWrites(std::move(pendingWrites))
        {
        }

        void send(int status, std::string body, const HttpHeaders& headers) override
        {
            auto message = responseHead(status, headers);
            message += "Connection: Keep-Alive\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
            message += body;
            enqueue(std::move(message));
        }

        void startStream(int status, const HttpHeaders& headers) override
        {
            enqueue(responseHead(status, headers) + "Connection: Keep-Alive\r\nTransfer-Encoding: chunked\r\n\r\n");
        }

        bool write(std::string_view data) override
        {
            if (data.empty())
                return isConnected();
            char size[20];
            const int sizeLength = std::snprintf(size, sizeof size, "%zx\r\n", data.size());
            std::string message(size, static_cast<std::size_t>(sizeLength));
            message += data;
            message += "\r\n";
            return !closeUnread() && enqueue(std::move(message));
        }

        void finish() override { enqueue("0\r\n\r\n"); }

        bool isConnected() const override { return !m_isClosed; }

        bool isUnread() const override { return m_isUnread; }

        void close()
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            m_isClosed = true;
        }

    private:
        // Closes the connection if its caller reads too slowly, so that the stream does not seem
        // complete. Pistache notices that and discards what is not written.
        bool closeUnread()
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            if (m_isUnread || m_isClosed || *m_unreadBytes <= maxUnreadStreamBytes)
                return m_isUnread;
            m_isUnread = true;
            // Pistache closes the descriptor only after close().
            if (const auto peer = m_peer.lock())
                ::shutdown(peer->fd(), SHUT_RDWR);
            return true;
        }

        bool enqueue(std::string message)
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            if (m_isClosed || m_isUnread)
                return false;
            const auto peer = m_peer.lock();
            if (!peer)
                return false;
            const auto size = message.size();
            const auto write = std::make_shared<PendingWrite>(m_pendingWrites, m_unreadBytes, size);
            peer->send(Pistache::RawBuffer(std::move(message), size)).then([write](ssize_t) {}, [write](const std::exception_ptr&) {});
            return true;
        }

        std::weak_ptr<Pistache::Tcp::Peer> m_peer;
        WriteCounter m_pendingWrites;
        WriteCounter m_unreadBytes = std::make_shared<std::atomic<std::size_t>>(0);
        std::mutex m_mutex;
        std::atomic<bool> m_isClosed { false };
        std::atomic<bool> m_isUnread { false };
    };

    std::string lowerCase(std::string text)
    {
        for (auto& character : text)
            character = static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
        return text;
    }

    HttpRequest translate(const Http::Request& request)
    {
        HttpRequest translated;
        translated.method = Http::methodString(request.method());
        translated.path = request.resource();
        for (auto parameter = request.query().parameters_begin(); parameter != request.query().parameters_end(); ++parameter)
            translated.query.emplace(parameter->first, parameter->second);
        for (const auto& [name, raw] : request.headers().rawList())
            translated.headers[lowerCase(raw.name())] = raw.value();
        translated.body = request.body();
        return translated;
    }

    // Pistache clones the handler for each of its threads, so the table of open
    // responders needs no lock.
    class PistacheHandler : public Http::Handler {
    public:
        HTTP_PROTOTYPE(PistacheHandler)

        PistacheHandler(HttpHandler handler, WriteCounter pendingWrites)
            : m_handler(std::move(handler))
            , m_pendingWrites(std::move(pendingWrites))
        {
        }

        PistacheHandler(const PistacheHandler& other)
            : Http::Handler(other)
            , m_handler(other.m_handler)
            , m_pendingWrites(other.m_pendingWrites)
        {
        }

        void onRequest(const Http::Request& request, Http::ResponseWriter writer) override
        {
            const auto peer = writer.getPeer();
            if (!peer)
                return;
            // Pistache sends 408 on a connection that has not been marked idle for longer
            // than the header or body timeout, even while its request is being handled and
            // after the response; the client would take it for its next response.
            peer->setIdle(true);
            auto responder = std::make_shared<PistacheResponder>(peer, m_pendingWrites);
            m_openResponders[peer->getID()] = responder;
            m_handler(translate(request), std::move(responder));
        }

        void onDisconnection(const std::shared_ptr<Pistache::Tcp::Peer>& peer) override
        {
            const auto found = m_openResponders.find(peer->getID());
            if (found == m_openResponders.end())
                return;
            if (const auto responder = found->second.lock())
                responder->close();
            m_openResponders.erase(found);
        }

    private:
        HttpHandler m_handler;
        WriteCounter m_pendingWrites;
        std::unordered_map<std::size_t, std::weak_ptr<PistacheResponder>> m_openResponders;
    };

}

struct HttpServer::State {
    HttpServerOptions options;
    HttpHandler handler;
    WriteCounter pendingWrites = std::make_shared<std::atomic<std::size_t>>(0);
    std::unique_ptr<Http::Endpoint> endpoint;
    std::string host;
};

HttpServer::HttpServer(HttpServerOptions options, HttpHandler handler)
    : m_state(std::make_unique<State>())
{
    m_state->options = std::move(options);
    m_state->handler = std::move(handler);
}

HttpServer::~HttpServer() { stop(); }

Outcome<void> HttpServer::start()
{
    const auto& options = m_state->options;
    try {
        const Pistache::Address address(options.address);
        m_state->host = address.host();
        m_state->endpoint = std::make_unique<Http::Endpoint>(address);
        m_state->endpoint->init(Http::Endpoint::options()
                                    .threads(static_cast<int>(options.threads))
                                    .backlog(listenBacklog)
                                    .flags(Pistache::Tcp::Options::ReuseAddr | Pistache::Tcp::Options::NoDelay)
                                    .maxRequestSize(options.maxRequestBytes)
                                    .maxResponseSize(maxResponseBytes)
                                    .headerTimeout(options.headerTimeout)
                                    .bodyTimeout(options.bodyTimeout)
                                    .keepaliveTimeout(keepaliveTimeout));
        m_state->endpoint->setHandler(std::make_shared<PistacheHandler>(m_state->handler, m_state->pendingWrites));
        m_state->endpoint->serveThreaded();
    } catch (const std::exception& exception) {
        return failure(ErrorCode::Unavailable, "cannot listen on " + options.address + ": " + exception.what());
    }
    return success();
}

void HttpServer::stop()
{
    if (!m_state->endpoint)
        return;
    m_state->endpoint->shutdown();
    m_state->endpoint.reset();
}

std::size_t HttpServer::pendingWrites() const { return *m_state->pendingWrites; }

std::string HttpServer::address() const
{
    if (!m_state->endpoint)
        return m_state->options.address;
    return m_state->host + ":" + std::to_string(static_cast<std::uint16_t>(m_state->endpoint->getPort()));
}

}
