#include "EnginePool.h"

#include <algorithm>
#include <cmath>

namespace hyssopwick {

namespace {
    // A report tells of calls that reached the engine this long before it at least:
    // the way there, and the pass that admits them.
    constexpr Milliseconds reportBlindness { 5 };
    // A report that is older says nothing of what waits now.
    constexpr Milliseconds maxReportAge { 1500 };
    constexpr double halfPass = 0.5;
    constexpr double thousand = 1000;
    constexpr double million = 1e6;
}

EnginePool::EnginePool(std::uint64_t seed)
    : m_random(seed)
{
}

void EnginePool::setEngines(const std::set<std::string>& upstreams)
{
    for (auto engine = m_engines.begin(); engine != m_engines.end();)
        engine = upstreams.count(engine->first) == 0 ? m_engines.erase(engine) : std::next(engine);
    for (const auto& upstream : upstreams)
        m_engines[upstream];
}

void EnginePool::recordReport(const std::string& upstream, const EngineReport& report, TimePoint reportedAt)
{
    const auto found = m_engines.find(upstream);
    if (found == m_engines.end())
        return;
    found->second.report = report;
    found->second.reportedAt = reportedAt;
    found->second.hasReport = true;
    found->second.endedSinceReport = 0;
}

void EnginePool::recordSend(const std::string& upstream, std::uint64_t call, const CallSize& size, TimePoint now)
{
    m_calls[call] = { upstream, size, now };
    const auto found = m_engines.find(upstream);
    if (found != m_engines.end())
        found->second.calls.insert(call);
}

void EnginePool::recordFirstEvent(std::uint64_t call)
{
    const auto found = m_calls.find(call);
    if (found != m_calls.end())
        found->second.hasBegun = true;
}

void EnginePool::recordEnd(std::uint64_t call, TimePoint now)
{
    const auto found = m_calls.find(call);
    if (found == m_calls.end())
        return;
    const auto engine = m_engines.find(found->second.upstream);
    if (engine != m_engines.end()) {
        engine->second.calls.erase(call);
        if (engine->second.hasReport && found->second.sentAt < engine->second.reportedAt && now > engine->second.reportedAt)
            ++engine->second.endedSinceReport;
    }
    m_calls.erase(found);
}

double EnginePool::stepMilliseconds(double running) const
{
    const double context = running * (m_speed.usualPromptTokens + m_speed.usualAnswerTokens / 2) / thousand;
    return m_speed.stepMilliseconds + running * m_speed.perSequenceMilliseconds + context * m_speed.perThousandContextMilliseconds;
}

EnginePrediction EnginePool::predict(const std::string& upstream, const CallSize& size, TimePoint now) const
{
    EnginePrediction prediction;
    const auto found = m_engines.find(upstream);
    if (found == m_engines.end())
        return prediction;
    const auto& engine = found->second;
    const bool isReported = engine.hasReport && now - engine.reportedAt < maxReportAge;
    double running = 0;
    double waiting = 0;
    double unread = 0;
    if (isReported) {
        running = std::max(0.0, double(engine.report.runningCalls) - engine.endedSinceReport);
        waiting = engine.report.waitingCalls;
        unread = waiting * m_speed.usualPromptTokens;
    }
    for (const auto call : engine.calls) {
        const auto& sent = m_calls.at(call);
        if (isReported && sent.sentAt + reportBlindness < engine.reportedAt)
            continue;
        if (sent.hasBegun) {
            running += 1;
        } else {
            waiting += 1;
            unread += sent.size.promptTokens;
        }
    }
    const double pace = std::max(1.0, engine.report.slowness);
    const double step = stepMilliseconds(std::min<double>(m_speed.slots, running + waiting + 1));
    const double pass = step * m_speed.stepsPerPass;
    const double pairs = size.promptTokens * size.promptTokens / 2 / million;
    const double reading = (unread + size.promptTokens) / m_speed.promptTokensPerMillisecond + pairs * m_speed.perMillionPairsMilliseconds;
    // Between two slots that fall free on a full engine.
    const double usualReading = m_speed.usualPromptTokens / m_speed.promptTokensPerMillisecond;
    const double slotPeriod = usualReading + m_speed.usualAnswerTokens * step / m_speed.slots;
    const double ahead = running + waiting + 1 - m_speed.slots;
    const double slotWait = ahead > 0 ? ahead * slotPeriod : 0;
    const double isBusy = running + waiting > 0 ? 1 : 0;
    prediction.unreadTokens = unread;
    prediction.firstEventMilliseconds = pace * (std::max(slotWait, 0.0) + isBusy * halfPass * pass + reading + pass);
    const double writing = std::max(0.0, size.answerTokens - m_speed.stepsPerPass) * (step + (running / std::max(1u, m_speed.slots)) * usualReading * m_speed.slots / m_speed.usualAnswerTokens);
    prediction.endMilliseconds = prediction.firstEventMilliseconds + pace * writing;
    return prediction;
}

std::optional<EngineChoice> EnginePool::choose(const CallSize& size, const std::set<std::string>& excluded, TimePoint now)
{
    // Entries whose reports agree within this would otherwise choose alike: half a pass.
    const double tieMilliseconds = halfPass * m_speed.stepsPerPass * m_speed.stepMilliseconds;
    std::optional<EngineChoice> best;
    double bestScore = 0;
    for (const auto& [id, engine] : m_engines) {
        if (excluded.count(id) != 0)
            continue;
        const auto prediction = predict(id, size, now);
        const double score = prediction.firstEventMilliseconds + m_random.unit() * tieMilliseconds;
        if (best && score >= bestScore)
            continue;
        best = EngineChoice { id, prediction };
        bestScore = score;
    }
    return best;
}

}
