#include "RequestBudget.h"

#include <algorithm>

namespace hyssopwick {

namespace {
    // The platform keeps these for files.
    constexpr std::size_t fileDescriptors = 200;
    constexpr std::size_t minSocketDescriptors = 16;
    // Each accepted call needs a connection to an upstream as well.
    constexpr std::size_t descriptorDivisor = 2;
    // Answers, tables and the program need the rest.
    constexpr std::size_t memoryDivisor = 2;
    constexpr std::size_t longRequestQuarters = 3;
    constexpr std::size_t quarters = 4;
    // A client on a slow link sends something within this time.
    constexpr Milliseconds stallTime { 1000 };
}

RequestBudgetLimits RequestBudgetLimits::of(std::size_t memoryBytes, std::size_t descriptors)
{
    RequestBudgetLimits limits;
    limits.connections = std::max(minSocketDescriptors, descriptors - std::min(descriptors, fileDescriptors)) / descriptorDivisor;
    limits.bytes = memoryBytes / memoryDivisor;
    limits.bytesForLongRequests = limits.bytes / quarters * longRequestQuarters;
    return limits;
}

std::optional<RequestBudget::ConnectionId> RequestBudget::add(const std::string& listener, EvictionHandler onEviction, TimePoint now)
{
    if (m_connections.size() >= m_limits.connections && !evictForConnection()) {
        ++m_counters.refusedConnections;
        return std::nullopt;
    }
    const auto id = ++m_lastId;
    m_connections.emplace(id, Connection { listener, std::move(onEviction), now });
    ++m_connectionsOf[listener];
    return id;
}

std::string RequestBudget::largestListener() const
{
    std::map<std::string, std::size_t> evictable;
    for (const auto& [id, connection] : m_connections)
        evictable[connection.listener] += !connection.isAccepted;
    std::string largest;
    std::size_t most = 0;
    for (const auto& [listener, count] : m_connectionsOf) {
        if (count > most && evictable[listener] > 0) {
            most = count;
            largest = listener;
        }
    }
    return largest;
}

bool RequestBudget::evictForConnection()
{
    const auto listener = largestListener();
    auto oldest = m_connections.end();
    for (auto connection = m_connections.begin(); connection != m_connections.end(); ++connection) {
        if (connection->second.isAccepted || connection->second.listener != listener)
            continue;
        if (oldest == m_connections.end() || connection->second.progressAt < oldest->second.progressAt)
            oldest = connection;
    }
    if (oldest == m_connections.end())
        return false;
    evict(oldest->first, EvictionReason::Connections);
    return true;
}

void RequestBudget::evict(ConnectionId id, EvictionReason reason)
{
    const auto handler = m_connections.at(id).onEviction;
    if (reason == EvictionReason::Connections) {
        ++m_counters.evictedForConnections;
        remove(id);
    } else {
        ++m_counters.evictedForMemory;
        release(id, 0);
    }
    handler(reason);
}

void RequestBudget::remove(ConnectionId id)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end())
        return;
    setHeld(found->second, 0);
    const auto count = m_connectionsOf.find(found->second.listener);
    if (--count->second == 0)
        m_connectionsOf.erase(count);
    m_connections.erase(found);
}

void RequestBudget::recordProgress(ConnectionId id, TimePoint now)
{
    const auto found = m_connections.find(id);
    if (found != m_connections.end())
        found->second.progressAt = now;
}

void RequestBudget::setAccepted(ConnectionId id, bool isAccepted)
{
    const auto found = m_connections.find(id);
    if (found != m_connections.end())
        found->second.isAccepted = isAccepted;
}

bool RequestBudget::hasRoom(std::size_t held, std::size_t wanted) const
{
    if (m_heldBytes - held + wanted > m_limits.bytes)
        return false;
    const auto heldByOthers = m_heldByLongRequests - (isLong(held) ? held : 0);
    return !isLong(wanted) || heldByOthers + wanted <= m_limits.bytesForLongRequests;
}

bool RequestBudget::reserve(ConnectionId id, std::size_t bytes, TimePoint now)
{
    auto found = m_connections.find(id);
    if (found == m_connections.end())
        return false;
    if (bytes <= found->second.heldBytes)
        return true;
    while (!hasRoom(found->second.heldBytes, bytes)) {
        const auto stalled = stalledHolder(id, isLong(bytes), now);
        if (!stalled) {
            ++m_counters.refusedReservations;
            return false;
        }
        evict(*stalled, EvictionReason::Memory);
    }
    setHeld(found->second, bytes);
    return true;
}

std::optional<RequestBudget::ConnectionId> RequestBudget::stalledHolder(ConnectionId except, bool isLongNeeded, TimePoint now) const
{
    auto longest = m_connections.end();
    for (auto holder = m_connections.begin(); holder != m_connections.end(); ++holder) {
        const auto& connection = holder->second;
        const bool isHelpful = isLongNeeded ? isLong(connection.heldBytes) : connection.heldBytes > 0;
        if (holder->first == except || connection.isAccepted || !isHelpful || connection.progressAt + stallTime > now)
            continue;
        if (longest == m_connections.end() || connection.progressAt < longest->second.progressAt)
            longest = holder;
    }
    return longest == m_connections.end() ? std::nullopt : std::optional(longest->first);
}

void RequestBudget::release(ConnectionId id, std::size_t bytes)
{
    const auto found = m_connections.find(id);
    if (found != m_connections.end() && found->second.heldBytes > bytes)
        setHeld(found->second, bytes);
}

void RequestBudget::setHeld(Connection& connection, std::size_t bytes)
{
    m_heldBytes = m_heldBytes - connection.heldBytes + bytes;
    if (isLong(connection.heldBytes))
        m_heldByLongRequests -= connection.heldBytes;
    if (isLong(bytes))
        m_heldByLongRequests += bytes;
    connection.heldBytes = bytes;
}

}
