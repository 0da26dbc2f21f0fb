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

    /// Records that the answer of the call \p requestId has begun, which shows in logs and metrics if the limit had passed.
    void recordAnswerBegin(const std::string& requestId) const;

    /// Records that the call \p requestId is taken back from its engine.
    void recordWithdrawal(const std::string& requestId) const;

    /// Calls \p onPassed at that time, if it is before \p deadline.
    void arm(TimePoint deadline, std::function<void(boost::system::error_code)> onPassed);

    void cancel() { m_timer.cancel(); }

private:
    /// Returns the time since the limit; negative before it.
    Milliseconds lateness(TimePoint limit) const { return Milliseconds(millisecondsBetween(limit, monotonicNow())); }
    void log(const char* event, const std::string& requestId, Milliseconds lateness) const;

    EntryServices& m_services;
    LoopTimer m_timer;
    std::string m_upstream;
    std::map<std::string, std::uint64_t> m_loadedVersions; // by model, when the call was sent
};

}
