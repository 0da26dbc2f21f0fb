#include "VersionPublications.h"

#include <algorithm>
#include <vector>

namespace hyssopwick {

namespace {
    // The bounds of earlier ones have passed.
    constexpr std::size_t maxReportedVersions = 8;
}

TimePoint VersionPublications::record(const WeightsVersion& version, TimePoint earliestPublication)
{
    auto& known = m_earliest.emplace(version, earliestPublication).first->second;
    known = std::min(known, earliestPublication);
    return known;
}

VersionAges VersionPublications::ages(TimePoint now) const
{
    std::vector<std::pair<TimePoint, WeightsVersion>> latest;
    for (const auto& [version, earliestPublication] : m_earliest)
        latest.emplace_back(earliestPublication, version);
    std::sort(latest.rbegin(), latest.rend());
    latest.resize(std::min(latest.size(), maxReportedVersions));
    VersionAges ages;
    for (const auto& [earliestPublication, version] : latest)
        ages[version] = Milliseconds(std::max<std::int64_t>(0, millisecondsBetween(earliestPublication, now)));
    return ages;
}

}
