#pragma once

#include <hyssopwick_gateway.h>

namespace hyssopwick {

/// Engine that receives a request and sends its answer only when it is told to.
class SlowEngine {
public:
    explicit SlowEngine(EventLoop& loop)
        : m_acceptor(loop)
        , m_socket(loop)
    {
        const asio::ip::tcp::endpoint endpoint(asio::ip::address_v4::loopback(), 0);
        m_acceptor.open(endpoint.protocol());
        m_acceptor.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes)); // of accepted connections, too
        m_acceptor.bind(endpoint);
        m_acceptor.listen();
        m_acceptor.async_accept(m_socket, [](boost::system::error_code) {});
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()); }

    bool isReceiving()
    {
        boost::system::error_code error;
        return m_socket.is_open() && m_socket.available(error) > 0;
    }

    void send(const std::string& bytes) { asio::write(m_socket, asio::buffer(bytes)); }

    // Starts to receive, until the caller closes the connection.
    void receiveAll()
    {
        asio::async_read(m_socket, asio::dynamic_buffer(m_received), [this](boost::system::error_code error, std::size_t) {
            m_hasEnded = true;
            m_isReset = error != asio::error::eof;
        });
    }

    bool hasEnded() const { return m_hasEnded; }

    bool isReset() const { return m_isReset; }

    const std::string& received() const { return m_received; }

private:
    static constexpr int receiveBufferBytes = 4096;

    asio::ip::tcp::acceptor m_acceptor;
    TcpSocket m_socket;
    std::string m_received;
    bool m_hasEnded = false;
    bool m_isReset = false;
};

}
