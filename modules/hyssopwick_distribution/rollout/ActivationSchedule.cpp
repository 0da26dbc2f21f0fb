#include "ActivationSchedule.h"

#include <algorithm>
#include <cmath>

namespace hyssopwick {

namespace {
    // A peer whose last report is older does not delay others.
    constexpr Milliseconds maxPeerAge { 2000 };
    // With much time left, more and smaller waves would delay the new version.
    constexpr double maxWaves = 5;
}

ActivationSchedule::ActivationSchedule(std::string self, std::string key, Milliseconds loadTime, TimePoint readyAt, TimePoint startBy)
    : m_self(std::move(self))
    , m_key(std::move(key))
    , m_loadTime(loadTime)
    , m_readyAt(readyAt)
    , m_startBy(startBy)
{
}

void ActivationSchedule::setPeers(const std::vector<std::string>& peers)
{
    std::map<std::string, Peer> updated;
    for (const auto& peer : peers) {
        const auto known = m_peers.find(peer);
        updated[peer] = known == m_peers.end() ? Peer {} : known->second;
    }
    m_peers = std::move(updated);
}

void ActivationSchedule::recordPeer(const std::string& peer, const ActivationState& state, TimePoint now)
{
    const auto found = m_peers.find(peer);
    if (found != m_peers.end())
        found->second = { state, now };
}

// Loads may take longer than estimated, since streams run on. Without an even pace, all engines
// that still wait for the waves before them would load together at the end.
TimePoint ActivationSchedule::paceTime(std::size_t rank) const
{
    const auto window = std::min<TimePoint::duration>(std::max(m_startBy - m_readyAt, TimePoint::duration::zero()), m_loadTime * static_cast<std::int64_t>(maxWaves));
    return m_readyAt + window * static_cast<std::int64_t>(rank + 1) / static_cast<std::int64_t>(m_peers.size() + 1);
}

bool ActivationSchedule::mayLoad(bool isServing, TimePoint now) const
{
    if (!isServing || now >= m_startBy)
        return true;
    const auto ownWeight = stableHash(m_key + m_self);
    std::size_t ahead = 0;
    std::size_t rank = 0;
    for (const auto& [id, peer] : m_peers) {
        rank += stableHash(m_key + id) > ownWeight;
        const bool isCurrent = now - peer.recordedAt < maxPeerAge;
        if (isCurrent && peer.state.isLoaded)
            continue;
        const bool isWaitingBefore = isCurrent && peer.state.isReady && stableHash(m_key + id) > ownWeight;
        if (isCurrent && (peer.state.isLoading || isWaitingBefore))
            ++ahead;
    }
    // The first wave begins when the version is staged, and the last one may begin at the end.
    const double window = double(millisecondsBetween(m_readyAt, m_startBy));
    const double waves = std::clamp(std::floor(window / double(std::max<std::int64_t>(1, m_loadTime.count()))) + 1, 1.0, maxWaves);
    const auto waveSize = static_cast<std::size_t>(std::ceil(double(m_peers.size() + 1) / waves));
    const auto spacing = m_loadTime / static_cast<std::int64_t>(waveSize);
    const bool hasRoom = ahead < waveSize && now >= m_readyAt + spacing * static_cast<std::int64_t>(ahead);
    return hasRoom || now >= paceTime(rank);
}

}
