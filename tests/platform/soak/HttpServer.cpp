#include "HttpServer.h"

#include "LoopbackNetwork.h"

namespace hyssopwick::soak {

ServerConnection::ServerConnection(HttpServer& server, asio::ip::tcp::socket socket)
    : m_server(&server)
    , m_socket(std::move(socket))
{
    boost::system::error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
}

void ServerConnection::respond(unsigned status, const Fields& fields, const std::string& body)
{
    send(responseText(status, fields, body));
    endAnswer();
}

void ServerConnection::respondJson(unsigned status, const std::string& body) { respond(status, { { "Content-Type", "application/json" } }, body); }

void ServerConnection::startChunks(const Fields& fields)
{
    std::string text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n";
    for (const auto& [name, value] : fields)
        text += name + ": " + value + "\r\n";
    send(text + "\r\n");
}

void ServerConnection::writeChunk(std::string_view bytes) { send(chunkText(bytes)); }

void ServerConnection::finishChunks()
{
    send("0\r\n\r\n");
    endAnswer();
}

// Bytes that arrive during an answer wait in the reader; the read shows the peer's end.
void ServerConnection::read()
{
    m_socket.async_read_some(asio::buffer(m_buffer), [self = shared_from_this()](boost::system::error_code error, std::size_t size) {
        if (error)
            return self->close();
        self->receive(size);
    });
}

void ServerConnection::receive(std::size_t size)
{
    if (!m_reader.feed({ m_buffer.data(), size }))
        return close();
    serveNext();
    if (isOpen())
        read();
}

void ServerConnection::serveNext()
{
    if (m_isServing || !m_reader.isComplete() || !m_server)
        return;
    m_isServing = true;
    m_server->m_handler(shared_from_this());
}

void ServerConnection::endAnswer()
{
    m_onPeerClosed = nullptr;
    m_isServing = false;
    if (!m_reader.next())
        return close();
    if (m_reader.isComplete())
        asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->serveNext(); });
}

void ServerConnection::send(std::string text)
{
    m_unsent += text;
    if (m_sending.empty() && isOpen())
        write();
}

void ServerConnection::write()
{
    m_sending = std::exchange(m_unsent, {});
    asio::async_write(m_socket, asio::buffer(m_sending), [self = shared_from_this()](boost::system::error_code error, std::size_t) {
        self->m_sending.clear();
        if (error)
            return self->close();
        if (!self->m_unsent.empty())
            self->write();
    });
}

void ServerConnection::close()
{
    if (!isOpen())
        return;
    boost::system::error_code ignored;
    m_socket.close(ignored);
    if (const auto handler = std::exchange(m_onPeerClosed, nullptr))
        handler();
    if (m_server)
        m_server->m_connections.erase(shared_from_this());
}

HttpServer::HttpServer(EventLoop& loop, const std::string& address, Handler handler)
    : m_address(address)
    , m_acceptor(loop, endpointOf(address))
    , m_handler(std::move(handler))
{
    accept();
}

void HttpServer::stopListening()
{
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
}

void HttpServer::stop()
{
    stopListening();
    for (const auto& connection : std::exchange(m_connections, {})) {
        connection->m_server = nullptr;
        connection->m_onPeerClosed = nullptr;
        connection->close();
    }
}

void HttpServer::accept()
{
    m_acceptor.async_accept([this](boost::system::error_code error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        if (!error) {
            const auto connection = std::make_shared<ServerConnection>(*this, std::move(socket));
            m_connections.insert(connection);
            connection->read();
        }
        accept();
    });
}

}
