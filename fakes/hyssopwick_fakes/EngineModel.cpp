#include "EngineModel.h"

#include <algorithm>

namespace hyssopwick {

namespace {
    // Tokens in one streamed event, from the platform's pages.
    constexpr double tokensPerEvent = 5;

    std::chrono::steady_clock::duration duration(double milliseconds) { return std::chrono::microseconds(static_cast<std::int64_t>(milliseconds * 1000)); }
}

EngineModel::EngineModel(const EngineSpeed& speed, TimePoint now)
    : m_speed(speed)
    , m_passEnd(now)
{
}

void EngineModel::send(std::uint64_t call, const CallSize& size, TimePoint now)
{
    m_waiting.push_back({ call, size.promptTokens, std::max(1.0, size.answerTokens) });
    if (!m_isInPass)
        beginPass(std::max(now, m_passEnd));
}

void EngineModel::cancel(std::uint64_t call)
{
    const auto hasId = [call](const Call& other) { return other.id == call; };
    m_waiting.erase(std::remove_if(m_waiting.begin(), m_waiting.end(), hasId), m_waiting.end());
    m_running.erase(std::remove_if(m_running.begin(), m_running.end(), hasId), m_running.end());
}

void EngineModel::beginPass(TimePoint now)
{
    while (!m_waiting.empty() && m_running.size() < m_speed.slots) {
        m_running.push_back(m_waiting.front());
        m_waiting.pop_front();
    }
    m_isInPass = !m_running.empty();
    if (!m_isInPass)
        return;
    double promptBudget = m_speed.maxPromptTokensPerAdmission;
    double decodingCalls = 0;
    double contextTokens = 0;
    m_prefilledInPass.clear();
    for (auto& call : m_running) {
        if (call.pendingPromptTokens <= 0) {
            ++decodingCalls;
            contextTokens += m_speed.typicalPromptTokens + call.generatedTokens;
            continue;
        }
        const double prefilled = std::min(promptBudget, call.pendingPromptTokens);
        call.pendingPromptTokens -= prefilled;
        promptBudget -= prefilled;
        if (call.pendingPromptTokens <= 0)
            m_prefilledInPass.insert(call.id);
    }
    const double prefill = (m_speed.maxPromptTokensPerAdmission - promptBudget) / m_speed.promptTokensPerMillisecond;
    const double step = m_speed.stepMilliseconds + decodingCalls * m_speed.perSequenceMilliseconds + contextTokens / 1000 * m_speed.perThousandContextMilliseconds;
    const double pass = prefill + (decodingCalls > 0 ? step * m_speed.stepsPerAdmission : 0);
    m_passEnd = now + duration(std::max(pass, m_speed.stepMilliseconds));
}

void EngineModel::endPass(std::vector<Event>& events)
{
    m_isInPass = false;
    for (auto& call : m_running) {
        const bool endsPrefill = m_prefilledInPass.count(call.id) != 0;
        if (call.pendingPromptTokens > 0)
            continue;
        // The pass that ends a call's prefill generates only the first token.
        const double tokens = std::min(endsPrefill ? 1.0 : double(m_speed.stepsPerAdmission), call.pendingAnswerTokens);
        call.generatedTokens += tokens;
        call.pendingAnswerTokens -= tokens;
        if (!call.hasFirstEvent && (call.generatedTokens >= tokensPerEvent || call.pendingAnswerTokens <= 0)) {
            call.hasFirstEvent = true;
            events.push_back({ call.id, false, m_passEnd });
        }
        if (call.pendingAnswerTokens <= 0)
            events.push_back({ call.id, true, m_passEnd });
    }
    m_running.erase(std::remove_if(m_running.begin(), m_running.end(), [](const Call& call) { return call.pendingPromptTokens <= 0 && call.pendingAnswerTokens <= 0; }), m_running.end());
}

std::vector<EngineModel::Event> EngineModel::advance(TimePoint now)
{
    std::vector<Event> events;
    while (m_isInPass && m_passEnd <= now) {
        endPass(events);
        beginPass(m_passEnd);
    }
    return events;
}

EngineReport EngineModel::report() const
{
    EngineReport report;
    // Calls in prefill count as running, as they do on the platform.
    report.runningCalls = static_cast<unsigned>(m_running.size());
    report.waitingCalls = static_cast<unsigned>(m_waiting.size());
    return report;
}

}
