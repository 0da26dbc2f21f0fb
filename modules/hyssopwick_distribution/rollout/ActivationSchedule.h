#pragma once

#include <hyssopwick_core.h>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace hyssopwick {

/// Progress of one engine towards a version.
struct ActivationState {
    bool isReady = false; ///< the version is staged on its VM
    bool isLoading = false;
    bool isLoaded = false;

    auto tied() const { return std::tie(isReady, isLoading, isLoaded); }
    bool operator==(const ActivationState& other) const { return tied() == other.tied(); }
    bool operator!=(const ActivationState& other) const { return !(*this == other); }
};

/// Decides when the engine on one VM may leave service to load a new version, without a
/// coordinator: engines load in waves, each as small as the time left allows, in a
/// rendezvous order that every VM computes alike. The starts of a wave are staggered, so
/// that capacity does not drop by the whole wave at once, and an engine's turn comes at an even pace
/// also if the loads before it take longer than estimated. An engine that serves nothing
/// loads immediately, and none waits past the given latest time. Missing reports of peers can
/// only make more engines load at the same time, never mix versions. Pure.
class ActivationSchedule {
public:
    /// \param self      id of the own VM
    /// \param key       identifies the version, the same on all VMs
    /// \param loadTime  typical time from the load order to service, running calls included
    /// \param readyAt   when the version was staged on the own VM
    /// \param startBy   latest time of the load order
    ActivationSchedule(std::string self, std::string key, Milliseconds loadTime, TimePoint readyAt, TimePoint startBy);

    /// Replaces the other VMs that have engines in service.
    void setPeers(const std::vector<std::string>& peers);

    /// Records the progress that another VM reported.
    void recordPeer(const std::string& peer, const ActivationState& state, TimePoint now);

    /// Returns whether the own engine may load the version now. It must be staged.
    /// \param isServing  the engine serves an older version
    bool mayLoad(bool isServing, TimePoint now) const;

private:
    struct Peer {
        ActivationState state;
        TimePoint recordedAt;
    };

    /// Returns when the engine may load although others before it have not ended.
    TimePoint paceTime(std::size_t rank) const;

    std::string m_self;
    std::string m_key;
    Milliseconds m_loadTime;
    TimePoint m_readyAt;
    TimePoint m_startBy;
    std::map<std::string, Peer> m_peers;
};

}
