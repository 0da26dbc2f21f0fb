#include "PeerSocket.h"

namespace hyssopwick {

using boost::system::error_code;

namespace {
    // Traffic is logged with a message after this time, not by a timer of its own.
    constexpr Milliseconds trafficLogPeriod { 10000 };
}

PeerSocket::PeerSocket(GatewayContext& context)
    : m_context(context)
    , m_socket(context.loop)
    , m_trafficLoggedAt(monotonicNow())
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
        if (message) {
            auto& traffic = trafficOf(message.value());
            ++traffic.received;
            traffic.receivedBytes += size;
            m_handler(message.value(), m_sender.address().to_string() + ":" + std::to_string(m_sender.port()));
        } else {
            m_context.metrics.count("datagrams_failed_total", "malformed");
        }
        receiveNext();
    });
}

void PeerSocket::send(const std::string& address, const PeerMessage& message) { sendBytes(address, encodePeerMessage(message), trafficOf(message)); }

void PeerSocket::sendToAll(const std::vector<std::string>& addresses, const PeerMessage& message)
{
    const auto bytes = encodePeerMessage(message);
    for (const auto& address : addresses)
        sendBytes(address, bytes, trafficOf(message));
}

void PeerSocket::sendBytes(const std::string& address, const std::string& bytes, Traffic& traffic)
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
    ++traffic.sent;
    traffic.sentBytes += bytes.size();
    if (monotonicNow() >= m_trafficLoggedAt + trafficLogPeriod)
        logTraffic();
}

void PeerSocket::logTraffic()
{
    m_trafficLoggedAt = monotonicNow();
    for (std::size_t kind = 0; kind < m_traffic.size(); ++kind) {
        const auto& traffic = m_traffic[kind];
        if (traffic.sent + traffic.received > 0)
            m_context.log.write("peer.traffic", { { "kind", peerMessageName(kind) }, { "sent", std::to_string(traffic.sent) }, { "sent_bytes", std::to_string(traffic.sentBytes) }, { "received", std::to_string(traffic.received) }, { "received_bytes", std::to_string(traffic.receivedBytes) } });
    }
}

void PeerSocket::exportTraffic() const
{
    for (std::size_t kind = 0; kind < m_traffic.size(); ++kind) {
        const auto& traffic = m_traffic[kind];
        const std::string name = std::string("peer_") + peerMessageName(kind);
        m_context.metrics.gauge(name + "_sent", double(traffic.sent));
        m_context.metrics.gauge(name + "_sent_bytes", double(traffic.sentBytes));
        m_context.metrics.gauge(name + "_received", double(traffic.received));
        m_context.metrics.gauge(name + "_received_bytes", double(traffic.receivedBytes));
    }
}

}
