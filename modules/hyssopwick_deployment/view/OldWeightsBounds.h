#pragma once

#include "../model/WeightsVersion.h"

#include <map>
#include <optional>

namespace hyssopwick {

/// For how long calls may begin on older weights.
struct OldWeightsGrace {
    Milliseconds afterPublication { 0 }; ///< of a newer version
    Milliseconds afterStart { 0 }; ///< of this process, if the newer version was published before it
};

/// Until when calls may begin on older weights after a newer version was published, as one process
/// knows it.
///
/// A process that starts knows of versions without knowing when they were published. Dating
/// them before its start takes all engines with older weights out of service at once, and after a
/// restart of all processes no engine may be left. The bound holds for processes in touch, which one is only
/// a while after its start, so until then it may use older weights. Pure.
class OldWeightsBounds {
public:
    /// \param startedAt  when this process started
    explicit OldWeightsBounds(TimePoint startedAt)
        : m_startedAt(startedAt)
    {
    }

    /// Records a version; returns whether it is new or was published earlier than known.
    /// \param earliestPublication  the earliest time at which it may have been published
    bool add(const WeightsVersion& version, TimePoint earliestPublication);

    /// Returns until when calls may begin on the loaded versions, by model, or nothing while no newer
    /// one was published.
    std::optional<TimePoint> usableUntil(const std::map<std::string, std::uint64_t>& loadedVersions, const OldWeightsGrace& grace) const;

    /// Returns the earliest bound after \p now, or nothing.
    std::optional<TimePoint> nextBound(TimePoint now, const OldWeightsGrace& grace) const;

private:
    TimePoint boundOf(TimePoint earliestPublication, const OldWeightsGrace& grace) const;

    TimePoint m_startedAt;
    std::map<std::string, std::map<std::uint64_t, TimePoint>> m_published; // by model and version: earliest publication
};

}
