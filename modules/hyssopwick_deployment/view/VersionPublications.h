#pragma once

#include "../model/WeightsVersion.h"

#include <map>
#include <optional>
#include <tuple>

namespace hyssopwick {

/// Upper bounds on the times since the publication of weights versions. Ages are exchanged
/// instead of times because the clocks of VMs differ.
using VersionAges = std::map<WeightsVersion, Milliseconds>;

/// What a time of publication is based on, the best last.
enum class PublicationBasis {
    FoundAtStart, ///< the process has no view from before the version
    Estimated, ///< after an outage of the store, which postpones the bound, or by a process that may have read of it late
    Measured, ///< the version was published at that time or later
};

/// The earliest time at which a version may have been published, as far as a process knows.
struct Publication {
    TimePoint earliest;
    PublicationBasis basis = PublicationBasis::FoundAtStart;

    auto tied() const { return std::tie(earliest, basis); }
    bool operator==(const Publication& other) const { return tied() == other.tied(); }
    bool operator!=(const Publication& other) const { return !(*this == other); }
};

/// When weights versions may have been published at the earliest, as far as a process knows.
/// Includes versions that later ones replaced in the store, since the bound of each counts, and
/// those of earlier eras of the store. Pure.
class VersionPublications {
public:
    /// Records a publication of a version and returns what is known now. A time with a better basis replaces the
    /// others; of measured ones, which are all right, the latest says most.
    Publication record(const WeightsVersion& version, const Publication& publication);

    /// Returns what is known of a version.
    std::optional<Publication> find(const WeightsVersion& version) const;

    /// Returns the ages of the latest versions that are known on a basis, for other processes.
    VersionAges ages(PublicationBasis basis, TimePoint now) const;

private:
    std::map<WeightsVersion, Publication> m_publications;
};

}
