#include "ActivationSchedule.h"

#include <algorithm>
#include <cmath>

namespace hyssopwick {

namespace {
    // A VM that was not heard of for longer holds up nobody.
    constexpr Milliseconds maxPeerAge { 2000 };
    // Even without hurry, a rollout is not stretched further: a new version is wanted soon.
    constexpr double mostWaves = 5;
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
    std::map<std::string, Peer> kept;
    for (const auto& peer : peers) {
        const auto known = m_peers.find(peer);
        kept[peer] = known == m_peers.end() ? Peer {} : known->second;
    }
    m_peers = std::move(kept);
}

void ActivationSchedule::recordPeer(const std::string& peer, const ActivationState& state, TimePoint now)
{
    const auto found = m_peers.find(peer);
    if (found != m_peers.end())
        found->second = { state, now };
}

bool ActivationSchedule::mayLoad(bool isServing, TimePoint now) const
{
    if (!isServing || now >= m_startBy)
        return true;
    const auto ownWeight = stableHash(m_key + m_self);
    std::size_t unloaded = 1;
    std::size_t ahead = 0;
    for (const auto& [id, peer] : m_peers) {
        const bool isKnown = now - peer.recordedAt < maxPeerAge;
        if (isKnown && peer.state.isLoaded)
            continue;
        ++unloaded;
        const bool isWaitingBefore = isKnown && peer.state.isReady && stableHash(m_key + id) > ownWeight;
        if (isKnown && (peer.state.isLoading || isWaitingBefore))
            ++ahead;
    }
    const double timeLeft = double(millisecondsBetween(now, m_startBy));
    const double waves = std::clamp(std::floor(timeLeft / double(std::max<std::int64_t>(1, m_loadTime.count()))), 1.0, mostWaves);
    const auto atOnce = static_cast<std::size_t>(std::ceil(double(unloaded) / waves));
    const auto spacing = m_loadTime / static_cast<std::int64_t>(atOnce);
    return ahead < atOnce && now >= m_readyAt + spacing * static_cast<std::int64_t>(ahead);
}

}
