#pragma once

#include "../routing/Refusal.h"

#include <hyssopwick_deployment.h>
#include <set>

namespace hyssopwick {

/// Which upstreams of each service may get calls, by where they run: none in an evacuated failure domain, and
/// for one call only those in its allowed regions. Pure.
class UpstreamEligibility {
public:
    /// \param description  names the regions of the failure domains; may change, but not move
    explicit UpstreamEligibility(const ProcessDescription& description);

    /// Returns the region of a failure domain; one that the settings do not name is a region of its own.
    const std::string& regionOf(const std::string& failureDomain) const;

    /// Begins or ends the evacuation of a failure domain. Returns whether that is a change. It has an
    /// effect on a service at the next setService().
    bool setEvacuated(const std::string& failureDomain, bool isEvacuated);

    bool isEvacuated(const std::string& failureDomain) const { return m_evacuated.count(failureDomain) != 0; }

    /// Replaces the upstreams of a service, in any state. Returns whether the regions in which it may get
    /// calls have changed.
    bool setService(const std::string& service, const std::vector<const Upstream*>& upstreams);

    /// Returns the regions of the service's upstreams that may get calls, by id.
    const std::map<std::string, std::string>& regionsOf(const std::string& service) const { return stateOf(service).regions; }

    /// Returns the service's upstreams that a call may not use.
    std::set<std::string> excludedFor(const std::string& service, const RegionSet& allowed) const;

    /// Returns whether a call may use an upstream of a service.
    bool isEligible(const std::string& service, const std::string& upstream, const RegionSet& allowed) const;

    /// Returns why no upstream of a service may get a call, or nothing if one may now or later.
    std::optional<RefusalReason> refusalFor(const std::string& service, const RegionSet& allowed) const;

    /// Returns the regions in which a service has upstreams that may get calls.
    const std::set<std::string>& servedRegions(const std::string& service) const { return stateOf(service).served; }

private:
    struct Service {
        std::map<std::string, std::string> regions; // of the upstreams that may get calls, by id
        std::set<std::string> served; // these regions
        bool hasEvacuated = false; // has upstreams in evacuated failure domains
    };

    const Service& stateOf(const std::string& service) const;

    const ProcessDescription& m_description;
    std::map<std::string, Service> m_services;
    std::set<std::string> m_evacuated; // failure domains
};

}
