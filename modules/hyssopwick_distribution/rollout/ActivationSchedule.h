#pragma once

#include <hyssopwick_core.h>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace hyssopwick {

/// How far one engine is with a version.
struct ActivationState {
    bool isReady = false; ///< all of the version is on its VM
    bool isLoading = false;
    bool isLoaded = false;

    auto tied() const { return std::tie(isReady, isLoading, isLoaded); }
    bool operator==(const ActivationState& other) const { return tied() == other.tied(); }
    bool operator!=(const ActivationState& other) const { return !(*this == other); }
};

/// Decides when the engine on one VM may leave service to load a new version, without a
/// coordinator: engines load in waves, as few at once as the time left allows, in an
/// order that every VM computes alike. The first ones begin one after the other, so that
/// calls do not lose a whole wave of engines at once. An engine that serves nothing loads at
/// once, and none waits past the bound on the new version. What is not known of others can
/// make more load at once, never mix versions. Pure.
class ActivationSchedule {
public:
    /// \param self      id of the own VM
    /// \param key       names the version, the same on all VMs
    /// \param loadTime  usual time from the order to service, with what runs being finished
    /// \param readyAt   when the own VM had all of the version
    /// \param startBy   when the order must be given at the latest
    ActivationSchedule(std::string self, std::string key, Milliseconds loadTime, TimePoint readyAt, TimePoint startBy);

    /// Replaces the other VMs that have engines in service.
    void setPeers(const std::vector<std::string>& peers);

    /// Records how far another VM is.
    void recordPeer(const std::string& peer, const ActivationState& state, TimePoint now);

    /// Returns whether the own engine, which has all of the version, may load it now.
    /// \param isServing  the engine serves an older version
    bool mayLoad(bool isServing, TimePoint now) const;

private:
    struct Peer {
        ActivationState state;
        TimePoint recordedAt;
    };

    std::string m_self;
    std::string m_key;
    Milliseconds m_loadTime;
    TimePoint m_readyAt;
    TimePoint m_startBy;
    std::map<std::string, Peer> m_peers;
};

}
