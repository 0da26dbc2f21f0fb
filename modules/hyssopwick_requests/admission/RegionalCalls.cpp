#include "RegionalCalls.h"

#include <algorithm>
#include <cmath>

namespace hyssopwick {

namespace {

    // Time constant of the decaying count of arrivals.
    constexpr Milliseconds arrivalWindow { 2000 };
    // Regions are forgotten when their arrivals have decayed this far.
    constexpr double negligibleArrivals = 1e-6;

    double timeFor(double calls, double rate) { return rate > 0 ? calls / rate : 0; }

}

void RegionalCalls::add(const RegionalCalls& others)
{
    for (const auto& [regions, count] : others.m_counts)
        m_counts[regions] += count;
}

double RegionalCalls::millisecondsAhead(const RegionSet& allowed, const std::set<std::string>& engineRegions, const RateOf& rateOf) const
{
    if (m_counts.empty())
        return 0;
    if (m_counts.size() == 1 && m_counts.begin()->first.isAny())
        return timeFor(m_counts.begin()->second, rateOf(m_counts.begin()->first));
    std::optional<double> shortest;
    for (const auto& region : engineRegions) {
        if (!allowed.allows(region))
            continue;
        double time = 0;
        for (const auto& [regions, count] : m_counts)
            time += regions.allows(region) ? timeFor(count, rateOf(regions)) : 0;
        shortest = std::min(shortest.value_or(time), time);
    }
    return shortest.value_or(0);
}

bool RegionalCalls::isEveryRegionWanted(const RegionSet& allowed, const std::set<std::string>& engineRegions) const
{
    if (m_counts.empty() || m_counts.count(RegionSet()) != 0)
        return !m_counts.empty();
    return std::all_of(engineRegions.begin(), engineRegions.end(), [&](const std::string& region) {
        return !allowed.allows(region) || std::any_of(m_counts.begin(), m_counts.end(), [&region](const auto& count) { return count.first.allows(region); });
    });
}

double RegionalArrivals::decayed(const Count& count, TimePoint now)
{
    return count.recent * std::exp(-double(millisecondsBetween(count.at, now)) / double(arrivalWindow.count()));
}

void RegionalArrivals::record(const RegionSet& allowed, TimePoint now, double size)
{
    for (auto count = m_counts.begin(); count != m_counts.end();)
        count = decayed(count->second, now) < negligibleArrivals ? m_counts.erase(count) : std::next(count);
    auto& count = m_counts[allowed];
    count = { decayed(count, now) + size, now };
}

double RegionalArrivals::rate(const RegionSet& regions, const RegionalCalls::RateOf& rateOf, TimePoint now) const
{
    double arrivals = 0;
    for (const auto& [allowed, count] : m_counts) {
        const bool isWhole = regions.isAny() || regions == allowed;
        const double total = isWhole ? 1 : rateOf(allowed);
        const double share = isWhole ? 1 : total > 0 ? rateOf(allowed.intersectedWith(regions)) / total
                                                     : 0;
        arrivals += decayed(count, now) * share;
    }
    return arrivals / double(arrivalWindow.count());
}

}
