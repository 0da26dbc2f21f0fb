#pragma once

#include "../model/DeploymentConfiguration.h"

#include <memory>
#include <unordered_map>

namespace hyssopwick {

/// The active configuration, indexed for lookups. Immutable and shared.
class RouteTable {
public:
    explicit RouteTable(DeploymentConfiguration configuration);

    const DeploymentConfiguration& configuration() const { return m_configuration; }

    /// Returns the route of \p host with the longest prefix of the path of
    /// \p target, or nullptr.
    const CallRoute* find(std::string_view host, std::string_view target) const;

    /// Returns the account that holds \p key, or nullptr.
    const ClientAccount* accountOf(const std::string& key) const;

    bool needsKeys() const { return !m_configuration.accounts.empty(); }

    /// Returns the service, or nullptr.
    const ServiceDescription* service(const std::string& name) const;

    /// Returns all regions that a route or an account is restricted to.
    std::set<std::string> restrictedRegions() const;

    /// Chooses one of a route's services by weight. \param draw  random number in [0, 1)
    static const std::string& chooseTarget(const CallRoute& route, double draw);

private:
    DeploymentConfiguration m_configuration;
    std::unordered_map<std::string, std::vector<const CallRoute*>> m_routesByHost; // longest prefix first
    std::unordered_map<std::string, const ClientAccount*> m_accountByKey;
};

using RouteTablePointer = std::shared_ptr<const RouteTable>;

}
