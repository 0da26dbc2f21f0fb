#pragma once

#include <hyssopwick_core.h>
#include <map>
#include <string>
#include <vector>

namespace hyssopwick {

/// The VMs with which one VM arranges when its engine loads a version. In fleets of more than
/// maxWholeFleet, they are a part of the VM's region, so that the messages of a VM do not grow
/// with the fleet; each part then keeps the same share of its engines in service. Every VM
/// computes the same parts from the same members. Pure.
class ActivationGroup {
public:
    static constexpr std::size_t maxWholeFleet = 32;
    /// Members of a part, on average at most.
    static constexpr std::size_t groupSize = 24;

    /// Returns the other members of the group of \p self.
    /// \param regions  of all VMs whose engines serve the version, by id, with or without \p self
    static std::vector<std::string> membersFor(const std::string& self, const std::string& region, const std::map<std::string, std::string>& regions);
};

}
