#include "HttpServer.h"

#include "ClientAcceptor.h"
#include "PistacheResponder.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/optional.hpp>
#include <map>
#include <pistache/peer.h>
#include <pistache/reactor.h>
#include <pistache/tcp.h>
#include <pistache/transport.h>
#include <sys/socket.h>
#include <thirdparty/BeastHttp.h>
#include <unordered_map>

namespace hyssopwick {

namespace {

    namespace Beast = boost::beast::http;

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
    constexpr int statusRequestTimeout = 408;
    // For the threads to close their connections.
    constexpr Milliseconds maxStopTime { 1000 };

    using RequestParser = Beast::request_parser<Beast::string_body>;

    // A connection and the request that is being read from it.
    struct Client {
        explicit Client(ClientRegistry::Id identifier)
            : id(identifier)
        {
        }

        ClientRegistry::Id id;
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

    void sendTo(
        const std::shared_ptr<Pistache::Tcp::Peer>& peer, std::string message, const std::function<void()>& onSent = [] {})
    {
        const auto write = std::make_shared<PendingWrite>(ClientConnection::of(*peer)->pendingWrites());
        const auto size = message.size();
        peer->send(Pistache::RawBuffer(std::move(message), size)).then([write, onSent](ssize_t) { onSent(); }, [write](const std::exception_ptr&) {});
    }

    // Ends only the sending side: a reset could cost the client this answer.
    void sendRejection(const std::shared_ptr<Pistache::Tcp::Peer>& peer, int status)
    {
        auto head = responseHead(status, { { "Connection", "close" }, { "Content-Length", "0" } });
        if (status == statusUnavailable)
            head += "Retry-After: 1\r\n";
        sendTo(peer, head + "\r\n", [weak = std::weak_ptr<Pistache::Tcp::Peer>(peer)] {
            if (const auto rejected = weak.lock())
                ::shutdown(rejected->fd(), SHUT_WR);
        });
    }

    // Pistache clones the handler for each of its threads, so the table of open
    // responders needs no lock. Its parser does not return from a body in chunks of which a part is
    // missing, and limits each request only; so requests are read by Beast's, within the budget of all.
    class PistacheHandler : public Pistache::Tcp::Handler {
    public:
        PROTOTYPE_OF(Pistache::Tcp::Handler, PistacheHandler)

        PistacheHandler(HttpHandler handler, std::size_t maxRequestBytes, WriteCounter pendingWrites, ClientRegistryPointer clients)
            : m_handler(std::move(handler))
            , m_maxRequestBytes(maxRequestBytes)
            , m_pendingWrites(std::move(pendingWrites))
            , m_clients(std::move(clients))
        {
        }

        PistacheHandler(const PistacheHandler& other)
            : Pistache::Tcp::Handler(other)
            , m_handler(other.m_handler)
            , m_maxRequestBytes(other.m_maxRequestBytes)
            , m_pendingWrites(other.m_pendingWrites)
            , m_clients(other.m_clients)
        {
        }

        void onConnection(const std::shared_ptr<Pistache::Tcp::Peer>& peer) override
        {
            peer->putData(clientData, std::make_shared<Client>(ClientConnection::of(*peer)->id()));
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
            client.parser->body_limit(m_maxRequestBytes);
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
            if (!client.parser->is_done() && boost::beast::iequals(message[Beast::field::expect], "100-continue"))
                sendTo(peer, "HTTP/1.1 100 Continue\r\n\r\n");
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
            auto accepted = m_clients->accept(client.id);
            if (!accepted) {
                client.isRejected = true;
                client.parser.reset();
                return;
            }
            auto responder = std::make_shared<PistacheResponder>(std::move(accepted), peer, m_pendingWrites);
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
            if (!m_clients->reject(client.id)) // otherwise earlier requests are still being handled
                sendRejection(peer, status);
        }

        static void discard(std::size_t size, Client& client, const Pistache::Tcp::Peer& peer)
        {
            client.discardedBytes += size;
            if (client.discardedBytes > maxDiscardedBytes)
                ::shutdown(peer.fd(), SHUT_RDWR);
        }

        HttpHandler m_handler;
        std::size_t m_maxRequestBytes;
        WriteCounter m_pendingWrites;
        ClientRegistryPointer m_clients;
        std::unordered_map<std::size_t, std::weak_ptr<PistacheResponder>> m_openResponders;
    };

}

struct HttpServer::State {
    State(HttpServerOptions serverOptions, HttpHandler handler)
        : options(std::move(serverOptions))
        , clients(std::make_shared<ClientRegistry>(options.budget, options.bodyTimeout))
        , reactor(Pistache::Aio::Reactor::create())
        , acceptor(
              clients, [this](const auto& peer) { passToThread(peer); }, [](const auto& peer) { sendRejection(peer, statusRequestTimeout); })
    {
        reactor->init(Pistache::Aio::AsyncContext(options.threads));
        transports = reactor->addHandler(std::make_shared<Pistache::Tcp::Transport>(std::make_shared<PistacheHandler>(std::move(handler), options.maxRequestBytes, pendingWrites, clients)));
    }

    void passToThread(const std::shared_ptr<Pistache::Tcp::Peer>& peer) const
    {
        const auto threads = reactor->handlers(transports);
        const auto& thread = threads.at(static_cast<std::size_t>(peer->fd()) % threads.size());
        std::static_pointer_cast<Pistache::Tcp::Transport>(thread)->handleNewPeer(peer);
    }

    HttpServerOptions options;
    WriteCounter pendingWrites = std::make_shared<std::atomic<std::size_t>>(0);
    ClientRegistryPointer clients;
    std::shared_ptr<Pistache::Aio::Reactor> reactor;
    Pistache::Aio::Reactor::Key transports; // one for each thread
    ClientAcceptor acceptor;
    bool isRunning = false;
};

HttpServer::HttpServer(HttpServerOptions options, HttpHandler handler)
    : m_state(std::make_unique<State>(std::move(options), std::move(handler)))
{
}

HttpServer::~HttpServer() { stop(); }

Outcome<void> HttpServer::start()
{
    const auto started = m_state->acceptor.start(m_state->options.address);
    if (!started)
        return started;
    m_state->reactor->run();
    m_state->isRunning = true;
    return success();
}

void HttpServer::stop()
{
    if (!std::exchange(m_state->isRunning, false))
        return;
    m_state->acceptor.stop();
    m_state->clients->closeAll(monotonicNow() + maxStopTime);
    m_state->reactor->shutdown();
    m_state->reactor.reset();
}

std::size_t HttpServer::pendingWrites() const { return *m_state->pendingWrites; }

void HttpServer::exportMetrics(MetricsRegistry& metrics) const { m_state->clients->exportMetrics(metrics); }

std::string HttpServer::address() const
{
    const auto bound = m_state->acceptor.address();
    return bound.empty() ? m_state->options.address : bound;
}

}
