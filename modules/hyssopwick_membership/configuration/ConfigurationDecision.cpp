#include "ConfigurationDecision.h"

#include <algorithm>
#include <set>

namespace hyssopwick {

namespace {
    constexpr std::size_t maxRequiredDomains = 3;
    constexpr std::size_t maxRequiredPeers = 3;
    constexpr Milliseconds unknownAge { 3600000 };
}

const char* adoptionResultName(AdoptionResult result)
{
    switch (result) {
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
    m_highestKnownRevision = std::max(m_highestKnownRevision, head.revision);
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
    m_highestKnownRevision = std::max(m_highestKnownRevision, revision);
    if (revision == 0)
        return;
    m_configuredPeers[peer] = failureDomain;
    m_highestPeerRevision = std::max(m_highestPeerRevision, revision);
}

void ConfigurationDecision::recordHeadRevision(ConfigurationRevision revision)
{
    m_wasHeadRead = true;
    m_headRevision = std::max(m_headRevision, revision);
    m_highestKnownRevision = std::max(m_highestKnownRevision, revision);
}

void ConfigurationDecision::confirmCurrentAt(ConfigurationRevision revision, TimePoint time)
{
    m_highestKnownRevision = std::max(m_highestKnownRevision, revision);
    if (revision <= m_current.head.revision)
        m_confirmedAt = std::max(m_confirmedAt.value_or(time), time);
}

Milliseconds ConfigurationDecision::age(TimePoint now) const
{
    if (!m_confirmedAt || m_highestKnownRevision > m_current.head.revision)
        return unknownAge;
    return std::chrono::ceil<Milliseconds>(now - *m_confirmedAt);
}

bool ConfigurationDecision::mayServe(std::size_t knownDomains) const
{
    const auto active = m_current.head.revision;
    if (active == 0)
        return false;
    if (m_wasHeadRead)
        return active >= m_headRevision;
    std::set<std::string> domains;
    for (const auto& [peer, domain] : m_configuredPeers)
        domains.insert(domain);
    const auto requiredDomains = std::min(maxRequiredDomains, std::max<std::size_t>(1, knownDomains));
    if (domains.size() < requiredDomains || m_configuredPeers.size() < std::min(maxRequiredPeers, requiredDomains))
        return false;
    return active >= m_highestPeerRevision;
}

}
