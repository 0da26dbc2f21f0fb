#include "AddressRegions.h"

#include <algorithm>

namespace hyssopwick {

RegionSet addressRegions(const std::string& host, const RouteTable& routes)
{
    RegionSet common;
    std::optional<RegionSet> all;
    for (const auto& route : routes.configuration().routes) {
        if (route.host != host)
            continue;
        common = common.intersectedWith(route.allowedRegions);
        if (!route.allowedRegions.isAny())
            all = all ? all->unitedWith(route.allowedRegions) : route.allowedRegions;
    }
    return common.isNone() ? all.value_or(RegionSet()) : common;
}

std::vector<VmIdentity> entriesForQuery(std::vector<VmIdentity> entries, const AddressQuery& query, const RegionSet& allowed)
{
    if (allowed.isAny())
        return entries;
    std::vector<VmIdentity> named;
    std::copy_if(entries.begin(), entries.end(), std::back_inserter(named), [&](const VmIdentity& entry) {
        return entry.failureDomain == query.failureDomain || entry.region == query.region || allowed.allows(entry.region);
    });
    return named.empty() ? entries : named;
}

}
