#pragma once

#include "../model/WeightsVersion.h"

#include <map>

namespace hyssopwick {

/// Upper bounds on the times since the publication of weights versions. Ages are exchanged
/// instead of times because the clocks of VMs differ.
using VersionAges = std::map<WeightsVersion, Milliseconds>;

/// When weights versions may have been published at the earliest, as far as a process knows.
/// Includes versions that later ones replaced in the store, since the bound of each counts, and
/// those of earlier eras of the store. Pure.
class VersionPublications {
public:
    /// Records the earliest publication of a version and returns the earliest that is known.
    /// \param isMeasured  false if this process has no view from before the version; such a time
    ///                    is replaced by any measured one and not passed on
    TimePoint record(const WeightsVersion& version, TimePoint earliestPublication, bool isMeasured);

    bool contains(const WeightsVersion& version) const { return m_publications.count(version) > 0; }

    /// Returns the ages of the latest versions, for other processes.
    VersionAges ages(TimePoint now) const;

private:
    struct Publication {
        TimePoint earliest;
        bool isMeasured;
    };

    std::map<WeightsVersion, Publication> m_publications;
};

}
