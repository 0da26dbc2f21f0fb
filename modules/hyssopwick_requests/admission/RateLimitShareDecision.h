#pragma once

#include <hyssopwick_core.h>

#include <map>

namespace hyssopwick {

/// How an account's request limit is divided among the entry VMs.
enum class RateLimitSplitPolicy {
    Even,
    ByDemand,
};

/// Decides which share of each account's request limit this entry VM may use. With
/// ByDemand, a fifth of the limit is divided evenly and the rest in proportion to the
/// requests that each entry VM receives (after "Throttling Solutions in Standalone and
/// Distributed Scenarios", section 4.4; measured in docs/RESULTS.md). Pure.
class RateLimitShareDecision {
public:
    RateLimitShareDecision(std::string self, RateLimitSplitPolicy policy);

    /// Records the demand at an entry VM in requests per second, by account.
    void recordDemand(const std::string& entry, const std::map<std::string, double>& demand, TimePoint now);

    /// Sums the demand at the live entry VMs. Call after changes, before share().
    /// \param entries  live entry VMs, this one included
    void updateTotals(const std::vector<std::string>& entries, TimePoint now);

    /// Returns the share in [0, 1] of the limit of \p account that this entry VM may
    /// use, as of the last updateTotals().
    double share(const std::string& account) const;

private:
    struct Demand {
        std::map<std::string, double> byAccount;
        TimePoint recordedAt;
    };

    std::string m_self;
    RateLimitSplitPolicy m_policy;
    std::map<std::string, Demand> m_demands; // by entry VM
    std::map<std::string, double> m_totalDemand; // by account
    double m_evenShare = 1;
};

}
