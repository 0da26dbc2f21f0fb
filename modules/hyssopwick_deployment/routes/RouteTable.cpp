#include "RouteTable.h"

#include <algorithm>

namespace hyssopwick {

RouteTable::RouteTable(DeploymentConfiguration configuration)
    : m_configuration(std::move(configuration))
{
    for (const auto& route : m_configuration.routes)
        m_routesByHost[route.host].push_back(&route);
    for (auto& [host, routes] : m_routesByHost) {
        std::stable_sort(routes.begin(), routes.end(),
            [](const CallRoute* left, const CallRoute* right) { return left->pathPrefix.size() > right->pathPrefix.size(); });
    }
    for (const auto& account : m_configuration.accounts) {
        for (const auto& key : account.keys)
            m_accountByKey[key] = &account;
    }
}

const CallRoute* RouteTable::find(std::string_view host, std::string_view target) const
{
    const auto found = m_routesByHost.find(std::string(host));
    if (found == m_routesByHost.end())
        return nullptr;
    const auto path = target.substr(0, target.find('?'));
    for (const auto* route : found->second) {
        if (path.substr(0, route->pathPrefix.size()) == route->pathPrefix)
            return route;
    }
    return nullptr;
}

const ClientAccount* RouteTable::accountOf(const std::string& key) const
{
    const auto found = m_accountByKey.find(key);
    return found == m_accountByKey.end() ? nullptr : found->second;
}

const ServiceDescription* RouteTable::service(const std::string& name) const
{
    const auto found = m_configuration.services.find(name);
    return found == m_configuration.services.end() ? nullptr : &found->second;
}

std::set<std::string> RouteTable::restrictedRegions() const
{
    std::set<std::string> regions;
    for (const auto& route : m_configuration.routes)
        regions.merge(route.allowedRegions.regions());
    for (const auto& account : m_configuration.accounts)
        regions.merge(account.allowedRegions.regions());
    return regions;
}

const std::string& RouteTable::chooseTarget(const CallRoute& route, double draw)
{
    static const std::string none;
    if (route.targets.empty())
        return none;
    double total = 0;
    for (const auto& target : route.targets)
        total += target.weight;
    double remaining = draw * total;
    for (const auto& target : route.targets) {
        remaining -= target.weight;
        if (remaining < 0)
            return target.service;
    }
    return route.targets.back().service;
}

}
