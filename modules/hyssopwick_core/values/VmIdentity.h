#pragma once

#include <string>
#include <tuple>

namespace hyssopwick {

/// Location and address of a VM.
struct VmIdentity {
    std::string id;
    std::string address; ///< "ip:port" of the hyssopwick process on the VM
    std::string region;
    std::string failureDomain;
    std::string kind; ///< "entry", or the worker kind of an upstream VM, such as "model"

    auto tied() const { return std::tie(id, address, region, failureDomain, kind); }
    bool operator==(const VmIdentity& other) const { return tied() == other.tied(); }
    bool operator!=(const VmIdentity& other) const { return tied() != other.tied(); }
    bool operator<(const VmIdentity& other) const { return tied() < other.tied(); }
};

}
