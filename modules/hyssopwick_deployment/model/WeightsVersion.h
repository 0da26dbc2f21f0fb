#pragma once

#include <cstdint>
#include <hyssopwick_core.h>
#include <vector>

namespace hyssopwick {

/// The version of a model's weights that the operators want in service.
struct WeightsVersion {
    std::string model;
    std::uint64_t version = 0;

    auto tied() const { return std::tie(model, version); }
    bool operator==(const WeightsVersion& other) const { return tied() == other.tied(); }
    bool operator!=(const WeightsVersion& other) const { return !(*this == other); }
    bool operator<(const WeightsVersion& other) const { return tied() < other.tied(); }
};

/// The digests of one version's chunks, in order.
struct WeightsManifest {
    WeightsVersion weights;
    std::size_t chunkBytes = 0;
    std::vector<Digest> chunks;

    auto tied() const { return std::tie(weights, chunkBytes, chunks); }
    bool operator==(const WeightsManifest& other) const { return tied() == other.tied(); }
    bool operator!=(const WeightsManifest& other) const { return !(*this == other); }
};

}
