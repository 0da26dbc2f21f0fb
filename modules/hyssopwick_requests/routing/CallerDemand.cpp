#include "CallerDemand.h"

#include <cmath>

namespace hyssopwick {

namespace {
    // Half of the lifetime of an answer (2 s), so that a shift of callers shows in time.
    constexpr Milliseconds window { 1000 };
    constexpr double millisecondsPerSecond = 1000;
    // Lower rates are left out.
    constexpr double minRate = 0.1;
}

double CallerDemand::decayed(const Count& count, TimePoint now)
{
    return count.recent * std::exp(-double(millisecondsBetween(count.at, now)) / double(window.count()));
}

void CallerDemand::record(const std::string& failureDomain, TimePoint now)
{
    if (m_counts.count(failureDomain) == 0 && m_counts.size() >= maxDomains)
        return;
    auto& count = m_counts[failureDomain];
    count.recent = decayed(count, now) + 1;
    count.at = now;
}

std::map<std::string, double> CallerDemand::queriesPerSecond(TimePoint now) const
{
    std::map<std::string, double> rates;
    for (const auto& [domain, count] : m_counts) {
        const double rate = decayed(count, now) * millisecondsPerSecond / double(window.count());
        if (rate >= minRate)
            rates[domain] = rate;
    }
    return rates;
}

}
