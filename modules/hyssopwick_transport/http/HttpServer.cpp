#include "HttpServer.h"

#include <atomic>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/optional.hpp>
#include <map>
#include <mutex>
#include <pistache/endpoint.h>
#include <pistache/http.h>
#include <pistache/peer.h>
#include <sys/socket.h>
#include <unordered_map>

namespace hyssopwick {

namespace {

    namespace Http = Pistache::Http;
    namespace Beast = boost::beast::http;

    constexpr std::size_t maxResponseBytes = std::size_t(1) << 31;
    // Minutes of a token stream; a caller that reads, however slowly, stays far below it.
    constexpr std::size_t maxUnreadStreamBytes = std::size_t(2) << 20;
    // Estimate of what Pistache allocates for each write beside its bytes.
    constexpr std::size_t writeOverheadBytes = 512;
    constexpr int listenBacklog = 1024;
    // A head, the framing of a body in chunks, and what is discarded after a rejection.
    constexpr std::size_t maxHeadBytes = std::size_t(64) << 10;
    constexpr std::size_t readBytes = std::size_t(16) << 10;
    constexpr std::size_t maxDiscardedBytes = std::size_t(1) << 20;
    // A chunk of one byte has five bytes of framing.
    constexpr std::size_t maxFramingPerByte = 8;
    // Shortest rest of a body in chunks; the parser expects that it arrives in pieces of some bytes.
    constexpr std::size_t lastChunkBytes = 5;
    // A body that grows in chunks is copied when its string does.
    constexpr std::size_t copiesOfRequest = 2;
    constexpr int statusBadRequest = 400;
    constexpr int statusTooLarge = 413;
    constexpr int statusHeadTooLarge = 431;
    constexpr int statusUnavailable = 503;
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

    // Applies the budget of all clients to the connections of all threads.
    class ClientRegistry {
    public:
        using Id = RequestBudget::ConnectionId;

        explicit ClientRegistry(RequestBudgetLimits limits)
            : m_budget(limits)
        {
        }

        std::optional<Id> add(const std::shared_ptr<Pistache::Tcp::Peer>& peer)
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            // Pistache notices the end of the connection and then forgets it. It closes the descriptor
            // only after remove().
            const auto shutDown = [weak = std::weak_ptr<Pistache::Tcp::Peer>(peer)](EvictionReason) {
                if (const auto evicted = weak.lock())
                    ::shutdown(evicted->fd(), SHUT_RDWR);
            };
            const auto id = m_budget.add("", shutDown, monotonicNow());
            if (id)
                m_usage[*id] = {};
            return id;
        }

        void remove(Id id)
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            m_budget.remove(id);
            m_usage.erase(id);
        }

        // Lets a request that is being read hold some bytes.
        bool reserve(Id id, std::size_t bytes)
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            const auto usage = m_usage.find(id);
            const auto now = monotonicNow();
            if (usage == m_usage.end() || !m_budget.reserve(id, usage->second.acceptedBytes + bytes, now))
                return false;
            m_budget.recordProgress(id, now);
            usage->second.readBytes = bytes;
            return true;
        }

        // What was being read is a request that is being handled now. Returns what it holds.
        std::size_t accept(Id id)
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            auto& usage = m_usage[id];
            const auto bytes = std::exchange(usage.readBytes, 0);
            usage.acceptedBytes += bytes;
            ++usage.acceptedRequests;
            m_budget.setAccepted(id, true);
            return bytes;
        }

        void endRequest(Id id, std::size_t bytes)
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            const auto usage = m_usage.find(id);
            if (usage == m_usage.end())
                return;
            usage->second.acceptedBytes -= bytes;
            m_budget.release(id, usage->second.acceptedBytes + usage->second.readBytes);
            if (--usage->second.acceptedRequests > 0)
                return;
            m_budget.setAccepted(id, false);
            m_budget.recordProgress(id, monotonicNow());
        }

        // Ends a request that is being read. Returns whether others of its connection are being handled.
        bool discard(Id id)
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            const auto usage = m_usage.find(id);
            if (usage == m_usage.end())
                return false;
            usage->second.readBytes = 0;
            m_budget.release(id, usage->second.acceptedBytes);
            return usage->second.acceptedRequests > 0;
        }

        void exportMetrics(MetricsRegistry& metrics) const
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            const auto& counters = m_budget.counters();
            metrics.gauge("client_connections", double(m_budget.connections()));
            metrics.gauge("request_bytes_held", double(m_budget.heldBytes()));
            metrics.gauge("connections_evicted", double(counters.evictedForConnections));
            metrics.gauge("requests_evicted_for_memory", double(counters.evictedForMemory));
            metrics.gauge("connections_refused", double(counters.refusedConnections));
            metrics.gauge("requests_refused_for_memory", double(counters.refusedReservations));
        }

    private:
        struct Usage {
            std::size_t readBytes = 0;
            std::size_t acceptedBytes = 0;
            std::size_t acceptedRequests = 0;
        };

        mutable std::mutex m_mutex; // guards the members below
        RequestBudget m_budget;
        std::map<Id, Usage> m_usage;
    };

    using ClientRegistryPointer = std::shared_ptr<ClientRegistry>;

    // Keeps the memory of a request and its connection until the request has been answered.
    class AcceptedRequest {
    public:
        AcceptedRequest(ClientRegistryPointer registry, ClientRegistry::Id id)
            : m_registry(std::move(registry))
            , m_id(id)
            , m_bytes(m_registry->accept(id))
        {
        }

        ~AcceptedRequest() { m_registry->endRequest(m_id, m_bytes); }

        AcceptedRequest(const AcceptedRequest&) = delete;
        AcceptedRequest& operator=(const AcceptedRequest&) = delete;

    private:
        ClientRegistryPointer m_registry;
        ClientRegistry::Id m_id;
        std::size_t m_bytes;
    };

    using RequestParser = Beast::request_parser<Beast::string_body>;

    // A connection and the request that is being read from it.
    struct Client {
        ClientRegistry::Id id = 0;
        boost::optional<RequestParser> parser;
        boost::beast::flat_buffer buffer; // received and not parsed
        std::size_t headBytes = 0;
        std::size_t bodyWireBytes = 0; // with the framing of chunks and trailers
        std::size_t discardedBytes = 0;
        bool isRejected = false;
        HttpRequest request; // without its body, once the head is complete

        // Chunk headers and trailers are no part of the body, whose size is limited by the parser.
        bool isFramingTooLarge() const { return bodyWireBytes > maxHeadBytes + parser->get().body().size() * (1 + maxFramingPerByte); }

        std::size_t memory() const
        {
            const auto announced = parser->is_header_done() ? parser->content_length().value_or(0) : 0;
            return copiesOfRequest * (headBytes + buffer.capacity() + std::max<std::size_t>(announced, parser->get().body().capacity()));
        }

        std::size_t minBytesToParse() const { return parser && parser->is_header_done() && parser->chunked() ? lastChunkBytes : 1; }
    };

    // Pistache's ResponseStream flushes the transport's queue on the calling thread,
    // although that queue allows one consumer only. Responses are therefore passed to
    // Peer::send(), which may be called from any thread.
    class PistacheResponder : public HttpResponder {
    public:
        PistacheResponder(std::unique_ptr<AcceptedRequest> accepted, std::weak_ptr<Pistache::Tcp::Peer> peer, WriteCounter pendingWrites)
            : m_accepted(std::move(accepted))
            , m_peer(std::move(peer))
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

        std::unique_ptr<AcceptedRequest> m_accepted;
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

    // Returns the parameters of a query, as they are written.
    std::map<std::string, std::string> queryParameters(std::string_view query)
    {
        std::map<std::string, std::string> parameters;
        while (!query.empty()) {
            const auto end = std::min(query.find('&'), query.size());
            const auto parameter = query.substr(0, end);
            const auto equals = std::min(parameter.find('='), parameter.size());
            if (equals > 0)
                parameters.emplace(parameter.substr(0, equals), parameter.substr(std::min(equals + 1, parameter.size())));
            query.remove_prefix(std::min(end + 1, query.size()));
        }
        return parameters;
    }

    // Trailers are added to the parser's fields later, so this is for a complete head.
    HttpRequest translateHead(const Beast::request<Beast::string_body>& message)
    {
        HttpRequest translated;
        translated.method = std::string(message.method_string());
        const std::string target(message.target());
        const auto queryBegin = std::min(target.find('?'), target.size());
        translated.path = target.substr(0, queryBegin);
        translated.query = queryParameters(std::string_view(target).substr(std::min(queryBegin + 1, target.size())));
        for (const auto& field : message)
            translated.headers[lowerCase(std::string(field.name_string()))] = std::string(field.value());
        return translated;
    }

    // Pistache clones the handler for each of its threads, so the table of open
    // responders needs no lock. Its parser does not return from a body in chunks of which a part is
    // missing, and limits each request only; so requests are read by Beast's, within the budget of all.
    class PistacheHandler : public Http::Handler {
    public:
        HTTP_PROTOTYPE(PistacheHandler)

        PistacheHandler(HttpHandler handler, WriteCounter pendingWrites, ClientRegistryPointer clients)
            : m_handler(std::move(handler))
            , m_pendingWrites(std::move(pendingWrites))
            , m_clients(std::move(clients))
        {
        }

        PistacheHandler(const PistacheHandler& other)
            : Http::Handler(other)
            , m_handler(other.m_handler)
            , m_pendingWrites(other.m_pendingWrites)
            , m_clients(other.m_clients)
        {
        }

        void onConnection(const std::shared_ptr<Pistache::Tcp::Peer>& peer) override
        {
            peer->putData(ParserData, std::make_shared<Http::RequestParser>(0)); // asked for the time of its start
            const auto client = std::make_shared<Client>();
            if (const auto id = m_clients->add(peer))
                client->id = *id;
            client->isRejected = client->id == 0;
            peer->putData(clientData, client);
            if (client->isRejected)
                ::shutdown(peer->fd(), SHUT_RDWR);
        }

        void onInput(const char* data, std::size_t size, const std::shared_ptr<Pistache::Tcp::Peer>& peer) override
        {
            auto& client = *std::static_pointer_cast<Client>(peer->getData(clientData));
            if (client.isRejected)
                return discard(size, client, *peer);
            if (client.buffer.size() + size > maxHeadBytes + readBytes)
                return reject(statusHeadTooLarge, client, peer);
            client.buffer.commit(boost::asio::buffer_copy(client.buffer.prepare(size), boost::asio::buffer(data, size)));
            read(client, peer);
        }

        // Requests are passed to the handler by onInput().
        void onRequest(const Http::Request&, Http::ResponseWriter) override { }

        void onDisconnection(const std::shared_ptr<Pistache::Tcp::Peer>& peer) override
        {
            m_clients->remove(std::static_pointer_cast<Client>(peer->getData(clientData))->id);
            const auto found = m_openResponders.find(peer->getID());
            if (found == m_openResponders.end())
                return;
            if (const auto responder = found->second.lock())
                responder->close();
            m_openResponders.erase(found);
        }

    private:
        static constexpr const char* clientData = "client";

        void read(Client& client, const std::shared_ptr<Pistache::Tcp::Peer>& peer)
        {
            while (client.buffer.size() >= client.minBytesToParse()) {
                if (!client.parser)
                    beginRequest(client);
                boost::system::error_code error;
                const bool isHead = !client.parser->is_header_done();
                const auto size = client.parser->put(client.buffer.data(), error);
                client.buffer.consume(size);
                (isHead ? client.headBytes : client.bodyWireBytes) += size;
                if (error && error != Beast::error::need_more)
                    return reject(statusFor(error), client, peer);
                if (isHead && client.parser->is_header_done() && !acceptHead(client, peer))
                    return;
                if (client.isFramingTooLarge())
                    return reject(statusHeadTooLarge, client, peer);
                if (!m_clients->reserve(client.id, client.memory()))
                    return reject(statusUnavailable, client, peer);
                if (client.parser->is_done())
                    return dispatch(client, peer);
                if (error)
                    return;
            }
        }

        void beginRequest(Client& client) const
        {
            client.parser.emplace();
            client.parser->header_limit(maxHeadBytes);
            client.parser->body_limit(getMaxRequestSize());
            client.headBytes = client.bodyWireBytes = 0;
        }

        bool acceptHead(Client& client, const std::shared_ptr<Pistache::Tcp::Peer>& peer)
        {
            const auto& message = client.parser->get();
            if (message.count(Beast::field::transfer_encoding) > 0 && !client.parser->chunked()) {
                reject(statusBadRequest, client, peer);
                return false;
            }
            client.request = translateHead(message);
            client.parser->eager(true);
            const std::string goOn = "HTTP/1.1 100 Continue\r\n\r\n";
            if (!client.parser->is_done() && boost::beast::iequals(message[Beast::field::expect], "100-continue"))
                peer->send(Pistache::RawBuffer(goOn, goOn.size())).then([](ssize_t) {}, [](const std::exception_ptr&) {});
            return true;
        }

        static int statusFor(const boost::system::error_code& error)
        {
            if (error == Beast::error::header_limit)
                return statusHeadTooLarge;
            return error == Beast::error::body_limit ? statusTooLarge : statusBadRequest;
        }

        void dispatch(Client& client, const std::shared_ptr<Pistache::Tcp::Peer>& peer)
        {
            // Pistache sends 408 on a connection that has not been marked idle for longer
            // than the header or body timeout, even while its request is being handled and
            // after the response; the client would take it for its next response.
            peer->setIdle(true);
            auto responder = std::make_shared<PistacheResponder>(std::make_unique<AcceptedRequest>(m_clients, client.id), peer, m_pendingWrites);
            m_openResponders[peer->getID()] = responder;
            auto request = std::move(client.request);
            request.body = std::move(client.parser->get().body());
            client.parser.reset();
            // Some clients end a body with a line break. Answers to requests that are sent ahead could
            // overtake each other.
            while (client.buffer.size() > 0 && std::isspace(*static_cast<const unsigned char*>(client.buffer.data().data())) != 0)
                client.buffer.consume(1);
            client.isRejected = client.buffer.size() > 0;
            client.buffer.shrink_to_fit();
            m_handler(std::move(request), std::move(responder));
        }

        // The connection carries no further request. What the client still sends is discarded, so that
        // its answer is not lost to a reset.
        void reject(int status, Client& client, const std::shared_ptr<Pistache::Tcp::Peer>& peer)
        {
            client.isRejected = true;
            client.parser.reset();
            client.buffer = {};
            if (m_clients->discard(client.id))
                return; // earlier requests are still being handled
            auto head = responseHead(status, { { "Connection", "close" }, { "Content-Length", "0" } });
            if (status == statusUnavailable)
                head += "Retry-After: 1\r\n";
            head += "\r\n";
            const auto size = head.size();
            const auto shutDown = [weak = std::weak_ptr<Pistache::Tcp::Peer>(peer)](ssize_t) {
                if (const auto rejected = weak.lock())
                    ::shutdown(rejected->fd(), SHUT_WR);
            };
            peer->send(Pistache::RawBuffer(std::move(head), size)).then(shutDown, [](const std::exception_ptr&) {});
        }

        static void discard(std::size_t size, Client& client, const Pistache::Tcp::Peer& peer)
        {
            client.discardedBytes += size;
            if (client.discardedBytes > maxDiscardedBytes)
                ::shutdown(peer.fd(), SHUT_RDWR);
        }

        HttpHandler m_handler;
        WriteCounter m_pendingWrites;
        ClientRegistryPointer m_clients;
        std::unordered_map<std::size_t, std::weak_ptr<PistacheResponder>> m_openResponders;
    };

}

struct HttpServer::State {
    HttpServerOptions options;
    HttpHandler handler;
    WriteCounter pendingWrites = std::make_shared<std::atomic<std::size_t>>(0);
    ClientRegistryPointer clients;
    std::unique_ptr<Http::Endpoint> endpoint;
    std::string host;
};

HttpServer::HttpServer(HttpServerOptions options, HttpHandler handler)
    : m_state(std::make_unique<State>())
{
    m_state->options = std::move(options);
    m_state->handler = std::move(handler);
    m_state->clients = std::make_shared<ClientRegistry>(m_state->options.budget);
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
                                    .headerTimeout(options.bodyTimeout) // Pistache does not see when the head is complete
                                    .bodyTimeout(options.bodyTimeout)
                                    .keepaliveTimeout(keepaliveTimeout));
        m_state->endpoint->setHandler(std::make_shared<PistacheHandler>(m_state->handler, m_state->pendingWrites, m_state->clients));
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

void HttpServer::exportMetrics(MetricsRegistry& metrics) const { m_state->clients->exportMetrics(metrics); }

std::string HttpServer::address() const
{
    if (!m_state->endpoint)
        return m_state->options.address;
    return m_state->host + ":" + std::to_string(static_cast<std::uint16_t>(m_state->endpoint->getPort()));
}

}
