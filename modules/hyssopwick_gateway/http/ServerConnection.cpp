#include "ServerConnection.h"

#include "TransmissionState.h"

namespace hyssopwick {

namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

    // After the last answer, a caller has this long to close its side.
    constexpr Milliseconds lingerTime { 1000 };
    // Limit on reading a body; the caller's own deadline is checked when the request is complete.
    constexpr Milliseconds bodyTimeout { 10000 };
    // Bytes of the caller's next requests that are read while one is being answered. Beyond
    // them the connection is left unread until the answer is complete.
    constexpr std::size_t maxReadAheadBytes = 16384;
    constexpr std::size_t readBytes = 4096;
    constexpr std::size_t headReadBytes = 512;
    constexpr std::size_t bodyReadBytes = 16384;
    // A chunk of one byte has five bytes of framing.
    constexpr std::size_t maxFramingPerByte = 8;
    // Shortest rest of a body in chunks.
    constexpr std::size_t lastChunkBytes = 5;
    // Fields are held as read and as passed to the handler.
    constexpr std::size_t copiesOfHead = 2;
    constexpr Milliseconds departureCheckPeriod { 200 };
    // A caller's deadline may have passed when its refusal is sent.
    constexpr Milliseconds minSendTime { 100 };
    // For an answer whose caller has no deadline, such as a peer that fetches weights over a slow link.
    constexpr Milliseconds maxSendTime { 60000 };
    // A kept connection does not retain the buffer of a long answer.
    constexpr std::size_t maxRetainedBytes = 16384;

    std::string hostWithoutPort(boost::beast::string_view host)
    {
        const auto colon = host.rfind(':');
        return std::string(colon == boost::beast::string_view::npos ? host : host.substr(0, colon));
    }

}

/// The exchange that is passed to the handler. It may outlive the connection.
class ServerConnection::Exchange : public ServerExchange {
public:
    Exchange(std::weak_ptr<ServerConnection> connection, ServerRequest request)
        : m_connection(std::move(connection))
        , m_request(std::move(request))
    {
    }

    const ServerRequest& request() const override { return m_request; }

    void respond(unsigned status, HeaderFields fields, std::string body) override
    {
        if (const auto connection = openConnection()) {
            m_isEnded = true;
            connection->sendWhole(status, std::move(fields), std::move(body));
        }
    }

    void startStream(unsigned status, HeaderFields fields) override
    {
        if (const auto connection = openConnection())
            connection->sendStreamHead(status, fields);
    }

    void write(std::string data) override
    {
        if (data.empty())
            return;
        const auto connection = openConnection();
        if (!connection)
            return;
        char size[16];
        const int length = std::snprintf(size, sizeof size, "%zx\r\n", data.size());
        connection->enqueue(std::string(size, static_cast<std::size_t>(length)) + data + "\r\n", false);
    }

    void finish() override
    {
        if (const auto connection = openConnection()) {
            m_isEnded = true;
            connection->enqueue("0\r\n\r\n", true);
        }
    }

    void abort() override
    {
        if (const auto connection = openConnection()) {
            m_isEnded = true;
            connection->close();
        }
    }

    std::size_t unsentBytes() const override
    {
        const auto connection = openConnection();
        return connection ? connection->m_bufferedBytes - connection->m_sentBytes : 0;
    }

    void onSent(std::function<void()> handler) override { m_onSent = std::move(handler); }

    void sendBy(TimePoint deadline) override
    {
        if (const auto connection = openConnection())
            connection->m_sendBy = deadline;
    }

    void handleSent() const
    {
        if (m_isEnded || !m_onSent)
            return;
        const auto handler = m_onSent;
        handler();
    }

    void onCallerLeft(std::function<void()> handler) override { m_onCallerLeft = std::move(handler); }

    void onDone(std::function<void()> handler) override { m_onDone = std::move(handler); }

    void done()
    {
        m_isEnded = true;
        const auto handler = std::move(m_onDone);
        m_onDone = nullptr;
        if (handler)
            handler();
    }

    void handleCallerLeft()
    {
        if (m_isEnded)
            return;
        m_isEnded = true;
        if (const auto handler = std::move(m_onCallerLeft))
            handler();
    }

private:
    std::shared_ptr<ServerConnection> openConnection() const { return m_isEnded ? nullptr : m_connection.lock(); }

    std::weak_ptr<ServerConnection> m_connection;
    ServerRequest m_request;
    std::function<void()> m_onCallerLeft;
    std::function<void()> m_onDone;
    std::function<void()> m_onSent;
    bool m_isEnded = false;
};

ServerConnection::ServerConnection(TcpSocket socket, std::shared_ptr<ListenerState> listener)
    : m_socket(std::move(socket))
    , m_listener(std::move(listener))
    , m_timer(m_socket.get_executor())
{
    m_listener->connections.insert(this);
}

ServerConnection::~ServerConnection()
{
    m_listener->connections.erase(this);
    if (m_budgetId)
        m_listener->budget->remove(*m_budgetId);
    releaseBuffered(m_bufferedBytes);
    endExchange();
}

void ServerConnection::endExchange()
{
    const auto exchange = std::move(m_exchange);
    m_exchange.reset();
    const auto self = std::move(m_self); // released last
    if (!exchange)
        return;
    --m_listener->openExchanges;
    exchange->done();
}

void ServerConnection::start()
{
    const auto onEviction = [self = weak_from_this()](EvictionReason reason) {
        if (const auto connection = self.lock())
            connection->handleEviction(reason);
    };
    m_budgetId = m_listener->budget->add(m_listener->address, onEviction, monotonicNow());
    if (!m_budgetId) {
        ++m_listener->rejections["too-many-connections"];
        return close();
    }
    prepareSocket(m_socket);
    readNext();
}

void ServerConnection::handleEviction(EvictionReason reason)
{
    if (m_isClosed || m_isRejected)
        return close();
    if (reason == EvictionReason::Memory && !m_isIdle)
        return reject(statusRequestTimeout, "stalled");
    ++m_listener->rejections["connection-evicted"];
    close();
}

void ServerConnection::closeIfIdle()
{
    if (m_isIdle)
        close();
}

void ServerConnection::armTimer(TimePoint deadline, std::function<void()> handler)
{
    // An expired timer cannot be cancelled; the generation keeps its handler from acting in the next phase.
    const auto generation = ++m_timerGeneration;
    m_timer.expires_at(deadline);
    m_timer.async_wait([self = shared_from_this(), generation, handler = std::move(handler)](error_code error) {
        if (!error && !self->m_isClosed && generation == self->m_timerGeneration)
            handler();
    });
}

void ServerConnection::disarmTimer()
{
    ++m_timerGeneration;
    m_timer.cancel();
}

void ServerConnection::readNext()
{
    m_isIdle = m_buffer.size() == 0;
    if (!m_isIdle)
        return readHeader();
    m_buffer.shrink_to_fit();
    m_listener->budget->release(*m_budgetId, 0);
    armTimer(monotonicNow() + m_listener->limits().idleTimeout, [this] { close(); });
    m_socket.async_wait(TcpSocket::wait_read, [self = shared_from_this()](error_code error) {
        if (error || self->m_isClosed)
            return self->close();
        // The next read may take a whole request from the socket before its handler runs.
        self->m_isIdle = false;
        self->disarmTimer();
        self->readHeader();
    });
}

void ServerConnection::readHeader()
{
    m_limits = m_listener->limits();
    m_parser.emplace();
    m_parser->header_limit(static_cast<std::uint32_t>(m_limits.headerBytes));
    m_parser->body_limit(m_limits.bodyBytes);
    m_headBytes = m_bodyWireBytes = 0;
    armTimer(monotonicNow() + m_limits.headerTimeout, [this] {
        if (m_headBytes == 0 && m_buffer.size() == 0)
            return close();
        reject(statusRequestTimeout, "slow-header");
    });
    parse();
}

void ServerConnection::receive()
{
    const auto room = std::max(m_limits.headerBytes, maxReadAheadBytes) + readBytes - m_buffer.size();
    const auto wanted = m_parser->is_header_done() ? std::min(bodyReadBytes, std::max<std::uint64_t>(headReadBytes, m_parser->content_length_remaining().value_or(bodyReadBytes))) : std::max(headReadBytes, m_buffer.capacity() - m_buffer.size());
    if (room == 0)
        return reject(statusHeaderTooLarge, "framing-too-large");
    m_isReading = true;
    m_socket.async_read_some(m_buffer.prepare(std::min<std::size_t>(wanted, room)), [self = shared_from_this()](error_code error, std::size_t size) { self->handleReceived(error, size); });
}

void ServerConnection::handleReceived(error_code error, std::size_t size)
{
    m_isReading = false;
    if (m_isClosed || (m_isRejected && !m_isDiscarding))
        return;
    if (error)
        return close();
    if (m_isDiscarding)
        return discardInput();
    m_buffer.commit(size);
    m_listener->budget->recordProgress(*m_budgetId, monotonicNow());
    parse();
}

std::size_t ServerConnection::minBytesToParse() const
{
    // The parser expects that the last chunk arrives in pieces of some bytes.
    return m_parser->is_header_done() && m_parser->chunked() ? lastChunkBytes : 1;
}

void ServerConnection::parse()
{
    while (m_buffer.size() >= minBytesToParse()) {
        error_code error;
        const bool isHead = !m_parser->is_header_done();
        const auto size = m_parser->put(m_buffer.data(), error);
        m_buffer.consume(size);
        (isHead ? m_headBytes : m_bodyWireBytes) += size;
        if (error && error != http::error::need_more)
            return handleProtocolError(error);
        if (isHead && m_parser->is_header_done() && !acceptHead())
            return;
        if (isFramingTooLarge())
            return reject(statusHeaderTooLarge, "framing-too-large");
        if (!reserveMemory())
            return;
        if (m_parser->is_done())
            return dispatch();
        if (error)
            break;
    }
    receive();
}

// Chunk headers and trailers are no part of the body, whose size is limited by the parser.
bool ServerConnection::isFramingTooLarge() const
{
    const auto bodyBytes = m_parser->get().body().size();
    return m_bodyWireBytes > m_limits.headerBytes + bodyBytes * (1 + maxFramingPerByte);
}

std::size_t ServerConnection::memoryOfRequest() const
{
    const auto announced = m_parser->is_header_done() ? m_parser->content_length().value_or(0) : 0;
    return copiesOfHead * m_headBytes + m_buffer.capacity() + std::max<std::size_t>(announced, m_parser->get().body().capacity());
}

bool ServerConnection::reserveMemory()
{
    if (m_listener->budget->reserve(*m_budgetId, memoryOfRequest(), monotonicNow()))
        return true;
    reject(statusUnavailable, "memory", m_listener->busyFields);
    return false;
}

void ServerConnection::handleProtocolError(error_code error)
{
    if (error == http::error::header_limit)
        return reject(statusHeaderTooLarge, "header-too-large");
    if (error == http::error::body_limit)
        return reject(statusTooLarge, "body-too-large");
    reject(statusBadRequest, "malformed");
}

// With two lengths, or a length and an encoding, the next server could find another end of
// the message (RFC 7230, section 3.3.3).
const char* ServerConnection::framingProblem() const
{
    const auto& message = m_parser->get();
    const auto encodings = message.count(http::field::transfer_encoding);
    const auto lengths = message.count(http::field::content_length);
    if (encodings > 1 || lengths > 1 || (encodings == 1 && lengths == 1))
        return "ambiguous-length";
    if (encodings == 1 && !boost::beast::iequals(message[http::field::transfer_encoding], "chunked"))
        return "unknown-encoding";
    if (message.version() == 11 && message.count(http::field::host) != 1)
        return "no-host";
    return nullptr;
}

// Trailers are added to the parser's fields later, so the request takes its fields here.
bool ServerConnection::acceptHead()
{
    if (const auto* problem = framingProblem()) {
        reject(statusBadRequest, problem);
        return false;
    }
    const auto& message = m_parser->get();
    m_request = {};
    m_request.method = std::string(message.method_string());
    m_request.target = std::string(message.target());
    for (const auto& field : message)
        m_request.fields.emplace_back(std::string(field.name_string()), std::string(field.value()));
    m_request.host = hostWithoutPort(message[http::field::host]);
    m_isKeptAlive = message.keep_alive();
    m_isHeadMethod = message.method() == http::verb::head;
    if (m_parser->is_done())
        return true;
    if (!reserveMemory())
        return false;
    if (boost::beast::iequals(message[http::field::expect], "100-continue"))
        enqueue("HTTP/1.1 100 Continue\r\n\r\n", false);
    armTimer(monotonicNow() + bodyTimeout, [this] { reject(statusRequestTimeout, "slow-body"); });
    m_parser->eager(true);
    return true;
}

void ServerConnection::dispatch()
{
    disarmTimer();
    auto request = std::move(m_request);
    request.body = std::move(m_parser->get().body());
    if (m_parser->chunked())
        request.body.shrink_to_fit(); // it grew as the chunks came
    m_parser.reset();
    m_buffer.shrink_to_fit();
    m_listener->budget->setAccepted(*m_budgetId, true);
    m_listener->budget->release(*m_budgetId, copiesOfHead * m_headBytes + m_buffer.capacity() + request.body.capacity());
    request.waitedUnread = timeSinceReceived(m_socket);
    request.receivedAt = monotonicNow() - request.waitedUnread;
    m_exchange = std::make_shared<Exchange>(weak_from_this(), std::move(request));
    ++m_listener->openExchanges;
    m_sendBy.reset();
    // No handler of the socket is pending while a full read-ahead waits for the answer.
    m_self = shared_from_this();
    watchCaller();
    const auto exchange = m_exchange;
    m_listener->handler(exchange);
}

// Requests that arrive ahead of their turn are not accepted yet, and have no claim on memory.
bool ServerConnection::hasRoomToBuffer(std::size_t bytes)
{
    if (m_buffer.size() >= maxReadAheadBytes)
        return false;
    const auto& request = m_exchange->request();
    return m_listener->budget->reserve(*m_budgetId, copiesOfHead * m_headBytes + request.body.capacity() + std::max(m_buffer.capacity(), m_buffer.size() + bytes), monotonicNow());
}

// While the request is being handled, a readable socket means that the caller closed its side
// or already sent its next request.
void ServerConnection::watchCaller()
{
    // Unread requests hide the caller's leaving, which has to be asked for.
    if (m_buffer.size() >= maxReadAheadBytes)
        return watchDeparture();
    const auto watched = m_exchange;
    m_socket.async_wait(TcpSocket::wait_read, [self = shared_from_this(), watched](error_code error) {
        if (self->m_isClosed || self->m_exchange != watched)
            return;
        if (!error && !self->hasRoomToBuffer(readBytes))
            return self->watchDeparture();
        if (!error) {
            self->m_socket.non_blocking(true, error);
            const auto size = self->m_socket.receive(self->m_buffer.prepare(readBytes), 0, error);
            if (!error && size > 0)
                self->m_buffer.commit(size);
            if (!error || error == asio::error::would_block)
                return self->watchCaller();
        }
        self->handleCallerLeft();
    });
}

void ServerConnection::watchDeparture()
{
    // The timer holds the time limit of an answer that is complete. It ends the connection in any case.
    if (m_isLastQueued)
        return;
    armTimer(monotonicNow() + departureCheckPeriod, [this] { isClosedByPeer(m_socket) ? handleCallerLeft() : watchCaller(); });
}

void ServerConnection::handleCallerLeft()
{
    const auto exchange = m_exchange;
    if (exchange)
        exchange->handleCallerLeft();
    close();
}

void ServerConnection::reject(unsigned status, const char* reason, HeaderFields fields)
{
    ++m_listener->rejections[reason];
    m_isRejected = true;
    m_isKeptAlive = false;
    m_isIdle = false;
    m_isHeadMethod = false;
    m_sendBy = monotonicNow() + lingerTime;
    m_parser.reset();
    m_request = {};
    m_listener->budget->release(*m_budgetId, 0);
    sendWhole(status, std::move(fields), std::string(reason) + "\n");
}

std::string ServerConnection::headText(unsigned status, const HeaderFields& fields, const std::string& framing) const
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " " + std::string(http::obsolete_reason(http::int_to_status(status))) + "\r\n";
    for (const auto& [name, value] : fields)
        text.append(name).append(": ").append(value).append("\r\n");
    text += framing;
    if (!m_isKeptAlive)
        text += "Connection: close\r\n";
    return text + "\r\n";
}

// Whether this answer is the last on its connection. Requests that were already read get theirs first.
void ServerConnection::decideConnectionEnd()
{
    if (m_listener->isClosing && m_buffer.size() == 0)
        m_isKeptAlive = false;
}

void ServerConnection::sendWhole(unsigned status, HeaderFields fields, std::string body)
{
    decideConnectionEnd();
    auto text = headText(status, fields, "Content-Length: " + std::to_string(body.size()) + "\r\n");
    if (!m_isHeadMethod)
        text += body;
    enqueue(std::move(text), true);
}

void ServerConnection::sendStreamHead(unsigned status, const HeaderFields& fields)
{
    decideConnectionEnd();
    enqueue(headText(status, fields, "Transfer-Encoding: chunked\r\n"), false);
}

void ServerConnection::enqueue(std::string data, bool isLast)
{
    if (m_isClosed)
        return;
    m_bufferedBytes += data.size();
    m_listener->bufferedBytes += data.size();
    m_unsent.push_back(std::move(data));
    m_isLastQueued = m_isLastQueued || isLast;
    if (isLast) {
        const auto now = monotonicNow();
        armTimer(m_sendBy ? std::max(*m_sendBy, now + minSendTime) : now + maxSendTime, [this] {
            ++m_listener->unreadAnswers;
            close();
        });
    }
    flush();
}

void ServerConnection::releaseBuffered(std::size_t bytes)
{
    m_bufferedBytes -= bytes;
    m_listener->bufferedBytes -= bytes;
}

void ServerConnection::flush()
{
    if (m_isSending || m_isClosed)
        return;
    if (m_sentBytes == m_sending.size()) {
        releaseBuffered(m_sending.size());
        m_sentBytes = 0;
        m_sending.clear();
        if (m_sending.capacity() > maxRetainedBytes)
            m_sending.shrink_to_fit();
        if (m_unsent.empty()) {
            if (m_isLastQueued)
                answerDone();
            return;
        }
        if (m_unsent.size() == 1)
            m_sending = std::move(m_unsent.front());
        else
            for (const auto& data : m_unsent)
                m_sending += data;
        m_unsent.clear();
    }
    m_isSending = true;
    m_socket.async_write_some(asio::buffer(m_sending.data() + m_sentBytes, m_sending.size() - m_sentBytes), [self = shared_from_this()](error_code error, std::size_t size) { self->handleSent(error, size); });
}

void ServerConnection::handleSent(error_code error, std::size_t size)
{
    m_isSending = false;
    if (m_isClosed)
        return;
    if (error)
        return handleCallerLeft();
    m_sentBytes += size;
    flush();
    if (const auto exchange = m_exchange)
        exchange->handleSent();
}

void ServerConnection::answerDone()
{
    m_isLastQueued = false;
    m_listener->budget->release(*m_budgetId, m_buffer.capacity());
    endExchange();
    // The connection does not give way to others before its caller has had time to read the answer.
    if (!m_isKeptAlive || (m_listener->isClosing && m_buffer.size() == 0))
        return closeLingering();
    m_listener->budget->setAccepted(*m_budgetId, false);
    m_listener->budget->recordProgress(*m_budgetId, monotonicNow());
    readNext();
}

// Closing a socket with unread bytes resets the connection, and the caller could lose the
// answer. So only the sending side is shut down, and the caller gets some time to close.
void ServerConnection::closeLingering()
{
    error_code ignored;
    m_socket.shutdown(TcpSocket::shutdown_send, ignored);
    armTimer(monotonicNow() + lingerTime, [this] { close(); });
    discardInput();
}

void ServerConnection::discardInput()
{
    m_isDiscarding = true;
    if (m_isReading) // into m_buffer; its handler discards further
        return;
    m_buffer.clear();
    m_isReading = true;
    m_socket.async_read_some(m_buffer.prepare(readBytes), [self = shared_from_this()](error_code error, std::size_t size) { self->handleReceived(error, size); });
}

void ServerConnection::close()
{
    if (m_isClosed)
        return;
    const auto self = weak_from_this().lock(); // endExchange() may release the last owner
    m_isClosed = true;
    error_code ignored;
    m_timer.cancel(ignored);
    m_socket.close(ignored);
    if (m_budgetId)
        m_listener->budget->remove(*m_budgetId);
    m_unsent.clear();
    releaseBuffered(m_bufferedBytes);
    m_sentBytes = 0;
    endExchange();
}

}
