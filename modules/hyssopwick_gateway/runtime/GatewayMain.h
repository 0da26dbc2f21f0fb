#pragma once

#include "GatewayContext.h"

#include <functional>
#include <memory>

namespace hyssopwick {

/// What runs in a gateway process.
struct GatewayProcess {
    std::function<Outcome<void>()> start;
    std::function<void()> stop; ///< begins a planned stop
    std::function<void(const ProcessDescription&)> reload;
};

/// Runs a gateway process until it is stopped: reads the settings, starts what
/// \p create returns, and handles SIGTERM, SIGINT, SIGHUP and changed settings.
/// \returns the process's exit code
int runGateway(const std::string& program, const PlatformPorts& ports, const std::function<GatewayProcess(GatewayContext&)>& create);

}
