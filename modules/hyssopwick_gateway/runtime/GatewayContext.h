#pragma once

#include "../http/NetworkTypes.h"

#include <hyssopwick_membership.h>

namespace hyssopwick {

/// What every part of a process on a platform shares. One event loop runs all of it.
struct GatewayContext {
    EventLoop& loop;
    ProcessDescription description;
    PlatformPorts ports;
    EventLog& log;
    MetricsRegistry& metrics;
    std::uint64_t incarnation; ///< grows with each start of the process

    /// Returns the address of this process for its peers.
    std::string internalAddress() const { return description.ip + ":" + std::to_string(description.internalPort); }
};

}
