#include "CallerTimeouts.h"

#include <algorithm>

namespace hyssopwick {

namespace {
    constexpr std::size_t ringSize = 128;
    // With fewer calls, nothing is known of a route's callers.
    constexpr std::size_t minCalls = 4;
    // From so many calls on, the lower end of what first attempts state is taken from the calls.
    constexpr std::size_t enoughCalls = 32;
    // Until then, first attempts are assumed to state at least this part of the longest time.
    constexpr double assumedLowestShare = 0.8;
    // Below this quantile, less a margin, a call is a return. When more than a tenth of the calls
    // are returns, the quantile is one of them and fewer are recognized, which is safe.
    constexpr double lowestQuantile = 0.1;
    constexpr double quantileMargin = 0.97;

    Milliseconds quantile(std::vector<Milliseconds>& times, double share)
    {
        const auto place = times.begin() + static_cast<std::ptrdiff_t>(share * double(times.size() - 1));
        std::nth_element(times.begin(), place, times.end());
        return *place;
    }

    Milliseconds scaled(Milliseconds time, double factor) { return Milliseconds(static_cast<std::int64_t>(double(time.count()) * factor)); }

}

void CallerTimeouts::record(const std::string& route, Milliseconds stated)
{
    auto& recent = m_recent[route];
    if (recent.stated.size() < ringSize) {
        recent.stated.push_back(stated);
        return;
    }
    recent.stated[recent.next] = stated;
    recent.next = (recent.next + 1) % ringSize;
}

Milliseconds CallerTimeouts::age(const std::string& route, Milliseconds stated) const
{
    const auto found = m_recent.find(route);
    if (found == m_recent.end() || found->second.stated.size() < minCalls)
        return Milliseconds(0);
    auto times = found->second.stated;
    const auto longest = *std::max_element(times.begin(), times.end());
    const auto lowest = times.size() < enoughCalls ? scaled(longest, assumedLowestShare) : scaled(quantile(times, lowestQuantile), quantileMargin);
    if (stated >= lowest)
        return Milliseconds(0);
    const auto typical = (longest + lowest) / 2;
    return typical - stated;
}

}
