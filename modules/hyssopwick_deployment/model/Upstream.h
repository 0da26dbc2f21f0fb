#pragma once

#include <cstdint>
#include <hyssopwick_core.h>
#include <map>
#include <optional>

namespace hyssopwick {

/// Whether an upstream takes new calls.
enum class UpstreamState {
    Ready,
    Draining,
};

/// One instance of an upstream, as it registered itself.
struct Upstream {
    std::string id; ///< of the instance; usually a new one after a restart
    std::string service;
    std::string address; ///< "ip:port"
    std::string failureDomain;
    UpstreamState state = UpstreamState::Ready;
    unsigned slots = 1; ///< calls that it runs concurrently
    std::map<std::string, std::uint64_t> loadedVersions; ///< weights by model, only fully loaded ones
    UnixMilliseconds startedAt = 0; ///< 0 when unknown
    std::optional<Milliseconds> coldLeft; ///< how long it was still cold when it registered; nothing when it does not say

    auto tied() const { return std::tie(id, service, address, failureDomain, state, slots, loadedVersions, startedAt, coldLeft); }
    bool operator==(const Upstream& other) const { return tied() == other.tied(); }
    bool operator!=(const Upstream& other) const { return !(*this == other); }
};

}
