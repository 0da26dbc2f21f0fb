#include "PrefillEstimate.h"

#include <algorithm>

namespace hyssopwick {

double PrefillEstimate::record(const EngineReport& report, const EngineSpeed& speed, TimePoint now)
{
    if (report.startedAt != m_startedAt) {
        *this = {};
        m_startedAt = report.startedAt;
        m_recordedAt = now;
    }
    // Prompts are processed in pieces, between the steps of the calls that generate tokens.
    const double prefilling = m_pendingPromptTokens / std::max(1.0, speed.typicalPromptTokens);
    const double generating = std::max(0.0, double(m_running) - prefilling);
    const double prefillTime = speed.maxPromptTokensPerAdmission / speed.promptTokensPerMillisecond;
    const double generationTime = generating > 0 ? speed.stepsPerAdmission * (speed.stepMilliseconds + generating * speed.perSequenceMilliseconds) : 0;
    const double rate = speed.promptTokensPerMillisecond * prefillTime / (prefillTime + generationTime) / std::max(1.0, report.slowdownFactor);
    const double processed = rate * double(millisecondsBetween(m_recordedAt, now));
    // A call that took over a freed slot is noticed only if a report counted it as waiting.
    const double started = std::max(0, int(report.runningCalls) - int(m_running)) + std::max(0, int(m_waiting) - int(report.waitingCalls));
    m_pendingPromptTokens = std::max(0.0, m_pendingPromptTokens - processed) + started * speed.typicalPromptTokens;
    m_pendingPromptTokens = std::min(m_pendingPromptTokens, report.runningCalls * speed.typicalPromptTokens);
    m_running = report.runningCalls;
    m_waiting = report.waitingCalls;
    m_recordedAt = now;
    return m_pendingPromptTokens;
}

}
