#pragma once

#include <hyssopwick_core.h>

#include <map>

namespace hyssopwick {

/// How an account's request limit is split over the entry VMs.
enum class RateLimitSplitPolicy {
    Even,
    ByDemand,
};

/// Decides which part of each account's request limit this entry VM may use. By
/// demand, a fifth of the limit is split evenly and the rest moves to where the requests
/// arrive, after "Throttling Solutions in Standalone and Distributed Scenarios",
/// section 4.4; the measurement is in docs/RESULTS.md. Pure.
class RateLimitShareDecision {
public:
    RateLimitShareDecision(std::string self, RateLimitSplitPolicy policy);

    /// Records the demand of an entry VM in requests per second.
    void recordDemand(const std::string& entry, const std::map<std::string, double>& demand, TimePoint now);

    /// Adds up the demand of the live entry VMs; call before share() after changes.
    /// \param entries  live entry VMs, this one included
    void updateTotals(const std::vector<std::string>& entries, TimePoint now);

    /// Returns the part in [0, 1] of the limit of \p account that this entry may use,
    /// by the last refresh().
    double share(const std::string& account) const;

private:
    struct Demand {
        std::map<std::string, double> byAccount;
        TimePoint recordedAt;
    };

    std::string m_self;
    RateLimitSplitPolicy m_policy;
    std::map<std::string, Demand> m_demands; // by entry VM
    std::map<std::string, double> m_totals; // by account
    double m_even = 1;
};

}
