#include "ClientAcceptor.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <fcntl.h>
#include <pistache/peer.h>
#include <thread>
#include <unistd.h>
#include <unordered_map>

namespace hyssopwick {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {
    constexpr const char* connectionData = "connection";
    constexpr int listenBacklog = 1024;
    constexpr Milliseconds expiryPeriod { 200 };
    // The process may have run out of descriptors.
    constexpr Milliseconds retryPause { 100 };
}

std::shared_ptr<ClientConnection> ClientConnection::of(const Pistache::Tcp::Peer& peer)
{
    return std::static_pointer_cast<ClientConnection>(peer.getData(connectionData));
}

struct ClientAcceptor::State {
    State(ClientRegistryPointer clients, PeerHandler acceptedHandler, PeerHandler timeoutHandler)
        : registry(std::move(clients))
        , onAccepted(std::move(acceptedHandler))
        , onTimeout(std::move(timeoutHandler))
    {
    }

    error_code listen(const tcp::endpoint& endpoint)
    {
        error_code error;
        acceptor.open(endpoint.protocol(), error);
        if (!error)
            acceptor.set_option(tcp::acceptor::reuse_address(true), error);
        if (!error)
            acceptor.bind(endpoint, error);
        if (!error)
            acceptor.listen(listenBacklog, error);
        if (!error)
            acceptor.non_blocking(true, error);
        return error;
    }

    void awaitClient()
    {
        acceptor.async_wait(tcp::acceptor::wait_read, [this](error_code error) {
            if (!error)
                acceptClient();
        });
    }

    void acceptClient()
    {
        const auto room = registry->makeRoom();
        isRoomAwaited = room == ClientRegistry::Room::Awaited;
        if (isRoomAwaited)
            return;
        error_code error;
        tcp::endpoint remote;
        tcp::socket socket(loop);
        acceptor.accept(socket, remote, error);
        if (!error && room == ClientRegistry::Room::Free)
            add(std::move(socket), remote);
        const bool isClientGone = error == asio::error::connection_aborted || error == asio::error::interrupted;
        if (!error || error == asio::error::would_block || isClientGone)
            return awaitClient();
        retryTimer.expires_after(retryPause);
        retryTimer.async_wait([this](error_code stopped) {
            if (!stopped)
                awaitClient();
        });
    }

    void add(tcp::socket socket, const tcp::endpoint& remote)
    {
        error_code error;
        socket.set_option(tcp::no_delay(true), error);
        socket.native_non_blocking(true, error);
        const auto descriptor = withoutPendingWrites(socket.release(error));
        if (descriptor < 0)
            return;
        const auto peer = Pistache::Tcp::Peer::Create(descriptor, Pistache::Address(remote.address().to_string(), Pistache::Port(remote.port())));
        const auto connection = std::make_shared<ClientConnection>(registry, registry->add(peer));
        writesByDescriptor[descriptor] = connection->pendingWrites();
        peer->putData(connectionData, connection);
        onAccepted(peer);
    }

    // Pistache addresses what it still has to send by descriptor, so that a client could receive what
    // was for an earlier one. Returns a descriptor of the same connection without such writes, or -1
    // if there is none; the connection is closed then.
    int withoutPendingWrites(int accepted) const
    {
        auto descriptor = accepted;
        while (descriptor >= 0 && hasPendingWrites(descriptor)) {
            const auto next = ::fcntl(accepted, F_DUPFD_CLOEXEC, descriptor + 1);
            if (descriptor != accepted)
                ::close(descriptor);
            descriptor = next;
        }
        if (descriptor != accepted)
            ::close(accepted);
        return descriptor;
    }

    bool hasPendingWrites(int descriptor) const
    {
        const auto writes = writesByDescriptor.find(descriptor);
        return writes != writesByDescriptor.end() && *writes->second > 0;
    }

    void awaitExpiry()
    {
        expiryTimer.expires_after(expiryPeriod);
        expiryTimer.async_wait([this](error_code stopped) {
            if (stopped)
                return;
            registry->endExpired(monotonicNow(), onTimeout);
            awaitExpiry();
        });
    }

    void handleRoom()
    {
        if (std::exchange(isRoomAwaited, false))
            acceptClient();
    }

    ClientRegistryPointer registry;
    PeerHandler onAccepted;
    PeerHandler onTimeout;
    asio::io_context loop { 1 };
    tcp::acceptor acceptor { loop };
    asio::steady_timer retryTimer { loop };
    asio::steady_timer expiryTimer { loop };
    std::unordered_map<int, WriteCounter> writesByDescriptor; // of the latest connection with each
    bool isRoomAwaited = false;
    std::string address;
    std::thread thread; // runs the loop
};

ClientAcceptor::ClientAcceptor(ClientRegistryPointer registry, PeerHandler onAccepted, PeerHandler onTimeout)
    : m_state(std::make_unique<State>(std::move(registry), std::move(onAccepted), std::move(onTimeout)))
{
}

ClientAcceptor::~ClientAcceptor() { stop(); }

Outcome<void> ClientAcceptor::start(const std::string& address)
{
    error_code error;
    try {
        const Pistache::Address parsed(address);
        error = m_state->listen({ asio::ip::make_address(parsed.host()), parsed.port() });
    } catch (const std::exception& exception) {
        return failure(ErrorCode::Unavailable, "cannot listen on " + address + ": " + exception.what());
    }
    if (error)
        return failure(ErrorCode::Unavailable, "cannot listen on " + address + ": " + error.message());
    const auto bound = m_state->acceptor.local_endpoint();
    m_state->address = bound.address().to_string() + ":" + std::to_string(bound.port());
    m_state->registry->onRoom([state = m_state.get()] { asio::post(state->loop, [state] { state->handleRoom(); }); });
    m_state->awaitClient();
    m_state->awaitExpiry();
    m_state->thread = std::thread([state = m_state.get()] { state->loop.run(); });
    return success();
}

void ClientAcceptor::stop()
{
    if (!m_state->thread.joinable())
        return;
    m_state->registry->onRoom(nullptr);
    m_state->loop.stop();
    m_state->thread.join();
    error_code ignored;
    m_state->acceptor.close(ignored);
}

std::string ClientAcceptor::address() const { return m_state->address; }

}
