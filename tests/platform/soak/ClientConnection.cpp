#include "ClientConnection.h"

#include "LoopbackNetwork.h"

namespace hyssopwick::soak {

namespace {
    constexpr Milliseconds connectTimeout { 1000 };
    // A slow reader takes fewer bytes a second than a stream produces.
    constexpr std::size_t slowReadBytes = 150;
    constexpr Milliseconds slowReadPeriod { 100 };
    constexpr int slowReceiveBuffer = 2048;
}

ClientConnection::ClientConnection(EventLoop& loop, std::string address, bool readsSlowly)
    : m_address(std::move(address))
    , m_readsSlowly(readsSlowly)
    , m_socket(loop)
    , m_timer(loop)
{
}

void ClientConnection::exchange(std::string request, Handlers handlers)
{
    m_request = std::move(request);
    m_handlers = std::move(handlers);
    m_isBusy = true;
    m_reader = MessageReader(MessageReader::Kind::Response);
    if (m_isConnected)
        send();
    else
        connect();
}

void ClientConnection::close()
{
    boost::system::error_code ignored;
    m_isBusy = false;
    m_handlers = {};
    m_timer.cancel();
    m_socket.close(ignored);
}

void ClientConnection::connect()
{
    boost::system::error_code ignored;
    m_socket.open(asio::ip::tcp::v4(), ignored);
    if (m_readsSlowly)
        m_socket.set_option(asio::socket_base::receive_buffer_size(slowReceiveBuffer), ignored);
    m_timer.expires_after(connectTimeout);
    m_timer.async_wait([self = shared_from_this()](boost::system::error_code error) {
        if (!error && !self->m_isConnected)
            self->end(ExchangeEnd::NotConnected);
    });
    m_socket.async_connect(endpointOf(m_address), [self = shared_from_this()](boost::system::error_code error) {
        if (!self->m_isBusy)
            return;
        self->m_timer.cancel();
        if (error)
            return self->end(ExchangeEnd::NotConnected);
        self->m_isConnected = true;
        boost::system::error_code ignored;
        self->m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        self->send();
    });
}

void ClientConnection::send()
{
    if (!m_isReading)
        read();
    asio::async_write(m_socket, asio::buffer(m_request), [self = shared_from_this()](boost::system::error_code error, std::size_t) {
        if (!error && self->m_isBusy && self->m_handlers.onSent)
            self->m_handlers.onSent();
    });
}

// A read is always pending, so that the end of an idle connection is seen at once.
void ClientConnection::read()
{
    m_isReading = true;
    const auto size = m_readsSlowly ? slowReadBytes : m_buffer.size();
    m_socket.async_read_some(asio::buffer(m_buffer, size), [self = shared_from_this()](boost::system::error_code error, std::size_t size) {
        self->m_isReading = false;
        if (error == asio::error::operation_aborted)
            return;
        if (error) {
            const bool isComplete = self->m_isBusy && error == asio::error::eof && self->m_reader.endConnection();
            return self->end(isComplete ? ExchangeEnd::Complete : error == asio::error::eof ? ExchangeEnd::Closed
                                                                                            : ExchangeEnd::Reset);
        }
        self->receive(size);
    });
}

void ClientConnection::receive(std::size_t size)
{
    if (!m_isBusy || !m_reader.feed({ m_buffer.data(), size }))
        return end(ExchangeEnd::Invalid);
    if (m_handlers.onBytes)
        m_handlers.onBytes();
    if (m_reader.isComplete())
        end(ExchangeEnd::Complete);
    if (!m_socket.is_open() || m_isReading)
        return;
    if (!m_readsSlowly || !m_isBusy)
        return read();
    m_isReading = true;
    m_timer.expires_after(slowReadPeriod);
    m_timer.async_wait([self = shared_from_this()](boost::system::error_code error) {
        if (!error)
            self->read();
    });
}

void ClientConnection::end(ExchangeEnd end)
{
    boost::system::error_code ignored;
    if (end != ExchangeEnd::Complete || response().closesConnection())
        m_socket.close(ignored);
    m_idleSince = now();
    m_isBusy = false;
    const auto handlers = std::exchange(m_handlers, {});
    if (handlers.onEnd)
        handlers.onEnd(end);
}

}
