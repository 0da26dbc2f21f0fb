#pragma once

#include "SoakTypes.h"

namespace hyssopwick::soak {

/// Ports, the same on all machines; below the range that the system assigns to other sockets.
enum class Port : std::uint16_t {
    Internal = 21831,
    Metrics,
    Callers,
    Ready,
    Control,
    Directory,
    Engine,
    Store,
    Origin
};

/// A free 127.x.y.0/24 network with one address a machine.
class LoopbackNetwork {
public:
    static constexpr unsigned storeHost = 1;
    static constexpr unsigned originHost = 2;
    static constexpr unsigned firstPlainHost = 3;
    static constexpr unsigned firstEntryHost = 11;
    static constexpr unsigned firstEngineHost = 101;

    /// Throws std::runtime_error if no network is free.
    LoopbackNetwork();

    std::string ip(unsigned host) const { return m_prefix + std::to_string(host); }
    std::string at(unsigned host, Port port) const { return ip(host) + ":" + std::to_string(static_cast<unsigned>(port)); }

private:
    bool isFree() const;

    std::string m_prefix;
};

/// Reads an address "IP:PORT".
asio::ip::tcp::endpoint endpointOf(const std::string& address);

}
