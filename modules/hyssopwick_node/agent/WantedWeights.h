#pragma once

#include <hyssopwick_distribution.h>

namespace hyssopwick {

/// Another VM that should hold the same weights.
struct WeightPeer {
    SwarmMember member;
    std::string address;
};

/// Weights that this VM should hold, and the other VMs that should.
struct WantedWeights {
    PlacementRecord placement;
    std::vector<WeightPeer> peers; ///< without this VM
};

}
