#pragma once

#include "../values/TimePoint.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <tuple>

namespace hyssopwick {

/// What the clients of a process may use of its memory and descriptors, all together.
struct RequestBudgetLimits {
    std::size_t connections = ~std::size_t(0); ///< that clients may keep open
    std::size_t bytes = ~std::size_t(0); ///< that requests may hold, from their first byte until their answer is complete
    std::size_t bytesForLongRequests = ~std::size_t(0); ///< of these; the rest is kept for short ones

    /// Returns the limits for a process that may use \p memoryBytes and \p descriptors.
    static RequestBudgetLimits of(std::size_t memoryBytes, std::size_t descriptors);

    auto tied() const { return std::tie(connections, bytes, bytesForLongRequests); }
    bool operator==(const RequestBudgetLimits& other) const { return tied() == other.tied(); }
    bool operator!=(const RequestBudgetLimits& other) const { return !(*this == other); }
};

/// What a process did because of its request budget, since its start.
struct RequestBudgetCounters {
    std::uint64_t evictedForConnections = 0; ///< connections closed for others
    std::uint64_t evictedForMemory = 0; ///< requests ended for the memory of others
    std::uint64_t refusedConnections = 0;
    std::uint64_t refusedReservations = 0; ///< of memory

    auto tied() const { return std::tie(evictedForConnections, evictedForMemory, refusedConnections, refusedReservations); }
    bool operator==(const RequestBudgetCounters& other) const { return tied() == other.tied(); }
    bool operator!=(const RequestBudgetCounters& other) const { return !(*this == other); }
};

/// Why a connection is closed to make room for others.
enum class EvictionReason {
    Connections, ///< the process has no room for a further connection
    Memory, ///< a request needs memory that this one holds without making progress
};

/// Shares the memory and the descriptors of a process among the connections of its clients.
/// Connections whose request has been accepted are never closed for others, and their memory
/// stays theirs. Of the rest, the one without progress for longest makes room. Load: more
/// clients than the process can hold at once, and clients that send without end or stop in the
/// middle of a request.
class RequestBudget {
public:
    using ConnectionId = std::uint64_t;
    /// Closes the connection or ends its request; may call remove() and release().
    using EvictionHandler = std::function<void(EvictionReason)>;

    explicit RequestBudget(RequestBudgetLimits limits = {})
        : m_limits(limits)
    {
    }

    void setLimits(RequestBudgetLimits limits) { m_limits = limits; }
    const RequestBudgetLimits& limits() const { return m_limits; }

    /// Adds a connection, for which another one may be evicted, or returns nothing if all others
    /// carry accepted requests.
    /// \param listener  address at which it was accepted; the one with most connections gives way
    std::optional<ConnectionId> add(const std::string& listener, EvictionHandler onEviction, TimePoint now);

    /// Evicts the connection that makes room first. Returns false if there is none.
    bool evictForConnection();

    void remove(ConnectionId id);

    /// Records that bytes arrived, or that an answer was completed.
    void recordProgress(ConnectionId id, TimePoint now);

    /// Records that the connection's request was accepted, or that its answer is complete.
    void setAccepted(ConnectionId id, bool isAccepted);

    /// Lets the connection hold \p bytes in all. Others that have made no progress for some time
    /// may be evicted for it. Returns false, and changes nothing, if there is no room.
    bool reserve(ConnectionId id, std::size_t bytes, TimePoint now);

    /// Reduces what the connection holds to \p bytes, if it holds more.
    void release(ConnectionId id, std::size_t bytes);

    std::size_t connections() const { return m_connections.size(); }
    std::size_t heldBytes() const { return m_heldBytes; }
    const RequestBudgetCounters& counters() const { return m_counters; }

    /// Requests up to this size are short.
    static constexpr std::size_t shortRequestBytes = std::size_t(64) << 10;

private:
    struct Connection {
        std::string listener;
        EvictionHandler onEviction;
        TimePoint progressAt;
        std::size_t heldBytes = 0;
        bool isAccepted = false;
    };
    using Connections = std::map<ConnectionId, Connection>;

    static bool isLong(std::size_t bytes) { return bytes > shortRequestBytes; }
    bool hasRoom(std::size_t held, std::size_t wanted) const;
    void setHeld(Connection& connection, std::size_t bytes);
    std::optional<ConnectionId> stalledHolder(ConnectionId except, bool isLongNeeded, TimePoint now) const;
    std::string largestListener() const;
    void evict(ConnectionId id, EvictionReason reason);

    RequestBudgetLimits m_limits;
    Connections m_connections;
    std::map<std::string, std::size_t> m_connectionsOf; // by listener
    std::size_t m_heldBytes = 0;
    std::size_t m_heldByLongRequests = 0;
    ConnectionId m_lastId = 0;
    RequestBudgetCounters m_counters;
};

}
