#pragma once

#include "HttpMessage.h"
#include "SoakTypes.h"

#include <array>

namespace hyssopwick::soak {

/// How an exchange on a caller's connection ended.
enum class ExchangeEnd {
    Complete,
    Closed,
    Reset,
    Invalid,
    NotConnected
};

/// A connection of a caller; carries one exchange at a time.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
public:
    struct Handlers {
        std::function<void()> onSent; ///< the last byte was handed to the system
        std::function<void()> onBytes;
        std::function<void(ExchangeEnd)> onEnd;
    };

    ClientConnection(EventLoop& loop, std::string address, bool readsSlowly = false);

    /// Connects first if necessary.
    void exchange(std::string request, Handlers handlers);

    /// Ends the exchange without calling its handlers.
    void close();

    const std::string& address() const { return m_address; }
    const HttpMessage& response() const { return m_reader.message(); }
    bool hasHead() const { return m_reader.hasHead(); }
    bool isOpen() const { return m_isConnected && m_socket.is_open(); }
    TimePoint idleSince() const { return m_idleSince; }

private:
    void connect();
    void send();
    void read();
    void receive(std::size_t size);
    void end(ExchangeEnd end);

    std::string m_address;
    bool m_readsSlowly;
    asio::ip::tcp::socket m_socket;
    Timer m_timer;
    bool m_isConnected = false;
    std::string m_request;
    Handlers m_handlers;
    bool m_isBusy = false;
    bool m_isReading = false;
    MessageReader m_reader { MessageReader::Kind::Response };
    std::array<char, 16384> m_buffer;
    TimePoint m_idleSince;
};

using ClientConnectionPointer = std::shared_ptr<ClientConnection>;

}
