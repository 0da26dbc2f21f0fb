#include "PrefillEstimate.h"

#include <algorithm>

namespace hyssopwick {

double PrefillEstimate::record(const EngineReport& report, const EngineSpeed& speed, TimePoint now)
{
    if (report.startedAt != m_bornAt) {
        *this = {};
        m_bornAt = report.startedAt;
        m_recordedAt = now;
    }
    // Reading is done in pieces between the steps of the calls that write.
    const double readers = m_unreadTokens / std::max(1.0, speed.typicalPromptTokens);
    const double writers = std::max(0.0, double(m_running) - readers);
    const double piece = speed.maxPromptTokensPerAdmission / speed.promptTokensPerMillisecond;
    const double steps = writers > 0 ? speed.stepsPerAdmission * (speed.stepMilliseconds + writers * speed.perSequenceMilliseconds) : 0;
    const double rate = speed.promptTokensPerMillisecond * piece / (piece + steps) / std::max(1.0, report.slowdownFactor);
    const double read = rate * double(millisecondsBetween(m_recordedAt, now));
    // A call that took the slot of one that ended shows only if it waited before.
    const double begun = std::max(0, int(report.runningCalls) - int(m_running)) + std::max(0, int(m_waiting) - int(report.waitingCalls));
    m_unreadTokens = std::max(0.0, m_unreadTokens - read) + begun * speed.typicalPromptTokens;
    m_unreadTokens = std::min(m_unreadTokens, report.runningCalls * speed.typicalPromptTokens);
    m_running = report.runningCalls;
    m_waiting = report.waitingCalls;
    m_recordedAt = now;
    return m_unreadTokens;
}

}
