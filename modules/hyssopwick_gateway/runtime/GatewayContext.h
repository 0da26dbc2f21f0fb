#pragma once

#include "../http/NetworkTypes.h"

#include <hyssopwick_membership.h>

namespace hyssopwick {

/// What the parts of a gateway process share. All of them run on one event loop.
struct GatewayContext {
    EventLoop& loop;
    ProcessDescription description;
    PlatformPorts ports;
    EventLog& log;
    MetricsRegistry& metrics;
    std::uint64_t incarnation; ///< increases with each start of the process
    std::shared_ptr<RequestBudget> requestBudget = std::make_shared<RequestBudget>(); ///< of all listeners

    /// Limits what clients may use to the description's memory and descriptors.
    void applyRequestLimits() { requestBudget->setLimits(RequestBudgetLimits::of(description.memoryBytes, description.maxDescriptors)); }

    /// Returns the address of this process for its peers.
    std::string internalAddress() const { return description.ip + ":" + std::to_string(description.internalPort); }
};

}
