#include "OldWeightsBounds.h"

#include <algorithm>

namespace hyssopwick {

bool OldWeightsBounds::add(const WeightsVersion& version, TimePoint earliestPublication)
{
    const auto [known, isNew] = m_published[version.model].emplace(version.version, earliestPublication);
    if (isNew || earliestPublication >= known->second)
        return isNew;
    known->second = earliestPublication;
    return true;
}

TimePoint OldWeightsBounds::boundOf(TimePoint earliestPublication, const OldWeightsGrace& grace) const
{
    const auto bound = earliestPublication + grace.afterPublication;
    return earliestPublication < m_startedAt ? std::max(bound, m_startedAt + grace.afterStart) : bound;
}

// Publishing yet another version does not extend the bound of the one before it.
std::optional<TimePoint> OldWeightsBounds::usableUntil(const std::map<std::string, std::uint64_t>& loadedVersions, const OldWeightsGrace& grace) const
{
    std::optional<TimePoint> until;
    for (const auto& [model, loaded] : loadedVersions) {
        const auto published = m_published.find(model);
        if (published == m_published.end())
            continue;
        for (auto later = published->second.upper_bound(loaded); later != published->second.end(); ++later) {
            const auto bound = boundOf(later->second, grace);
            until = std::min(until.value_or(bound), bound);
        }
    }
    return until;
}

std::optional<TimePoint> OldWeightsBounds::nextBound(TimePoint now, const OldWeightsGrace& grace) const
{
    std::optional<TimePoint> next;
    for (const auto& [model, versions] : m_published) {
        for (const auto& [version, earliestPublication] : versions) {
            const auto bound = boundOf(earliestPublication, grace);
            if (bound > now)
                next = std::min(next.value_or(bound), bound);
        }
    }
    return next;
}

}
