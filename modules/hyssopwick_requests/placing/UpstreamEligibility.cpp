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

bool UpstreamEligibility::setService(const std::string& service, const std::vector<const Upstream*>& upstreams)
{
    const auto before = servedRegions(service);
    auto& regions = m_regions[service];
    regions.clear();
    for (const auto* upstream : upstreams)
        regions[upstream->id] = regionOf(upstream->failureDomain);
    return servedRegions(service) != before;
}

const std::map<std::string, std::string>& UpstreamEligibility::regionsOf(const std::string& service) const
{
    static const std::map<std::string, std::string> none;
    const auto found = m_regions.find(service);
    return found == m_regions.end() ? none : found->second;
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
    const auto& regions = regionsOf(service);
    const auto isAllowed = [&allowed](const auto& upstream) { return allowed.allows(upstream.second); };
    if (allowed.isAny() || std::any_of(regions.begin(), regions.end(), isAllowed))
        return std::nullopt;
    return RefusalReason::NoUpstreamInRegion;
}

RegionSet UpstreamEligibility::servedRegions(const std::string& service) const
{
    auto served = RegionSet::none();
    for (const auto& [id, region] : regionsOf(service))
        served = served.unitedWith(RegionSet::listed({ region }));
    return served;
}

}
