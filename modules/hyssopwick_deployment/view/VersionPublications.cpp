#include "VersionPublications.h"

#include <algorithm>
#include <vector>

namespace hyssopwick {

namespace {
    // Bounds the size of an answer's head.
    constexpr std::size_t maxReportedVersions = 32;
}

Publication VersionPublications::record(const WeightsVersion& version, const Publication& publication)
{
    auto& known = m_publications.emplace(version, publication).first->second;
    if (publication.basis > known.basis)
        known = publication;
    else if (publication.basis == known.basis)
        known.earliest = known.basis == PublicationBasis::Measured ? std::max(known.earliest, publication.earliest) : std::min(known.earliest, publication.earliest);
    return known;
}

std::optional<Publication> VersionPublications::find(const WeightsVersion& version) const
{
    const auto known = m_publications.find(version);
    return known == m_publications.end() ? std::nullopt : std::optional<Publication>(known->second);
}

VersionAges VersionPublications::ages(PublicationBasis basis, TimePoint now) const
{
    std::vector<std::pair<TimePoint, WeightsVersion>> latest;
    for (const auto& [version, publication] : m_publications) {
        if (publication.basis == basis)
            latest.emplace_back(publication.earliest, version);
    }
    std::sort(latest.rbegin(), latest.rend());
    latest.resize(std::min(latest.size(), maxReportedVersions));
    VersionAges ages;
    for (const auto& [earliestPublication, version] : latest)
        ages[version] = std::max(Milliseconds(0), std::chrono::ceil<Milliseconds>(now - earliestPublication));
    return ages;
}

}
