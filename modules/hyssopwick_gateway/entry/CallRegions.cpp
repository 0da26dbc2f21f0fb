#include "CallRegions.h"

namespace hyssopwick {

std::optional<RegionSet> allowedRegionsOf(const ServerRequest& request, const std::string& accountKey, const RouteTable& routes)
{
    const auto* route = routes.find(request.host, request.target);
    if (!route)
        return std::nullopt;
    const auto* account = routes.accountOf(accountKey);
    if (!account && routes.needsKeys() && !route->allowsAnonymous)
        return std::nullopt;
    return account ? route->allowedRegions.intersectedWith(account->allowedRegions) : route->allowedRegions;
}

void CallRegions::set(const RegionSet& allowed, RouteTablePointer routes)
{
    m_allowed = allowed;
    m_routes = std::move(routes);
}

bool CallRegions::update(const ServerRequest& request, const std::string& accountKey, const RouteTablePointer& routes)
{
    if (routes == m_routes || !routes)
        return false;
    m_routes = routes;
    const auto allowed = allowedRegionsOf(request, accountKey, *routes);
    if (!allowed || *allowed == m_allowed)
        return false;
    m_allowed = *allowed;
    return true;
}

}
