#include "ClientRegistry.h"

#include <pistache/peer.h>
#include <sys/socket.h>

namespace hyssopwick {

namespace {
    constexpr Milliseconds idleTimeout { 3'600'000 };
    // For the client to read a rejection.
    constexpr Milliseconds lingerTime { 1000 };
}

ClientRegistry::ClientRegistry(RequestBudgetLimits limits, Milliseconds readingTimeout)
    : m_readingTimeout(readingTimeout)
    , m_budget(limits)
{
}

ClientRegistry::Room ClientRegistry::makeRoom()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    if (m_openDescriptors < m_budget.limits().connections)
        return Room::Free;
    if (m_budget.connections() == m_openDescriptors && !m_budget.evictForConnection()) {
        ++m_refused;
        return Room::None;
    }
    m_isRoomAwaited = true;
    return Room::Awaited;
}

void ClientRegistry::onRoom(std::function<void()> handler)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_onRoom = std::move(handler);
}

ClientRegistry::Id ClientRegistry::add(const PeerPointer& peer)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    const auto now = monotonicNow();
    const auto usage = std::make_shared<Usage>();
    usage->peer = peer;
    usage->phaseEndsAt = now + m_readingTimeout;
    // makeRoom() has left room.
    const auto id = m_budget.add(
                                "", [usage](EvictionReason) { end(*usage); }, now)
                        .value();
    m_usage[id] = usage;
    ++m_openDescriptors;
    return id;
}

void ClientRegistry::end(Usage& usage)
{
    usage.phase = Phase::Ended;
    // Pistache notices the end of the connection and then forgets it. It closes the descriptor
    // only after remove().
    if (const auto peer = usage.peer.lock())
        ::shutdown(peer->fd(), SHUT_RDWR);
}

void ClientRegistry::remove(Id id)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_budget.remove(id);
    m_usage.erase(id);
}

void ClientRegistry::handleDescriptorClosed()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    --m_openDescriptors;
    m_closed.notify_all();
    if (std::exchange(m_isRoomAwaited, false) && m_onRoom)
        m_onRoom();
}

bool ClientRegistry::reserve(Id id, std::size_t bytes)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_usage.find(id);
    if (found == m_usage.end())
        return false;
    auto& usage = *found->second;
    const auto now = monotonicNow();
    if (!m_budget.reserve(id, usage.acceptedBytes + bytes, now))
        return false;
    m_budget.recordProgress(id, now);
    usage.readBytes = bytes;
    if (usage.phase != Phase::Idle)
        return true;
    usage.phase = Phase::Reading;
    usage.phaseEndsAt = std::min(usage.phaseEndsAt, now + m_readingTimeout);
    return true;
}

std::unique_ptr<AcceptedRequest> ClientRegistry::accept(Id id)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_usage.find(id);
    if (found == m_usage.end() || found->second->phase == Phase::Rejected || found->second->phase == Phase::Ended)
        return nullptr;
    auto& usage = *found->second;
    const auto bytes = std::exchange(usage.readBytes, 0);
    usage.phase = Phase::Idle;
    usage.acceptedBytes += bytes;
    ++usage.acceptedRequests;
    m_budget.setAccepted(id, true);
    return std::make_unique<AcceptedRequest>(shared_from_this(), id, bytes);
}

void ClientRegistry::endRequest(Id id, std::size_t bytes)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_usage.find(id);
    if (found == m_usage.end())
        return;
    auto& usage = *found->second;
    usage.acceptedBytes -= bytes;
    m_budget.release(id, usage.acceptedBytes + usage.readBytes);
    if (--usage.acceptedRequests > 0)
        return;
    const auto now = monotonicNow();
    m_budget.setAccepted(id, false);
    m_budget.recordProgress(id, now);
    usage.phaseEndsAt = now + (usage.phase == Phase::Reading ? m_readingTimeout : idleTimeout);
}

bool ClientRegistry::reject(Id id)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_usage.find(id);
    if (found == m_usage.end())
        return false;
    auto& usage = *found->second;
    usage.readBytes = 0;
    m_budget.release(id, usage.acceptedBytes);
    if (usage.phase != Phase::Ended)
        usage.phase = Phase::Rejected;
    usage.phaseEndsAt = monotonicNow() + m_readingTimeout;
    return usage.acceptedRequests > 0;
}

void ClientRegistry::endExpired(TimePoint now, const RejectionHandler& onTimeout)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    for (auto& [id, usage] : m_usage) {
        if (usage->phase == Phase::Ended || usage->acceptedRequests > 0 || usage->phaseEndsAt > now)
            continue;
        const auto peer = usage->peer.lock();
        if (!peer || usage->phase != Phase::Reading) {
            end(*usage);
            continue;
        }
        usage->phase = Phase::Rejected;
        usage->phaseEndsAt = now + lingerTime;
        onTimeout(peer);
    }
}

void ClientRegistry::closeAll(TimePoint deadline)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    for (auto& [id, usage] : m_usage)
        end(*usage);
    m_closed.wait_until(lock, deadline, [this] { return m_openDescriptors == 0; });
}

void ClientRegistry::exportMetrics(MetricsRegistry& metrics) const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    const auto& counters = m_budget.counters();
    metrics.gauge("client_connections", double(m_openDescriptors));
    metrics.gauge("request_bytes_held", double(m_budget.heldBytes()));
    metrics.gauge("connections_evicted", double(counters.evictedForConnections));
    metrics.gauge("requests_evicted_for_memory", double(counters.evictedForMemory));
    metrics.gauge("connections_refused", double(m_refused));
    metrics.gauge("requests_refused_for_memory", double(counters.refusedReservations));
}

}
