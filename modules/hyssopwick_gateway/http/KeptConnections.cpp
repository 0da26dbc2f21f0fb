#include "KeptConnections.h"

namespace hyssopwick {

namespace {
    constexpr std::size_t maxIdle = 2;
    // Servers close idle connections after some seconds.
    constexpr Milliseconds maxIdleTime { 1000 };
}

std::optional<TcpSocket> KeptConnections::take()
{
    while (!m_idle.empty()) {
        auto idle = std::move(m_idle.back());
        m_idle.pop_back();
        if (monotonicNow() > idle.since + maxIdleTime)
            continue;
        // A readable one was closed, or carries bytes that belong to no request.
        boost::system::error_code error;
        char byte;
        idle.socket.non_blocking(true, error);
        idle.socket.receive(asio::buffer(&byte, 1), TcpSocket::message_peek, error);
        if (error == asio::error::would_block)
            return std::move(idle.socket);
    }
    return std::nullopt;
}

void KeptConnections::keep(TcpSocket socket)
{
    m_idle.push_back({ std::move(socket), monotonicNow() });
    if (m_idle.size() > maxIdle)
        m_idle.pop_front();
}

}
