#include "DemandEstimate.h"

#include <cmath>

namespace hyssopwick {

namespace {
    // Time constant. A shorter one follows a burst sooner, but with some ten calls a second an
    // entry VM's demand would then differ from its mean by more than a quarter.
    constexpr double windowSeconds = 1;
    constexpr double millisecondsPerSecond = 1000;

    double decay(TimePoint from, TimePoint to) { return std::exp(-double(millisecondsBetween(from, to)) / millisecondsPerSecond / windowSeconds); }
}

void DemandEstimate::record(unsigned priority, double engineMilliseconds, TimePoint now)
{
    auto& rate = m_rates[EngineDemand::indexOf(priority)];
    rate.engineMilliseconds = rate.engineMilliseconds * decay(rate.at, now) + engineMilliseconds;
    rate.at = now;
}

EngineDemand DemandEstimate::demand(TimePoint now) const
{
    EngineDemand demand;
    for (unsigned priority = 0; priority < EngineDemand::priorities; ++priority)
        demand.add(priority, m_rates[priority].engineMilliseconds * decay(m_rates[priority].at, now) / windowSeconds);
    return demand;
}

}
