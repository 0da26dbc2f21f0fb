#include "UpstreamEligibility.h"

#include <algorithm>

namespace hyssopwick {

UpstreamEligibility::UpstreamEligibility(const ProcessDescription& description)
    : m_description(description)
{
}

const std::string& UpstreamEligibility::regionOf(const std::string& failureDomain) const
{
    const auto found = m_description.regionOfFailureDomain.find(failureDomain);
    return found == m_description.regionOfFailureDomain.end() ? failureDomain : found->second;
}

bool UpstreamEligibility::setEvacuated(const std::string& failureDomain, bool isEvacuated)
{
    return isEvacuated ? m_evacuated.insert(failureDomain).second : m_evacuated.erase(failureDomain) != 0;
}

bool UpstreamEligibility::setService(const std::string& service, const std::vector<const Upstream*>& upstreams)
{
    Service state;
    for (const auto* upstream : upstreams) {
        if (isEvacuated(upstream->failureDomain)) {
            state.hasEvacuated = true;
            continue;
        }
        const auto& region = regionOf(upstream->failureDomain);
        state.regions[upstream->id] = region;
        state.served.insert(region);
    }
    const bool isChange = state.served != servedRegions(service);
    m_services[service] = std::move(state);
    return isChange;
}

const UpstreamEligibility::Service& UpstreamEligibility::stateOf(const std::string& service) const
{
    static const Service none;
    const auto found = m_services.find(service);
    return found == m_services.end() ? none : found->second;
}

std::set<std::string> UpstreamEligibility::excludedFor(const std::string& service, const RegionSet& allowed) const
{
    std::set<std::string> excluded;
    if (allowed.isAny())
        return excluded;
    for (const auto& [id, region] : regionsOf(service)) {
        if (!allowed.allows(region))
            excluded.insert(id);
    }
    return excluded;
}

bool UpstreamEligibility::isEligible(const std::string& service, const std::string& upstream, const RegionSet& allowed) const
{
    const auto& regions = regionsOf(service);
    const auto found = regions.find(upstream);
    return found != regions.end() && allowed.allows(found->second);
}

std::optional<RefusalReason> UpstreamEligibility::refusalFor(const std::string& service, const RegionSet& allowed) const
{
    const auto& state = stateOf(service);
    if (std::any_of(state.served.begin(), state.served.end(), [&allowed](const std::string& region) { return allowed.allows(region); }))
        return std::nullopt;
    if (!allowed.isAny())
        return RefusalReason::NoUpstreamInRegion;
    // Upstreams that are not registered yet may be soon; evacuated ones serve no call that waits now.
    return state.hasEvacuated ? std::optional<RefusalReason>(RefusalReason::NoUpstream) : std::nullopt;
}

}
