#pragma once

#include <hyssopwick_deployment.h>

namespace hyssopwick {

/// Estimates from an engine's own reports how many prompt tokens its running calls have
/// not been read yet. An engine takes as many calls as it has slots at once and counts them
/// as running while it reads one prompt after the other; a report of a few running calls
/// and none waiting may therefore stand for most of a second of reading. Answers the load
/// on an engine that comes back into service, or is sent many calls between two reports.
/// Pure.
class PrefillEstimate {
public:
    /// Takes in a report and returns the unread tokens at \p now.
    double record(const EngineReport& report, const EngineSpeed& speed, TimePoint now);

private:
    double m_unreadTokens = 0;
    unsigned m_running = 0;
    unsigned m_waiting = 0;
    UnixMilliseconds m_bornAt = 0;
    TimePoint m_recordedAt;
};

}
