#pragma once

#include "EntryServices.h"

namespace hyssopwick {

/// Limits how long a call may wait at an engine with older weights than the published ones.
class BeginLimit {
public:
    explicit BeginLimit(EntryServices& services);

    /// Call when the call is sent to \p upstream.
    void begin(const Upstream& upstream);

    /// Returns when the call has to have begun, or nothing if it may begin at any time.
    std::optional<TimePoint> until() const;

    /// Calls \p onPassed at that time, if it is before \p deadline.
    void arm(TimePoint deadline, std::function<void(boost::system::error_code)> onPassed);

    void cancel() { m_timer.cancel(); }

private:
    EntryServices& m_services;
    LoopTimer m_timer;
    std::string m_upstream;
    std::map<std::string, std::uint64_t> m_loadedVersions; // by model, when the call was sent
};

}
