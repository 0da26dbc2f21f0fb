#include "ManifestRequests.h"

#include <algorithm>

namespace hyssopwick {

namespace {
    constexpr Milliseconds connectTimeout { 400 };
    constexpr Milliseconds manifestTimeout { 1500 };
    constexpr Milliseconds stallTimeout { 500 };
    constexpr Milliseconds retryDelay { 60 };
    // A request that was sent while the origin was away may never be answered. Every fourth
    // waits longer, for an origin that is slow.
    constexpr Milliseconds originBeginTimeout { 250 };
    constexpr unsigned requestsPerPatientRequest = 4;
    // Every so many attempts, the origin is asked for the manifest instead of a peer.
    constexpr unsigned attemptsPerOriginRequest = 6;
    // VMs that ask the origin for the manifest from their first attempt on; the others ask peers first.
    constexpr std::size_t leaderCount = 2;
}

ManifestRequests::ManifestRequests(std::string key, std::string self)
    : m_key(std::move(key))
    , m_self(std::move(self))
{
}

ManifestRequests::Request ManifestRequests::next(std::vector<std::string> others, TimePoint now)
{
    others.push_back(m_self);
    auto order = rendezvousOrder("manifest/" + m_key, others);
    const auto leadersEnd = order.begin() + static_cast<std::ptrdiff_t>(std::min(leaderCount, order.size()));
    const bool isLeader = std::find(order.begin(), leadersEnd, m_self) != leadersEnd;
    const bool asksOrigin = isLeader || m_attempts % attemptsPerOriginRequest == attemptsPerOriginRequest - 1;
    order.erase(std::find(order.begin(), order.end(), m_self));
    const auto attempt = m_attempts++;
    if (!asksOrigin)
        return { order[attempt % std::min(order.size(), 2 * leaderCount)], now + connectTimeout, now + manifestTimeout, stallTimeout, now + manifestTimeout };
    const bool isPatient = m_originRequests++ % requestsPerPatientRequest == requestsPerPatientRequest - 1;
    const auto beginBy = now + (isPatient ? manifestTimeout : originBeginTimeout);
    return { "", std::min(beginBy, now + connectTimeout), beginBy, stallTimeout, now + manifestTimeout };
}

TimePoint ManifestRequests::retryAt(TimePoint now) { return now + retryDelay; }

}
