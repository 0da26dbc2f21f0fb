#pragma once

#include <condition_variable>
#include <functional>
#include <hyssopwick_core.h>
#include <map>
#include <memory>
#include <mutex>

namespace Pistache::Tcp {
class Peer;
}

namespace hyssopwick {

class AcceptedRequest;

/// Applies the budget of all clients of an HttpServer to the connections of all its threads.
/// A connection that was closed for others counts until its descriptor is closed, which its
/// thread does.
class ClientRegistry : public std::enable_shared_from_this<ClientRegistry> {
public:
    using Id = RequestBudget::ConnectionId;
    using PeerPointer = std::shared_ptr<Pistache::Tcp::Peer>;

    /// Whether there is room for another connection.
    enum class Room {
        Free,
        Awaited, ///< a connection is being closed; the handler of onRoom() is called then
        None, ///< all connections carry accepted requests
    };

    /// \param readingTimeout  for each request, from its first byte to its end
    ClientRegistry(RequestBudgetLimits limits, Milliseconds readingTimeout);

    /// Returns whether another connection may be accepted, and closes one for it if need be.
    Room makeRoom();

    /// Calls \p handler on any thread when a connection that makeRoom() waits for was closed.
    void onRoom(std::function<void()> handler);

    /// Adds a connection after makeRoom() returned Room::Free.
    Id add(const PeerPointer& peer);

    /// Records that the client has disconnected.
    void remove(Id id);

    /// Records that the connection's descriptor was closed.
    void handleDescriptorClosed();

    /// Lets a request that is being read hold some bytes.
    bool reserve(Id id, std::size_t bytes);

    /// Takes what was read as a request that is being handled now, unless its connection was
    /// closed meanwhile.
    std::unique_ptr<AcceptedRequest> accept(Id id);

    /// Ends a request that was accepted and holds \p bytes.
    void endRequest(Id id, std::size_t bytes);

    /// Ends the request that is being read; its connection carries no further one. Returns whether
    /// others of it are being handled.
    bool reject(Id id);

    /// Called with the mutex locked, so that the peer's descriptor stays open meanwhile.
    using RejectionHandler = std::function<void(const PeerPointer& peer)>;

    /// Closes the connections whose time has passed. Those in the middle of a request are passed
    /// to \p onTimeout first and have some time to read what it sends.
    void endExpired(TimePoint now, const RejectionHandler& onTimeout);

    /// Shuts all connections down, and returns once they are closed or \p deadline has passed.
    void closeAll(TimePoint deadline);

    void exportMetrics(MetricsRegistry& metrics) const;

private:
    enum class Phase {
        Idle,
        Reading, // in the middle of a request
        Rejected, // no further request is accepted
        Ended, // shut down, not yet closed
    };

    struct Usage {
        std::weak_ptr<Pistache::Tcp::Peer> peer;
        Phase phase = Phase::Idle;
        TimePoint phaseEndsAt; // while no request is being handled
        std::size_t readBytes = 0;
        std::size_t acceptedBytes = 0;
        std::size_t acceptedRequests = 0;
    };

    static void end(Usage& usage);

    Milliseconds m_readingTimeout;
    mutable std::mutex m_mutex; // guards the members below
    RequestBudget m_budget;
    std::map<Id, std::shared_ptr<Usage>> m_usage;
    std::size_t m_openDescriptors = 0;
    bool m_isRoomAwaited = false;
    std::uint64_t m_refused = 0;
    std::function<void()> m_onRoom;
    std::condition_variable m_closed;
};

using ClientRegistryPointer = std::shared_ptr<ClientRegistry>;

/// Keeps the memory of a request and its connection until the request has been answered.
class AcceptedRequest {
public:
    AcceptedRequest(ClientRegistryPointer registry, ClientRegistry::Id id, std::size_t bytes)
        : m_registry(std::move(registry))
        , m_id(id)
        , m_bytes(bytes)
    {
    }

    ~AcceptedRequest() { m_registry->endRequest(m_id, m_bytes); }

    AcceptedRequest(const AcceptedRequest&) = delete;
    AcceptedRequest& operator=(const AcceptedRequest&) = delete;

private:
    ClientRegistryPointer m_registry;
    ClientRegistry::Id m_id;
    std::size_t m_bytes;
};

}
