#include "PlacementDecision.h"

#include <algorithm>

namespace hyssopwick {

namespace {

    std::vector<std::string> spreadOverDomains(const std::string& key, const std::vector<PlacementCandidate>& candidates, std::size_t count)
    {
        std::map<std::string, std::vector<std::string>> byDomain;
        for (const auto& candidate : candidates)
            byDomain[candidate.vm.failureDomain].push_back(candidate.vm.id);
        std::vector<std::string> domains;
        for (auto& [domain, ids] : byDomain) {
            ids = rendezvousOrder(key, std::move(ids));
            domains.push_back(domain);
        }
        domains = rendezvousOrder(key, std::move(domains));
        std::vector<std::string> chosen;
        for (std::size_t round = 0; chosen.size() < count && round < candidates.size(); ++round) {
            for (const auto& domain : domains) {
                const auto& ids = byDomain[domain];
                if (round < ids.size() && chosen.size() < count)
                    chosen.push_back(ids[round]);
            }
        }
        return chosen;
    }

}

std::vector<std::string> chooseReplicas(const Bundle& bundle, const PlacementRecord& placement, const std::vector<PlacementCandidate>& candidates)
{
    std::vector<PlacementCandidate> eligible;
    std::vector<std::string> baseReplicas;
    const auto* base = placement.base.empty() ? nullptr : bundle.placement(placement.base);
    if (!placement.base.empty() && !base)
        return {};
    if (base)
        baseReplicas = chooseReplicas(bundle, *base, candidates);
    for (const auto& candidate : candidates) {
        if (candidate.vm.kind != placement.workerKind || candidate.isLeaving)
            continue;
        if (base && std::find(baseReplicas.begin(), baseReplicas.end(), candidate.vm.id) == baseReplicas.end())
            continue;
        eligible.push_back(candidate);
    }
    return spreadOverDomains(placement.name, eligible, static_cast<std::size_t>(placement.replicas));
}

}
