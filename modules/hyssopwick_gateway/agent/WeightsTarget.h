#pragma once

#include <optional>
#include <string>

namespace hyssopwick {

/// What another agent requests of one version of a model's weights.
struct WeightsTarget {
    std::string model;
    std::string version;
    std::optional<unsigned> chunk; ///< nothing for the manifest
};

/// Decodes the target of a request between agents: /weights/{manifest|chunk}/MODEL/VERSION[/CHUNK]. Pure.
std::optional<WeightsTarget> decodeWeightsTarget(const std::string& target);

}
