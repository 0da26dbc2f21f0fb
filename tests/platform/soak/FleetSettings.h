#pragma once

#include "LoopbackNetwork.h"

#include <nlohmann/json.hpp>
#include <vector>

namespace hyssopwick::soak {

/// The bounds of the deployment that the check needs.
constexpr Milliseconds graceTime { 8000 };
constexpr Milliseconds contactTime { 3000 };
constexpr Milliseconds lossSlack { 200 };
constexpr Milliseconds configurationTime { 2000 };
constexpr Milliseconds drainTime { 2000 };
constexpr Milliseconds routeTimeout { 6000 };

/// Returns the settings file of an entry VM.
std::string entrySettings(const LoopbackNetwork& network, unsigned entry, unsigned entryCount);

/// Returns the settings file of an agent.
std::string agentSettings(const LoopbackNetwork& network, unsigned engine, unsigned entryCount);

/// Returns the record op/config. \param slots  of an engine
nlohmann::json configuration(std::uint64_t version, unsigned slots, const std::string& originAddress);

}
