#include "AddressAnswers.h"

namespace hyssopwick {

namespace {
    // An entry that ended may be named until this long after the bound on contacts (the platform's protocol).
    constexpr Milliseconds goneMargin { 3000 };
    // Transit of statuses, which their age does not include, and of the answer.
    constexpr Milliseconds transitMargin { 300 };
    constexpr Milliseconds logPeriod { 5000 };
    // Settings without a core or link would leave no weight to divide by.
    constexpr double minPower = 0.001;
    constexpr std::size_t maxLoggedDomains = 64;
}

AddressAnswers::AddressAnswers(GatewayContext& context, const EntryStatusTable& statuses)
    : m_context(context)
    , m_statuses(statuses)
    , m_random(stableHash(context.description.node + "/addresses") ^ context.incarnation)
{
}

std::vector<EntryCandidate> AddressAnswers::candidates(const std::vector<VmIdentity>& entries, TimePoint now) const
{
    const auto contactBound = m_context.description.contactBound;
    std::vector<EntryCandidate> candidates;
    for (const auto& vm : entries) {
        if (contactBound.count() > 0 && !m_statuses.hasRunWithin(vm.id, contactBound + goneMargin - transitMargin, now)) {
            m_context.metrics.count("address_candidates_unheard_total");
            continue;
        }
        EntryCandidate candidate { vm };
        candidate.load = m_statuses.callsOf(vm.id, now);
        candidate.power = std::max(minPower, m_statuses.powerOf(vm.id));
        candidates.push_back(std::move(candidate));
    }
    return candidates;
}

std::vector<std::string> AddressAnswers::choose(const std::vector<VmIdentity>& entries, const AddressQuery& query, TimePoint now)
{
    m_demand.record(query.failureDomain, now);
    const auto own = m_demand.queriesPerSecond(now);
    const auto others = candidates(entries, now);
    std::map<std::string, double> demand;
    const auto addDemand = [&](const std::string& domain) {
        const auto found = own.find(domain);
        if (demand.count(domain) == 0)
            demand[domain] = m_statuses.queriesFrom(domain, now) + (found == own.end() ? 0 : found->second);
    };
    addDemand(query.failureDomain);
    for (const auto& candidate : others)
        addDemand(candidate.vm.failureDomain);
    const auto choice = chooseEntries(others, { query.region, query.failureDomain }, demand, m_context.ports.directory->maxAddresses(), m_random);
    m_context.metrics.count("address_answers_by_basis_total", answerBasisName(choice.basis));
    logChange(query, choice, others.size(), demand[query.failureDomain], now);
    const auto port = m_context.description.callerAddress.substr(m_context.description.callerAddress.find(':'));
    std::vector<std::string> addresses;
    for (const auto& vm : choice.entries)
        addresses.push_back(vm.address.substr(0, vm.address.find(':')) + port);
    return addresses;
}

void AddressAnswers::logChange(const AddressQuery& query, const AddressChoice& choice, std::size_t candidateCount, double demand, TimePoint now)
{
    if (m_loggedBases.count(query.failureDomain) == 0 && m_loggedBases.size() >= maxLoggedDomains)
        return;
    auto& [basis, loggedAt] = m_loggedBases.try_emplace(query.failureDomain, AnswerBasis::Place, TimePoint()).first->second;
    if (basis == choice.basis || now < loggedAt + logPeriod)
        return;
    basis = choice.basis;
    loggedAt = now;
    m_context.log.write("address.basis", { { "failure_domain", query.failureDomain }, { "basis", answerBasisName(basis) }, { "home_share", std::to_string(choice.homeShare) }, { "named", std::to_string(choice.entries.size()) }, { "candidates", std::to_string(candidateCount) }, { "queries_per_s", std::to_string(demand) } });
}

}
