#pragma once

#include <hyssopwick_records.h>

namespace hyssopwick {

/// An upstream VM that may hold replicas.
struct PlacementCandidate {
    VmIdentity vm;
    bool isLeaving = false;
};

/// Returns the VMs that should serve \p placement, in a fixed order: live VMs of
/// its worker kind that are not leaving, alternating between the failure domains, by
/// rendezvous order within a domain. An adapter goes only to VMs of its base. Pure.
std::vector<std::string> chooseReplicas(const Bundle& bundle, const PlacementRecord& placement, const std::vector<PlacementCandidate>& candidates);

}
