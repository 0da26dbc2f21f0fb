#pragma once

#include <hyssopwick_core.h>
#include <map>

namespace hyssopwick {

/// Counts the address queries of callers by their failure domain, over about the lifetime of an
/// answer. Pure.
class CallerDemand {
public:
    void record(const std::string& failureDomain, TimePoint now);

    /// Returns the queries a second of each failure domain.
    std::map<std::string, double> queriesPerSecond(TimePoint now) const;

private:
    struct Count {
        double recent = 0; // decays
        TimePoint at;
    };

    // Bounds the names that callers may make up.
    static constexpr std::size_t maxDomains = 64;

    static double decayed(const Count& count, TimePoint now);

    std::map<std::string, Count> m_counts;
};

}
