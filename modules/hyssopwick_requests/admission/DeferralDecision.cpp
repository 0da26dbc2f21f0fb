#include "DeferralDecision.h"

#include <algorithm>
#include <numeric>
#include <vector>

namespace hyssopwick {

namespace {
    constexpr std::size_t maxRecentSizes = 64;
    // With fewer, the distribution of sizes is unknown and all have the same chance.
    constexpr std::size_t minRecentSizes = 8;
}

bool DeferralDecision::isDeferred(unsigned priority, double engineMilliseconds, double admittedFraction)
{
    auto& calls = m_calls[EngineDemand::indexOf(priority)];
    calls.recentSizes.push_back(engineMilliseconds);
    if (calls.recentSizes.size() > maxRecentSizes)
        calls.recentSizes.pop_front();
    if (admittedFraction >= 1)
        return false;
    // Chances add up until one call is due, so that few calls follow the fraction closely.
    calls.credit += chance(calls.recentSizes, engineMilliseconds, admittedFraction);
    if (calls.credit < 1)
        return true;
    calls.credit -= 1;
    return false;
}

// The smallest calls, a part c of all, are always admitted, and the others with the chance
// r F, where F = c + (1 - c) r F is the chance of all and r minRelativeChance. Searches the c
// with which the admitted calls take the admitted fraction of the engine time.
double DeferralDecision::chance(const std::deque<double>& sizes, double size, double admittedFraction)
{
    if (sizes.size() < minRecentSizes)
        return admittedFraction;
    std::vector<double> sorted(sizes.begin(), sizes.end());
    std::sort(sorted.begin(), sorted.end());
    const double total = std::accumulate(sorted.begin(), sorted.end(), 0.0);
    const auto count = double(sorted.size());
    const auto chanceOfOthers = [](double small) { return minRelativeChance * small / (1 - (1 - small) * minRelativeChance); };
    double smallTime = 0; // engine time of the calls before the current one
    double admittedBefore = 0;
    for (std::size_t i = 0; i < sorted.size(); ++i) {
        smallTime += sorted[i];
        const double others = chanceOfOthers(double(i + 1) / count);
        const double admitted = smallTime + others * (total - smallTime);
        if (admitted >= admittedFraction * total) {
            const double part = (admittedFraction * total - admittedBefore) / std::max(1e-9, admitted - admittedBefore);
            const double chanceOfRest = chanceOfOthers((double(i) + part) / count);
            if (size < sorted[i])
                return 1;
            return size > sorted[i] ? chanceOfRest : part + (1 - part) * chanceOfRest;
        }
        admittedBefore = admitted;
    }
    return 1;
}

}
