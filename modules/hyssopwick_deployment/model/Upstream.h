#pragma once

#include <cstdint>
#include <hyssopwick_core.h>
#include <map>

namespace hyssopwick {

/// Whether an upstream takes new calls.
enum class UpstreamState {
    Ready,
    Draining,
};

/// One start of an upstream as it registered itself.
struct Upstream {
    std::string id; ///< names this start; mostly new at each
    std::string service;
    std::string address; ///< "ip:port"
    std::string failureDomain;
    UpstreamState state = UpstreamState::Ready;
    unsigned slots = 1; ///< calls that it runs at once
    std::map<std::string, std::uint64_t> loadedVersions; ///< model to the version of the weights that it has loaded in full
    UnixMilliseconds startedAt = 0; ///< when it started; 0 when not told

    auto tied() const { return std::tie(id, service, address, failureDomain, state, slots, loadedVersions, startedAt); }
    bool operator==(const Upstream& other) const { return tied() == other.tied(); }
    bool operator!=(const Upstream& other) const { return !(*this == other); }
};

}
