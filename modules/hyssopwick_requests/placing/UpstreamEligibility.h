#pragma once

#include "../routing/Refusal.h"

#include <hyssopwick_deployment.h>
#include <set>

namespace hyssopwick {

/// Which upstreams of each service may get calls, by where they run. Pure.
class UpstreamEligibility {
public:
    /// \param description  names the regions of the failure domains; may change, but not move
    explicit UpstreamEligibility(const ProcessDescription& description);

    /// Returns the region of a failure domain; one that the settings do not name is a region of its own.
    const std::string& regionOf(const std::string& failureDomain) const;

    /// Replaces the upstreams of a service, in any state. Returns whether the regions in which it may get
    /// calls have changed.
    bool setService(const std::string& service, const std::vector<const Upstream*>& upstreams);

    /// Returns the regions of the service's upstreams, by id.
    const std::map<std::string, std::string>& regionsOf(const std::string& service) const;

    /// Returns the service's upstreams that a call may not use.
    std::set<std::string> excludedFor(const std::string& service, const RegionSet& allowed) const;

    /// Returns whether a call may use an upstream of a service.
    bool isEligible(const std::string& service, const std::string& upstream, const RegionSet& allowed) const;

    /// Returns why no upstream of a service may get a call, or nothing if one may now or later.
    std::optional<RefusalReason> refusalFor(const std::string& service, const RegionSet& allowed) const;

    /// Returns the regions in which a service has upstreams that may get calls.
    RegionSet servedRegions(const std::string& service) const;

private:
    const ProcessDescription& m_description;
    std::map<std::string, std::map<std::string, std::string>> m_regions; // by service and upstream id
};

}
