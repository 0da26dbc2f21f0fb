#pragma once

#include "../runtime/GatewayContext.h"

#include <hyssopwick_requests.h>

namespace hyssopwick {

/// Answers callers that ask which entry VMs to use: by their place, the power and load of the
/// entries and where callers are.
class AddressAnswers {
public:
    AddressAnswers(GatewayContext& context, const EntryStatusTable& statuses);

    /// Returns the addresses for a caller, out of the entries that serve.
    std::vector<std::string> choose(const std::vector<VmIdentity>& entries, const AddressQuery& query, TimePoint now);

    /// Returns the address queries a second that this entry gets, by the caller's failure domain.
    std::map<std::string, double> queriesPerSecond(TimePoint now) const { return m_demand.queriesPerSecond(now); }

private:
    std::vector<EntryCandidate> candidates(const std::vector<VmIdentity>& entries, TimePoint now) const;
    void logChange(const AddressQuery& query, const AddressChoice& choice, std::size_t candidateCount, double demand, TimePoint now);

    GatewayContext& m_context;
    const EntryStatusTable& m_statuses;
    CallerDemand m_demand;
    RandomSource m_random;
    std::map<std::string, std::pair<AnswerBasis, TimePoint>> m_loggedBases; // by the caller's failure domain: and when
};

}
