#include "PeerSocket.h"

namespace hyssopwick {

using boost::system::error_code;

PeerSocket::PeerSocket(GatewayContext& context)
    : m_context(context)
    , m_socket(context.loop)
{
}

Outcome<void> PeerSocket::start(Handler handler)
{
    m_handler = std::move(handler);
    BOOST_OUTCOME_TRY(endpoint, parseEndpoint(m_context.internalAddress()));
    error_code error;
    m_socket.open(asio::ip::udp::v4(), error);
    if (!error)
        m_socket.bind(asio::ip::udp::endpoint(endpoint.address(), endpoint.port()), error);
    if (!error)
        m_socket.non_blocking(true, error);
    if (error)
        return failure(ErrorCode::Unavailable, "cannot receive datagrams on " + m_context.internalAddress() + ": " + error.message());
    receiveNext();
    return success();
}

void PeerSocket::receiveNext()
{
    m_socket.async_receive_from(asio::buffer(m_buffer), m_sender, [this](error_code error, std::size_t size) {
        if (error == asio::error::operation_aborted)
            return;
        if (error) {
            m_context.metrics.count("datagrams_failed_total", "receive");
            return receiveNext();
        }
        const auto message = decodePeerMessage({ m_buffer.data(), size });
        if (message)
            m_handler(message.value(), m_sender.address().to_string() + ":" + std::to_string(m_sender.port()));
        else
            m_context.metrics.count("datagrams_failed_total", "malformed");
        receiveNext();
    });
}

void PeerSocket::send(const std::string& address, const PeerMessage& message) { sendBytes(address, encodePeerMessage(message)); }

void PeerSocket::sendToAll(const std::vector<std::string>& addresses, const PeerMessage& message)
{
    const auto bytes = encodePeerMessage(message);
    for (const auto& address : addresses)
        sendBytes(address, bytes);
}

void PeerSocket::sendBytes(const std::string& address, const std::string& bytes)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint) {
        m_context.metrics.count("datagrams_failed_total", "address");
        return;
    }
    error_code error;
    m_socket.send_to(asio::buffer(bytes), asio::ip::udp::endpoint(endpoint.value().address(), endpoint.value().port()), 0, error);
    if (error)
        m_context.metrics.count("datagrams_failed_total", "send");
}

}
