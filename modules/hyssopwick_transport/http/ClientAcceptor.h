#pragma once

#include "ClientRegistry.h"
#include "PendingWrite.h"

namespace hyssopwick {

/// A connection of a client. Its peer owns it, so that it lives until the descriptor is closed.
class ClientConnection {
public:
    ClientConnection(ClientRegistryPointer registry, ClientRegistry::Id id)
        : m_registry(std::move(registry))
        , m_id(id)
    {
    }

    ~ClientConnection() { m_registry->handleDescriptorClosed(); }

    ClientConnection(const ClientConnection&) = delete;
    ClientConnection& operator=(const ClientConnection&) = delete;

    ClientRegistry::Id id() const { return m_id; }

    /// Each write on the connection has to be counted here.
    const WriteCounter& pendingWrites() const { return m_pendingWrites; }

    static std::shared_ptr<ClientConnection> of(const Pistache::Tcp::Peer& peer);

private:
    ClientRegistryPointer m_registry;
    ClientRegistry::Id m_id;
    WriteCounter m_pendingWrites = std::make_shared<std::atomic<std::size_t>>(0);
};

/// Accepts the connections of an HttpServer on a thread of its own, and no more than its clients
/// may keep open: the listener of Pistache accepts without a limit, however late its threads
/// are. Also ends the connections whose time has passed.
class ClientAcceptor {
public:
    using PeerHandler = std::function<void(const ClientRegistry::PeerPointer& peer)>;

    /// \param onAccepted  takes over each new connection
    /// \param onTimeout   tells a client that its request was not complete in time
    ClientAcceptor(ClientRegistryPointer registry, PeerHandler onAccepted, PeerHandler onTimeout);
    ~ClientAcceptor();

    /// Binds \p address, "ip:port", and accepts connections until stop().
    /// Fails with ErrorCode::Unavailable when the address cannot be bound.
    Outcome<void> start(const std::string& address);

    /// Closes the listening socket. Connections that were accepted stay open.
    void stop();

    /// Returns the bound "ip:port".
    std::string address() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

}
