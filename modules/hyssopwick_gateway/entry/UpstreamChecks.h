#pragma once

#include "../runtime/GatewayContext.h"

#include <set>

namespace hyssopwick {

/// Finds out whether upstreams that lost a call are down, by connecting to them: no later call of
/// this process may reach one soon enough to show it. Used by one event loop.
class UpstreamChecks {
public:
    /// \param onDown  called with the address of an upstream that accepts no connection
    UpstreamChecks(GatewayContext& context, std::function<void(const std::string&)> onDown);

    /// Checks the upstream at an address, unless it is being checked.
    void start(const std::string& address);

private:
    void check(const std::string& address, unsigned checks);

    GatewayContext& m_context;
    std::function<void(const std::string&)> m_onDown;
    std::set<std::string> m_addresses; // that are being checked
};

}
