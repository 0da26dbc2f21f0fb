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
    // What a move to another engine costs a call: its prompt is read again. One that was
    // moved before would have to be waited for instead.
    constexpr double leavingPenaltyMilliseconds = 30;
    constexpr double secondLeavingPenaltyMilliseconds = 60;
    // Bytes between regions are scarce; an engine of the own region is taken unless one
    // elsewhere is sooner by more than the way there and back takes.
    constexpr double remotePenaltyMilliseconds = 10;
    // Engines looked at for one call. All entries that look at all engines choose the
    // same one between two reports; a few random ones avoid that at little loss
    // (Mitzenmacher, How Useful Is Old Information?, 2000).
    constexpr std::size_t sampleSize = 4;
    // Wait for the first event that an engine is filled up to when calls wait.
    constexpr double roomMilliseconds = 200;
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
    found->second.turns = std::floor(room(found->second, reportedAt) / double(m_fleetSize) + m_random.unit());
}

// How many usual calls the engine can take before a call's first event waits for too long.
double EnginePool::room(const Engine& engine, TimePoint now) const
{
    const auto load = loadOf(engine, now);
    const double reading = m_speed.typicalPromptTokens / m_speed.promptTokensPerMillisecond;
    const double readingRoom = (roomMilliseconds - load.pendingPromptTokens / m_speed.promptTokensPerMillisecond) / reading;
    const double slotRoom = double(m_speed.slots) - load.running - load.waiting + roomMilliseconds / slotPeriod(m_speed.slots);
    return std::max(0.0, std::min(readingRoom, slotRoom));
}

void EnginePool::recordSend(const std::string& upstream, std::uint64_t call, const CallSize& size, TimePoint now)
{
    m_calls[call] = { upstream, size, now };
    m_recentSends.push_back(now);
    while (!m_recentSends.empty() && m_recentSends.front() + maxReportAge < now)
        m_recentSends.pop_front();
    const auto found = m_engines.find(upstream);
    if (found != m_engines.end()) {
        found->second.calls.insert(call);
        found->second.turns -= 1;
    }
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
    const double context = running * (m_speed.typicalPromptTokens + m_speed.typicalAnswerTokens / 2) / thousand;
    return m_speed.stepMilliseconds + running * m_speed.perSequenceMilliseconds + context * m_speed.perThousandContextMilliseconds;
}

// Time between two slots that fall free on a full engine: reading is done for one call
// at a time, writing for all slots at once.
double EnginePool::slotPeriod(double running) const
{
    const double reading = m_speed.typicalPromptTokens / m_speed.promptTokensPerMillisecond;
    return reading + m_speed.typicalAnswerTokens * stepMilliseconds(running) / m_speed.slots;
}

double EnginePool::callsPerMillisecond() const
{
    double rate = 0;
    for (const auto& [id, engine] : m_engines)
        rate += 1 / (slotPeriod(m_speed.slots) * std::max(1.0, engine.report.slowdownFactor));
    return rate;
}

EnginePool::Load EnginePool::loadOf(const Engine& engine, TimePoint now) const
{
    Load load;
    const bool isReported = engine.hasReport && now - engine.reportedAt < maxReportAge;
    if (isReported) {
        load.running = std::max(0.0, double(engine.report.runningCalls) - engine.endedSinceReport);
        load.waiting = engine.report.waitingCalls;
        load.pendingPromptTokens = engine.report.pendingPromptTokens + load.waiting * m_speed.typicalPromptTokens;
        // Other entries send as much as this one, spread over all engines alike.
        const auto since = std::lower_bound(m_recentSends.begin(), m_recentSends.end(), engine.reportedAt);
        const double ownSends = double(m_recentSends.end() - since);
        const double others = ownSends * double(m_fleetSize - 1) / double(std::max<std::size_t>(1, m_engines.size()));
        load.waiting += others;
        load.pendingPromptTokens += others * m_speed.typicalPromptTokens;
    }
    for (const auto call : engine.calls) {
        const auto& sent = m_calls.at(call);
        if (isReported && sent.sentAt + reportBlindness < engine.reportedAt)
            continue;
        if (sent.hasBegun) {
            load.running += 1;
        } else {
            load.waiting += 1;
            load.pendingPromptTokens += sent.size.promptTokens;
        }
    }
    return load;
}

EnginePrediction EnginePool::predictWith(const Load& load, double slowdownFactor, const CallSize& size) const
{
    EnginePrediction prediction;
    const double occupied = load.running + load.waiting;
    const double running = std::min<double>(m_speed.slots, occupied + 1);
    const double step = stepMilliseconds(running);
    const double pass = step * m_speed.stepsPerAdmission;
    const double pairs = size.promptTokens * size.promptTokens / 2 / million;
    const double reading = (load.pendingPromptTokens + size.promptTokens) / m_speed.promptTokensPerMillisecond + pairs * m_speed.perMillionPairsMilliseconds;
    const double ahead = occupied + 1 - m_speed.slots;
    const double slotWait = ahead > 0 ? ahead * slotPeriod(running) : 0;
    const double passLeft = occupied >= 1 ? halfPass * pass : 0;
    const double pace = std::max(1.0, slowdownFactor);
    prediction.pendingPromptTokens = load.pendingPromptTokens;
    // A prompt is read in the passes of those that write; its first token ends the last of
    // them, and the tokens of the first event take another pass.
    const double readingPasses = occupied >= 1 ? std::ceil((load.pendingPromptTokens + size.promptTokens) / m_speed.maxPromptTokensPerAdmission) : 0;
    prediction.firstEventMilliseconds = pace * (slotWait + passLeft + reading + (readingPasses + 1) * pass);
    // While a call is written, the prompts of those that follow are read in between.
    const double usualReading = m_speed.typicalPromptTokens / m_speed.promptTokensPerMillisecond;
    const double tokenTime = step + usualReading * running / std::max(1.0, m_speed.typicalAnswerTokens);
    prediction.endMilliseconds = prediction.firstEventMilliseconds + pace * std::max(0.0, size.answerTokens - m_speed.stepsPerAdmission) * tokenTime;
    return prediction;
}

EnginePrediction EnginePool::predict(const std::string& upstream, const CallSize& size, TimePoint now) const
{
    const auto found = m_engines.find(upstream);
    if (found == m_engines.end())
        return {};
    return predictWith(loadOf(found->second, now), found->second.report.slowdownFactor, size);
}

EnginePrediction EnginePool::predictIdle(const CallSize& size) const { return predictWith({}, 1, size); }

std::vector<std::string> EnginePool::sample(const std::set<std::string>& excluded, bool isContended)
{
    std::vector<std::string> candidates;
    for (const auto& [id, engine] : m_engines) {
        if (excluded.count(id) == 0 && (!isContended || engine.turns >= 1))
            candidates.push_back(id);
    }
    const auto count = std::min(sampleSize, candidates.size());
    for (std::size_t i = 0; i < count; ++i)
        std::swap(candidates[i], candidates[i + m_random.below(candidates.size() - i)]);
    candidates.resize(count);
    return candidates;
}

std::optional<EngineChoice> EnginePool::choose(const CallSize& size, const std::set<std::string>& excluded, TimePoint now, bool isContended)
{
    std::optional<EngineChoice> best;
    double bestScore = 0;
    for (const auto& id : sample(excluded, isContended)) {
        const auto prediction = predict(id, size, now);
        const auto leavingSoon = m_leavingSoon.find(id);
        const bool isLeaving = leavingSoon != m_leavingSoon.end();
        if (isLeaving && prediction.firstEventMilliseconds >= double(millisecondsBetween(now, leavingSoon->second)))
            continue;
        const double leaving = !isLeaving ? 0 : excluded.empty() ? leavingPenaltyMilliseconds
                                                                 : secondLeavingPenaltyMilliseconds;
        const double crossing = m_remote.count(id) == 0 ? 0 : remotePenaltyMilliseconds;
        const double score = prediction.firstEventMilliseconds + leaving + crossing;
        if (best && score >= bestScore)
            continue;
        best = EngineChoice { id, prediction };
        bestScore = score;
    }
    return best;
}

}
