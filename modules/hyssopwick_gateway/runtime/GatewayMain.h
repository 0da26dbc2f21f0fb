#pragma once

#include "GatewayProcess.h"

#include <functional>
#include <memory>

namespace hyssopwick {

/// Creates the process that a program runs.
using GatewayFactory = std::function<std::unique_ptr<GatewayProcess>(GatewayContext&)>;

/// Runs a gateway process until it is stopped: reads the settings, starts what
/// \p create returns, and handles SIGTERM, SIGINT, SIGHUP and changed settings.
/// \returns the process's exit code
int runGateway(const std::string& program, const PlatformPorts& ports, const GatewayFactory& create);

}
