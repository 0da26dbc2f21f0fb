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

    /// Sets the metrics of messages and bytes by kind and direction.
    void exportTraffic() const;

private:
    static constexpr std::size_t maxDatagramBytes = 2048;

    // Messages of one kind and their bytes, since the start.
    struct Traffic {
        std::uint64_t sent = 0;
        std::uint64_t sentBytes = 0;
        std::uint64_t received = 0;
        std::uint64_t receivedBytes = 0;
    };

    void receiveNext();
    void sendBytes(const std::string& address, const std::string& bytes, Traffic& traffic);
    Traffic& trafficOf(const PeerMessage& message) { return m_traffic[message.index()]; }
    void logTraffic();

    GatewayContext& m_context;
    UdpSocket m_socket;
    Handler m_handler;
    std::array<char, maxDatagramBytes> m_buffer;
    asio::ip::udp::endpoint m_sender;
    std::array<Traffic, std::variant_size_v<PeerMessage>> m_traffic;
    TimePoint m_trafficLoggedAt;
};

}
