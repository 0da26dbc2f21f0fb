#pragma once

#include <hyssopwick_deployment.h>

namespace hyssopwick {

/// Estimates from an engine's reports how many prompt tokens of its running calls it has
/// yet to process. An engine fills all of its free slots at once and counts these calls as
/// running while it processes their prompts one after the other, so a report of a few
/// running calls and none waiting can mean most of a second of work. This matters when an
/// engine returns to service or gets many calls between two reports. Pure.
class PrefillEstimate {
public:
    /// Records a report and returns the prompt tokens left to process at \p now.
    double record(const EngineReport& report, const EngineSpeed& speed, TimePoint now);

private:
    double m_pendingPromptTokens = 0;
    unsigned m_running = 0;
    unsigned m_waiting = 0;
    UnixMilliseconds m_startedAt = 0;
    TimePoint m_recordedAt;
};

}
