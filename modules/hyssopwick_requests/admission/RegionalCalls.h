#pragma once

#include <functional>
#include <hyssopwick_deployment.h>
#include <map>

namespace hyssopwick {

/// Calls that compete for engines, in typical calls, by the regions that they may use. Pure.
class RegionalCalls {
public:
    /// Returns the call rate, in calls per millisecond, of the engines in some regions.
    using RateOf = std::function<double(const RegionSet&)>;

    /// \param size  engine time, relative to a typical call
    void add(const RegionSet& allowed, double size = 1) { m_counts[allowed] += size; }
    void add(const RegionalCalls& others);
    void clear() { m_counts.clear(); }

    /// Returns how long these calls occupy the engines that a call may use: the shortest of its
    /// regions' times. In each region, the calls that may use others too count by its share of their engines.
    /// \param engineRegions  regions that have engines
    double millisecondsAhead(const RegionSet& allowed, const std::set<std::string>& engineRegions, const RateOf& rateOf) const;

    /// Returns whether some of these calls compete for every engine that a call may use.
    bool isEveryRegionWanted(const RegionSet& allowed, const std::set<std::string>& engineRegions) const;

private:
    std::map<RegionSet, double> m_counts;
};

/// The arrival rate of calls, a decaying mean, by the regions that they may use. Pure.
class RegionalArrivals {
public:
    /// \param size  engine time, relative to a typical call
    void record(const RegionSet& allowed, TimePoint now, double size = 1);

    /// Returns the rate, in calls per millisecond, at which calls arrive for the engines in some
    /// regions. Calls that may use others too count by the share of their engines.
    double rate(const RegionSet& regions, const RegionalCalls::RateOf& rateOf, TimePoint now) const;

private:
    struct Count {
        double recent = 0; // decaying
        TimePoint at;
    };

    static double decayed(const Count& count, TimePoint now);

    std::map<RegionSet, Count> m_counts;
};

}
