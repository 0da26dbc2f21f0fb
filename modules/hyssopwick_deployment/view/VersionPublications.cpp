#include "VersionPublications.h"

#include <algorithm>
#include <vector>

namespace hyssopwick {

namespace {
    // Bounds the size of an answer's head.
    constexpr std::size_t maxReportedVersions = 32;
}

TimePoint VersionPublications::record(const WeightsVersion& version, TimePoint earliestPublication, bool isMeasured)
{
    const Publication publication { earliestPublication, isMeasured };
    auto& known = m_publications.emplace(version, publication).first->second;
    if (isMeasured == known.isMeasured)
        known.earliest = std::min(known.earliest, earliestPublication);
    else if (isMeasured)
        known = publication;
    return known.earliest;
}

VersionAges VersionPublications::ages(TimePoint now) const
{
    std::vector<std::pair<TimePoint, WeightsVersion>> latest;
    for (const auto& [version, publication] : m_publications) {
        if (publication.isMeasured)
            latest.emplace_back(publication.earliest, version);
    }
    std::sort(latest.rbegin(), latest.rend());
    latest.resize(std::min(latest.size(), maxReportedVersions));
    VersionAges ages;
    for (const auto& [earliestPublication, version] : latest)
        ages[version] = Milliseconds(std::max<std::int64_t>(0, millisecondsBetween(earliestPublication, now)));
    return ages;
}

}
