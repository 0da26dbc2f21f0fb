#include "ConfigurationDecision.h"

#include <algorithm>
#include <set>

namespace hyssopwick {

namespace {
    constexpr std::size_t mostDomainsToAsk = 3;
    constexpr std::size_t leastPeersToAsk = 3;
}

const char* adoptionResultName(AdoptionResult verdict)
{
    switch (verdict) {
    case AdoptionResult::Adopted:
        return "adopted";
    case AdoptionResult::Known:
        return "known";
    case AdoptionResult::Older:
        return "older";
    case AdoptionResult::DigestDiffers:
        return "digest-differs";
    case AdoptionResult::NewerSchema:
        return "newer-schema";
    case AdoptionResult::Conflict:
        return "conflict";
    }
    return "conflict";
}

AdoptionResult ConfigurationDecision::offer(const Head& head, std::shared_ptr<const Bundle> bundle)
{
    m_highestHeard = std::max(m_highestHeard, head.revision);
    if (head.revision < m_current.head.revision)
        return AdoptionResult::Older;
    if (head.revision == m_current.head.revision)
        return head.bundle == m_current.head.bundle ? AdoptionResult::Known : AdoptionResult::Conflict;
    if (head.schema > newestRecordSchema)
        return AdoptionResult::NewerSchema;
    if (!bundle || bundle->digest() != head.bundle)
        return AdoptionResult::DigestDiffers;
    m_current = { head, std::move(bundle) };
    return AdoptionResult::Adopted;
}

void ConfigurationDecision::recordPeerRevision(const std::string& peer, const std::string& failureDomain, ConfigurationRevision revision)
{
    m_highestHeard = std::max(m_highestHeard, revision);
    if (revision == 0)
        return;
    m_askedPeers[peer] = failureDomain;
    m_highestOfPeers = std::max(m_highestOfPeers, revision);
}

void ConfigurationDecision::recordHeadRevision(ConfigurationRevision revision)
{
    m_wasHeadRead = true;
    m_headRevision = std::max(m_headRevision, revision);
    m_highestHeard = std::max(m_highestHeard, revision);
}

bool ConfigurationDecision::mayServe(std::size_t knownDomains) const
{
    const auto inForce = m_current.head.revision;
    if (inForce == 0)
        return false;
    if (m_wasHeadRead)
        return inForce >= m_headRevision;
    std::set<std::string> domains;
    for (const auto& [peer, domain] : m_askedPeers)
        domains.insert(domain);
    const auto wantedDomains = std::min(mostDomainsToAsk, std::max<std::size_t>(1, knownDomains));
    if (domains.size() < wantedDomains || m_askedPeers.size() < std::min(leastPeersToAsk, wantedDomains))
        return false;
    return inForce >= m_highestOfPeers;
}

}
