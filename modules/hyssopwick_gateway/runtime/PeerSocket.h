#pragma once

#include "GatewayContext.h"
#include "PeerMessage.h"

#include <array>

namespace hyssopwick {

/// The UDP socket for small messages between processes. Messages may be lost.
class PeerSocket {
public:
    /// \param sender  "ip:port" of the sender
    using Handler = std::function<void(const PeerMessage&, const std::string& sender)>;

    explicit PeerSocket(GatewayContext& context);

    /// Starts to receive. Fails with ErrorCode::Unavailable when the port is taken.
    Outcome<void> start(Handler handler);

    /// Sends a message; one that cannot be sent now is dropped and counted.
    void send(const std::string& address, const PeerMessage& message);

    void sendToAll(const std::vector<std::string>& addresses, const PeerMessage& message);

private:
    static constexpr std::size_t maxDatagramBytes = 2048;

    void receiveNext();
    void sendBytes(const std::string& address, const std::string& bytes);

    GatewayContext& m_context;
    UdpSocket m_socket;
    Handler m_handler;
    std::array<char, maxDatagramBytes> m_buffer;
    asio::ip::udp::endpoint m_sender;
};

}
