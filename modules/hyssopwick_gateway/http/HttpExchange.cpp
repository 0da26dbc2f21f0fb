#include "HttpExchange.h"

#include <array>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/optional.hpp>
#include <limits>
#include <thirdparty/BeastHttp.h>

namespace hyssopwick {

namespace http = boost::beast::http;
using boost::system::error_code;

namespace {
    constexpr std::size_t readBufferBytes = 8192;
    constexpr std::uint32_t maxResponseHeaderBytes = 32768;
    // Bytes that were read and are no complete header field or chunk header yet; more than a
    // whole header takes.
    constexpr std::size_t maxBufferedBytes = 65536;
    constexpr unsigned firstFinalStatus = 200;
    constexpr unsigned lastStatus = 599;
    // Shortest rest of a body in chunks; the parser expects that it arrives in pieces of some bytes.
    constexpr std::size_t lastChunkBytes = 5;

    bool isProtocolError(error_code error)
    {
        return error.category() == make_error_code(http::error::bad_method).category() && error != http::error::end_of_stream && error != http::error::partial_message;
    }

    // A line that begins with a blank continues the field before it, which is obsolete
    // (RFC 7230, section 3.2.4): no server means it, and some readers take it for a field of its own.
    bool hasFoldedLine(std::string_view head)
    {
        return head.find("\r\n ") != std::string_view::npos || head.find("\r\n\t") != std::string_view::npos;
    }
    constexpr unsigned httpVersion = 11;
}

const char* exchangeEndName(ExchangeEnd end)
{
    switch (end) {
    case ExchangeEnd::Complete:
        return "complete";
    case ExchangeEnd::NotSent:
        return "not-sent";
    case ExchangeEnd::Withheld:
        return "withheld";
    case ExchangeEnd::Lost:
        return "lost";
    case ExchangeEnd::Malformed:
        return "malformed";
    case ExchangeEnd::Timeout:
        return "timeout";
    case ExchangeEnd::Undelivered:
        return "undelivered";
    case ExchangeEnd::Cancelled:
        return "cancelled";
    }
    return "lost";
}

bool ResponseHead::mayBeEventStream() const
{
    const auto type = headerValue(fields, "Content-Type");
    const auto end = std::min(type.find_first_of("; \t"), type.size());
    return type.empty() || headerNamesEqual(type.substr(0, end), "text/event-stream");
}

struct HttpExchange::State {
    explicit State(EventLoop& eventLoop)
        : loop(eventLoop)
        , socket(loop)
        , timer(loop)
        , deliveryTimer(loop)
    {
    }

    EventLoop& loop;
    TcpSocket socket;
    LoopTimer timer;
    LoopTimer deliveryTimer;
    unsigned timerGeneration = 0;
    std::string address;
    HttpCall call;
    ExchangeHandlers handlers;
    TransferLimits limits;
    TimePoint deadline; // of the next piece of the answer
    std::optional<TimePoint> connectedAt;
    http::request<http::span_body<const char>> request; // its body is that of call
    boost::beast::flat_buffer buffer;
    boost::optional<http::response_parser<http::buffer_body>> parser;
    std::array<char, readBufferBytes> chunk;
    std::shared_ptr<KeptConnections> kept;
    unsigned connectionGeneration = 0;
    bool isReused = false; // the connection was kept
    bool hasAnswerByte = false;
    bool isSent = false;
    bool isWritten = false; // the whole request
    bool isWriteFailed = false;
    bool isAnswerEndDeferred = false; // until the request is written
    bool isPaused = false;
    bool isReadDeferred = false; // the next read of the body waits for resume()
    bool isEnded = false;
};

HttpExchange::HttpExchange(EventLoop& loop)
    : m_state(std::make_unique<State>(loop))
{
}

HttpExchange::~HttpExchange() = default;

HttpExchangePointer HttpExchange::start(EventLoop& loop, const std::string& address, HttpCall call, TimePoint connectBy, TimePoint deadline, ExchangeHandlers handlers)
{
    return start(loop, address, std::move(call), TransferLimits { connectBy, deadline, Milliseconds(0), deadline }, std::move(handlers));
}

HttpExchangePointer HttpExchange::start(EventLoop& loop, const std::string& address, HttpCall call, const TransferLimits& limits, ExchangeHandlers handlers, std::shared_ptr<KeptConnections> kept)
{
    const std::shared_ptr<HttpExchange> exchange(new HttpExchange(loop));
    exchange->m_state->kept = std::move(kept);
    exchange->m_state->address = address;
    exchange->m_state->call = std::move(call);
    exchange->m_state->handlers = std::move(handlers);
    exchange->m_state->limits = limits;
    exchange->m_state->deadline = std::min(limits.beginBy, limits.endBy);
    exchange->run();
    return exchange;
}

bool HttpExchange::isSent() const { return m_state->isSent; }

bool HttpExchange::hasAnswerBegun() const { return m_state->hasAnswerByte; }

std::optional<TimePoint> HttpExchange::connectedAt() const { return m_state->connectedAt; }

std::optional<TransmissionState> HttpExchange::transmission() const { return TransmissionState::of(m_state->socket); }

void HttpExchange::cancel()
{
    if (m_state->isEnded)
        return;
    m_state->handlers = {};
    discardUnsent();
    end(ExchangeEnd::Cancelled);
}

// Otherwise the system would still send the rest of the request. A reset is not sent again
// when it is lost, so a request that arrived whole is ended by an ordinary close.
void HttpExchange::discardUnsent()
{
    const auto state = transmission();
    if (!state || state->unacknowledgedBytes == 0)
        return;
    error_code ignored; // without a connection there is nothing to discard
    m_state->socket.set_option(asio::socket_base::linger(true, 0), ignored);
}

// A server that reads slowly has acknowledged what it was sent, so that nothing is in flight.
void HttpExchange::watchDelivery(std::size_t unacknowledgedBefore)
{
    auto& state = *m_state;
    state.deliveryTimer.expires_after(state.limits.deliveryTimeout);
    state.deliveryTimer.async_wait([self = shared_from_this(), unacknowledgedBefore](error_code error) {
        if (error || self->m_state->isEnded || self->m_state->hasAnswerByte)
            return;
        const auto transmission = self->transmission();
        if (!transmission || transmission->unacknowledgedBytes == 0)
            return;
        if (!transmission->isInFlight() || transmission->unacknowledgedBytes < unacknowledgedBefore)
            return self->watchDelivery(transmission->unacknowledgedBytes);
        self->discardUnsent();
        self->end(ExchangeEnd::Undelivered);
    });
}

void HttpExchange::pause() { m_state->isPaused = true; }

void HttpExchange::resume()
{
    auto& state = *m_state;
    if (state.isEnded || !state.isPaused)
        return;
    state.isPaused = false;
    if (!state.isReadDeferred)
        return;
    state.isReadDeferred = false;
    extendDeadline();
    // The caller may be within a handler of another exchange.
    asio::post(state.loop, [self = shared_from_this()] { self->readBody(); });
}

// A timer that has already expired cannot be cancelled; the generation keeps its handler
// from taking effect in the next phase.
void HttpExchange::armDeadlineTimer()
{
    auto& state = *m_state;
    const auto generation = ++state.timerGeneration;
    state.timer.expires_at(state.deadline);
    state.timer.async_wait([self = shared_from_this(), generation](error_code error) {
        if (!error && generation == self->m_state->timerGeneration)
            self->handleDeadline();
    });
}

// Extends the deadline. The timer is not set again until it expires, since pieces arrive often.
void HttpExchange::extendDeadline()
{
    auto& state = *m_state;
    state.deadline = std::min(std::max(state.deadline, monotonicNow() + state.limits.stallTimeout), state.limits.endBy);
}

void HttpExchange::handleDeadline()
{
    auto& state = *m_state;
    // Unread bytes mean that this process is late, not the server.
    error_code error;
    if (state.isReadDeferred || (state.socket.available(error) > 0 && !error))
        extendDeadline();
    if (monotonicNow() < state.deadline)
        return armDeadlineTimer();
    end(ExchangeEnd::Timeout);
}

void HttpExchange::run()
{
    auto& state = *m_state;
    if (auto socket = state.kept ? state.kept->take() : std::nullopt) {
        state.socket = std::move(*socket);
        state.isReused = true;
        return sendRequest();
    }
    connect();
}

void HttpExchange::connect()
{
    auto& state = *m_state;
    const auto endpoint = parseEndpoint(state.address);
    if (!endpoint) {
        asio::post(state.loop, [self = shared_from_this()] { self->end(ExchangeEnd::NotSent); });
        return;
    }
    const auto generation = ++state.timerGeneration;
    state.timer.expires_at(std::min(state.limits.connectBy, state.deadline));
    state.timer.async_wait([self = shared_from_this(), generation](error_code error) {
        if (!error && generation == self->m_state->timerGeneration)
            self->end(ExchangeEnd::NotSent);
    });
    state.socket.async_connect(endpoint.value(), [self = shared_from_this()](error_code error) {
        if (self->m_state->isEnded)
            return;
        if (error)
            return self->end(ExchangeEnd::NotSent);
        self->sendRequest();
    });
}

// A server may have closed a kept connection before the request arrived.
bool HttpExchange::retryOnNewConnection()
{
    auto& state = *m_state;
    if (!state.isReused || state.hasAnswerByte)
        return false;
    state.isReused = false;
    state.request = {};
    state.buffer.clear();
    state.isWritten = state.isWriteFailed = false;
    state.socket = TcpSocket(state.loop);
    connect();
    return true;
}

void HttpExchange::sendRequest()
{
    auto& state = *m_state;
    state.connectedAt = monotonicNow();
    prepareSocket(state.socket);
    if (const auto onConnected = std::move(state.handlers.onConnected); onConnected && !onConnected(state.call))
        return end(ExchangeEnd::Withheld);
    state.request.method_string(state.call.method);
    state.request.target(state.call.target);
    state.request.version(httpVersion);
    for (const auto& [name, value] : state.call.fields)
        state.request.insert(name, value);
    if (state.request.count(http::field::host) == 0)
        state.request.set(http::field::host, state.address);
    const auto& content = state.call.content();
    state.request.body() = { content.data(), content.size() };
    if (!content.empty() || state.request.method() == http::verb::post || state.request.method() == http::verb::put)
        state.request.content_length(content.size());
    if (!state.kept)
        state.request.set(http::field::connection, "close");
    state.isSent = true;
    armDeadlineTimer();
    if (state.limits.deliveryTimeout.count() > 0)
        watchDelivery(std::numeric_limits<std::size_t>::max());
    // A server may answer before it has read a long body, so reading starts at once.
    const auto generation = ++state.connectionGeneration;
    http::async_write(state.socket, state.request, [self = shared_from_this(), generation](error_code error, std::size_t) {
        if (generation == self->m_state->connectionGeneration)
            self->handleWritten(error);
    });
    readHead();
}

void HttpExchange::handleWritten(error_code error)
{
    auto& state = *m_state;
    state.isWritten = !error;
    state.isWriteFailed = static_cast<bool>(error);
    if (!state.isReused || state.hasAnswerByte) { // otherwise it may be sent again
        state.call.body = {};
        state.call.sharedBody.reset();
    }
    if (state.isAnswerEndDeferred)
        handleAnswerEnd();
}

void HttpExchange::readHead()
{
    auto& state = *m_state;
    state.parser.emplace();
    state.parser->header_limit(maxResponseHeaderBytes);
    state.parser->body_limit(state.limits.maxBodyBytes);
    state.parser->skip(state.request.method() == http::verb::head);
    receive(&HttpExchange::parseHead);
}

// Reads some bytes and calls parse.
void HttpExchange::receive(void (HttpExchange::*parse)())
{
    auto& state = *m_state;
    const auto room = maxBufferedBytes - std::min(maxBufferedBytes, state.buffer.size());
    if (room == 0)
        return end(ExchangeEnd::Malformed);
    state.socket.async_read_some(state.buffer.prepare(std::min(readBufferBytes, room)), [self = shared_from_this(), parse](error_code error, std::size_t size) {
        auto& state = *self->m_state;
        if (state.isEnded)
            return;
        state.buffer.commit(size);
        state.hasAnswerByte = state.hasAnswerByte || size > 0;
        if (error && !state.parser->is_header_done())
            return self->failHead(error);
        if (error == asio::error::eof)
            state.parser->put_eof(error);
        if (error)
            return self->end(isProtocolError(error) ? ExchangeEnd::Malformed : ExchangeEnd::Lost);
        (self.get()->*parse)();
    });
}

void HttpExchange::failHead(error_code error)
{
    if (retryOnNewConnection())
        return;
    end(isProtocolError(error) ? ExchangeEnd::Malformed : ExchangeEnd::Lost);
}

void HttpExchange::parseHead()
{
    auto& state = *m_state;
    error_code error;
    const auto size = state.parser->put(state.buffer.data(), error);
    const std::string_view parsed(static_cast<const char*>(state.buffer.data().data()), size);
    if (hasFoldedLine(parsed) || (error && error != http::error::need_more))
        return end(ExchangeEnd::Malformed);
    state.buffer.consume(size);
    if (state.parser->is_header_done())
        return handleHead();
    receive(&HttpExchange::parseHead);
}

void HttpExchange::handleHead()
{
    auto& state = *m_state;
    extendDeadline();
    ResponseHead head;
    head.status = state.parser->get().result_int();
    for (const auto& field : state.parser->get())
        head.fields.emplace_back(std::string(field.name_string()), std::string(field.value()));
    // No interim answer was asked for (RFC 7231, section 6.2).
    if (head.status < firstFinalStatus || head.status > lastStatus)
        return end(ExchangeEnd::Malformed);
    state.parser->eager(true);
    // The handler may cancel the exchange, which releases the handlers.
    if (const auto onHead = std::move(state.handlers.onHead))
        onHead(head);
    readBody();
}

void HttpExchange::readBody()
{
    auto& state = *m_state;
    while (!state.isEnded && !state.parser->is_done()) {
        if (state.isPaused) {
            state.isReadDeferred = true;
            return;
        }
        const std::size_t needed = state.parser->chunked() ? lastChunkBytes : 1;
        if (state.buffer.size() < needed || !parseBody())
            return state.isEnded ? void() : receive(&HttpExchange::readBody);
    }
    handleAnswerEnd();
}

// Returns whether more of the body can be parsed without further bytes from the connection.
bool HttpExchange::parseBody()
{
    auto& state = *m_state;
    state.parser->get().body().data = state.chunk.data();
    state.parser->get().body().size = state.chunk.size();
    error_code error;
    state.buffer.consume(state.parser->put(state.buffer.data(), error));
    if (const auto size = state.chunk.size() - state.parser->get().body().size)
        forwardBody(size);
    if (error && error != http::error::need_more && error != http::error::need_buffer)
        end(isProtocolError(error) ? ExchangeEnd::Malformed : ExchangeEnd::Lost);
    return !state.isEnded && error != http::error::need_more;
}

void HttpExchange::forwardBody(std::size_t size)
{
    auto& state = *m_state;
    extendDeadline();
    if (!state.handlers.onBody)
        return;
    auto onBody = std::move(state.handlers.onBody); // as for onHead
    onBody({ state.chunk.data(), size });
    if (!state.isEnded)
        state.handlers.onBody = std::move(onBody);
}

// A write may take the reset of a connection from its socket, which then reads as a plain end. So a
// body that ends with its connection is complete only if the request was written without an error.
void HttpExchange::handleAnswerEnd()
{
    auto& state = *m_state;
    if (state.isEnded)
        return;
    const bool endsWithConnection = state.parser->need_eof();
    if (endsWithConnection && state.isWriteFailed)
        return end(ExchangeEnd::Lost);
    if (endsWithConnection && !state.isWritten) {
        state.isAnswerEndDeferred = true;
        return;
    }
    end(ExchangeEnd::Complete);
}

void HttpExchange::end(ExchangeEnd end)
{
    auto& state = *m_state;
    if (state.isEnded)
        return;
    state.isEnded = true;
    error_code ignored;
    state.timer.cancel(ignored);
    state.deliveryTimer.cancel(ignored);
    if (end == ExchangeEnd::Complete && state.kept && state.isWritten && state.parser->keep_alive() && state.buffer.size() == 0)
        state.kept->keep(std::move(state.socket));
    else
        state.socket.close(ignored);
    const auto handlers = std::move(state.handlers);
    state.handlers = {};
    if (handlers.onEnd)
        handlers.onEnd(end);
}

HttpExchangePointer fetchWhole(EventLoop& loop, const std::string& address, HttpCall call, TimePoint connectBy, TimePoint deadline, std::function<void(WholeResponse)> handler)
{
    return fetchWhole(loop, address, std::move(call), TransferLimits { connectBy, deadline, Milliseconds(0), deadline }, std::move(handler));
}

HttpExchangePointer fetchWhole(EventLoop& loop, const std::string& address, HttpCall call, const TransferLimits& limits, std::function<void(WholeResponse)> handler, std::shared_ptr<KeptConnections> kept, std::function<bool(HttpCall&)> onConnected)
{
    const auto response = std::make_shared<WholeResponse>();
    ExchangeHandlers handlers;
    handlers.onConnected = std::move(onConnected);
    handlers.onHead = [response](const ResponseHead& head) {
        response->beganAt = monotonicNow();
        response->status = head.status;
        response->fields = head.fields;
    };
    handlers.onBody = [response](std::string_view bytes) { response->body.append(bytes); };
    handlers.onEnd = [response, handler = std::move(handler)](ExchangeEnd end) {
        response->end = end;
        handler(std::move(*response));
    };
    return HttpExchange::start(loop, address, std::move(call), limits, std::move(handlers), std::move(kept));
}

}
