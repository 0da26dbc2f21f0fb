#pragma once

#include "../http/ServerExchange.h"

#include <hyssopwick_deployment.h>

namespace hyssopwick {

/// Returns the regions in which a call may run, or nothing if the configuration has no route for it.
/// The account of a key counts on routes too that need none. Pure.
std::optional<RegionSet> allowedRegionsOf(const ServerRequest& request, const std::string& accountKey, const RouteTable& routes);

/// The regions in which a call may run. They follow the configuration as long as the call waits, while its
/// route, service and deadline stay as they were when it came.
class CallRegions {
public:
    /// Sets the regions that the configuration at the call's arrival allows.
    void set(const RegionSet& allowed, RouteTablePointer routes);

    /// Adopts the configuration in force. Returns whether the regions changed. Those of a call whose route
    /// or account the configuration no longer has stay as they are.
    bool update(const ServerRequest& request, const std::string& accountKey, const RouteTablePointer& routes);

    const RegionSet& allowed() const { return m_allowed; }

private:
    RegionSet m_allowed;
    RouteTablePointer m_routes; // from which m_allowed was made
};

}
