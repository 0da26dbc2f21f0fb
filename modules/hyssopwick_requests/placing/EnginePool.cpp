#include "EnginePool.h"

#include <algorithm>
#include <cmath>

namespace hyssopwick {

namespace {
    // A report covers calls that were sent at least this long before it: the time on the
    // network and until the engine's next admission.
    constexpr Milliseconds reportLag { 5 };
    // An older report says nothing about what waits now.
    constexpr Milliseconds maxReportAge { 1500 };
    // On average, half of the current admission interval remains.
    constexpr double remainingIntervalShare = 0.5;
    // Cost of moving a call off an engine that reloads: another engine has to process its
    // prompt again. A call that was moved before cannot be moved again, so it would delay
    // the reload instead.
    constexpr double reloadPenaltyMilliseconds = 30;
    constexpr double secondReloadPenaltyMilliseconds = 60;
    // Bandwidth between regions is scarce: an engine in the same region is chosen unless a
    // remote one is faster by more than the round trip.
    constexpr double remotePenaltyMilliseconds = 10;
    // Others have sent to a divided engine since its report what their shares allow. Added for each
    // millisecond of the report's age; a factor of 1 placed worse in the model of 62 entry VMs.
    constexpr double reportAgePenalty = 0.5;
    // Engines compared for one call. Entries that compare all engines would all choose the
    // same one between two reports; comparing a few random ones avoids that at little loss
    // (Mitzenmacher, How Useful Is Old Information?, 2000).
    constexpr std::size_t sampleSize = 4;
    // While calls wait, an engine is filled until the first event would take this long.
    constexpr double maxContendedWaitMilliseconds = 200;
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
    m_shares.retain(upstreams);
}

void EnginePool::setRegions(const std::map<std::string, std::string>& regions)
{
    m_regions.clear();
    for (auto& [id, engine] : m_engines) {
        const auto known = regions.find(id);
        engine.region = known == regions.end() ? "" : known->second;
        if (!engine.region.empty())
            m_regions.insert(engine.region);
    }
}

bool EnginePool::isEmpty(const RegionSet& allowed) const
{
    return m_engines.empty() || (!allowed.isAny() && std::none_of(m_engines.begin(), m_engines.end(), [&allowed](const auto& engine) { return allowed.allows(engine.second.region); }));
}

void EnginePool::setCallLimits(std::map<std::string, CallLimit> limits, std::optional<TimePoint> nextPlace)
{
    m_callLimits = std::move(limits);
    m_nextPlace = nextPlace;
}

bool EnginePool::hasPlace(const std::string& upstream) const
{
    const auto limit = m_callLimits.find(upstream);
    return limit == m_callLimits.end() || limit->second.callsLeft > 0;
}

TimePoint EnginePool::nextPlace(TimePoint now, const RegionSet& allowed) const
{
    std::optional<TimePoint> next;
    for (const auto& [id, engine] : m_engines) {
        if (!allowed.allows(engine.region))
            continue;
        if (hasPlace(id))
            return now;
        const auto place = m_callLimits.at(id).nextPlace.value_or(m_nextPlace.value_or(now));
        next = std::min(next.value_or(place), place);
    }
    return std::max(now, next.value_or(now));
}

void EnginePool::recordReport(const std::string& upstream, const EngineReport& report, TimePoint reportedAt, const EngineStatement& statement)
{
    const auto found = m_engines.find(upstream);
    if (found == m_engines.end())
        return;
    // The places of a share are given out once, also if its message is recorded again.
    if (statement.share && found->second.hasReport && found->second.reportedAt == reportedAt)
        return;
    m_shares.record(upstream, statement, reportedAt);
    found->second.report = report;
    found->second.reportedAt = reportedAt;
    found->second.hasReport = true;
    found->second.endedSinceReport = 0;
    found->second.sendAllowance = m_shares.placesOf(upstream, spareCalls(upstream, found->second, reportedAt), m_random.unit(), reportedAt);
}

// How many typical calls the engine can take before their first events take too long.
double EnginePool::spareCalls(const std::string& id, const Engine& engine, TimePoint now) const
{
    const auto load = loadOf(id, engine, now);
    const double prefill = m_speed.typicalPromptTokens / m_speed.promptTokensPerMillisecond;
    const double sparePromptCalls = (maxContendedWaitMilliseconds - load.pendingPromptTokens / m_speed.promptTokensPerMillisecond) / prefill;
    const double spareSlotCalls = double(m_speed.slots) - load.running - load.waiting + maxContendedWaitMilliseconds / slotIntervalMilliseconds(m_speed.slots);
    return std::max(0.0, std::min(sparePromptCalls, spareSlotCalls));
}

void EnginePool::recordSend(const std::string& upstream, std::uint64_t call, const CallSize& size, TimePoint now, const RegionSet& allowed)
{
    m_calls[call] = { upstream, size, now };
    auto& times = m_recentSendTimes[allowed];
    times.push_back(now);
    while (times.front() + maxReportAge < now)
        times.pop_front();
    const auto limit = m_callLimits.find(upstream);
    if (limit != m_callLimits.end() && limit->second.callsLeft > 0)
        --limit->second.callsLeft;
    const auto found = m_engines.find(upstream);
    if (found != m_engines.end()) {
        found->second.calls.insert(call);
        found->second.sendAllowance -= 1;
    }
}

void EnginePool::recordFirstEvent(std::uint64_t call)
{
    const auto found = m_calls.find(call);
    if (found != m_calls.end())
        found->second.hasFirstEvent = true;
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

// Time between two slots that become free on a full engine: prompts are processed one
// call at a time, tokens are generated for all slots at once.
double EnginePool::slotIntervalMilliseconds(double running) const
{
    const double prefill = m_speed.typicalPromptTokens / m_speed.promptTokensPerMillisecond;
    return prefill + m_speed.typicalAnswerTokens * stepMilliseconds(running) / m_speed.slots;
}

double EnginePool::engineMilliseconds(const CallSize& size) const
{
    return size.promptTokens / m_speed.promptTokensPerMillisecond + size.answerTokens * stepMilliseconds(m_speed.slots) / m_speed.slots;
}

double EnginePool::relativeSize(const CallSize& size) const { return engineMilliseconds(size) / slotIntervalMilliseconds(m_speed.slots); }

double EnginePool::ownCallsPerMillisecond(TimePoint now, const RegionSet& allowed) const
{
    double rate = 0;
    for (const auto& [id, engine] : m_engines) {
        if (!allowed.allows(engine.region))
            continue;
        const double engineRate = 1 / (slotIntervalMilliseconds(m_speed.slots) * std::max(1.0, engine.report.slowdownFactor));
        const auto limit = m_callLimits.find(id);
        rate += (limit == m_callLimits.end() ? engineRate : std::min(engineRate, limit->second.callsPerMillisecond)) * m_shares.shareOf(id, now);
    }
    return rate;
}

double EnginePool::meanShare(TimePoint now) const
{
    if (m_engines.empty())
        return 1 / m_shares.entryCount();
    double sum = 0;
    for (const auto& [id, engine] : m_engines)
        sum += m_shares.shareOf(id, now);
    return sum / double(m_engines.size());
}

// Since the engine's report. Assumes that each other entry sends as much as this one, evenly over all
// engines that the calls may use.
double EnginePool::sendsOfOthers(const Engine& engine) const
{
    double sends = 0;
    for (const auto& [allowed, times] : m_recentSendTimes) {
        if (!allowed.allows(engine.region))
            continue;
        const auto isAllowed = [&regions = allowed](const auto& other) { return regions.allows(other.second.region); };
        const auto engines = allowed.isAny() ? std::ptrdiff_t(m_engines.size()) : std::count_if(m_engines.begin(), m_engines.end(), isAllowed);
        const auto since = std::lower_bound(times.begin(), times.end(), engine.reportedAt);
        sends += double(times.end() - since) * (m_shares.entryCount() - 1) / double(std::max<std::ptrdiff_t>(1, engines));
    }
    return sends;
}

EnginePool::Load EnginePool::loadOf(const std::string& id, const Engine& engine, TimePoint now) const
{
    Load load;
    const bool hasFreshReport = engine.hasReport && now - engine.reportedAt < maxReportAge;
    if (hasFreshReport) {
        load.running = std::max(0.0, double(engine.report.runningCalls) - engine.endedSinceReport);
        load.waiting = engine.report.waitingCalls;
        load.pendingPromptTokens = engine.report.pendingPromptTokens + load.waiting * m_speed.typicalPromptTokens;
        // Of a divided engine, the other entries use the places that their shares give them, and about as
        // many calls end.
        const double others = m_shares.isStated(id, now) ? 0 : sendsOfOthers(engine);
        load.waiting += others;
        load.pendingPromptTokens += others * m_speed.typicalPromptTokens;
    }
    for (const auto call : engine.calls) {
        const auto& sent = m_calls.at(call);
        if (hasFreshReport && sent.sentAt + reportLag < engine.reportedAt)
            continue;
        if (sent.hasFirstEvent) {
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
    const double admissionInterval = step * m_speed.stepsPerAdmission;
    const double millionPairs = size.promptTokens * size.promptTokens / 2 / million;
    const double prefill = (load.pendingPromptTokens + size.promptTokens) / m_speed.promptTokensPerMillisecond + millionPairs * m_speed.perMillionPairsMilliseconds;
    const double ahead = occupied + 1 - m_speed.slots;
    const double slotWait = ahead > 0 ? ahead * slotIntervalMilliseconds(running) : 0;
    const double timeToAdmission = occupied >= 1 ? remainingIntervalShare * admissionInterval : 0;
    const double boundedSlowdown = std::max(1.0, slowdownFactor);
    prediction.pendingPromptTokens = load.pendingPromptTokens;
    // While other calls run, a prompt is processed in pieces, one per admission interval. The
    // last of them yields the first token; the first event's tokens take another interval.
    const double prefillIntervals = occupied >= 1 ? std::ceil((load.pendingPromptTokens + size.promptTokens) / m_speed.maxPromptTokensPerAdmission) : 0;
    prediction.firstEventMilliseconds = boundedSlowdown * (slotWait + timeToAdmission + prefill + (prefillIntervals + 1) * admissionInterval);
    // Between the tokens of a call, the engine processes the prompts of later calls.
    const double typicalPrefill = m_speed.typicalPromptTokens / m_speed.promptTokensPerMillisecond;
    const double tokenTime = step + typicalPrefill * running / std::max(1.0, m_speed.typicalAnswerTokens);
    prediction.endMilliseconds = prediction.firstEventMilliseconds + boundedSlowdown * std::max(0.0, size.answerTokens - m_speed.stepsPerAdmission) * tokenTime;
    return prediction;
}

EnginePrediction EnginePool::predict(const std::string& upstream, const CallSize& size, TimePoint now) const
{
    const auto found = m_engines.find(upstream);
    if (found == m_engines.end())
        return {};
    return predictWith(loadOf(upstream, found->second, now), found->second.report.slowdownFactor, size);
}

EnginePrediction EnginePool::predictIdle(const CallSize& size) const { return predictWith({}, 1, size); }

EnginePrediction EnginePool::predictBusy(const CallSize& size) const { return predictWith({ double(m_speed.slots) - 1, 0, 0 }, 1, size); }

std::vector<const std::string*> EnginePool::sampleEngines(const std::set<std::string>& excluded, TimePoint now, bool isContended, const RegionSet& allowed)
{
    std::vector<const std::string*> candidates;
    std::vector<const std::string*> reserved;
    for (const auto& [id, engine] : m_engines) {
        if (!allowed.allows(engine.region) || excluded.count(id) != 0 || !hasPlace(id))
            continue;
        candidates.push_back(&id);
        if (engine.sendAllowance >= 1 && (isContended || m_shares.isStated(id, now)))
            reserved.push_back(&id);
    }
    if (isContended || !reserved.empty())
        candidates = std::move(reserved);
    const auto count = std::min(sampleSize, candidates.size());
    for (std::size_t i = 0; i < count; ++i)
        std::swap(candidates[i], candidates[i + m_random.below(candidates.size() - i)]);
    candidates.resize(count);
    return candidates;
}

// Reports count tokens times layers, the configured capacity counts tokens.
bool EnginePool::hasTokenMemory(const Engine& engine, const CallSize& size, TimePoint now) const
{
    const bool hasFreshReport = engine.hasReport && now - engine.reportedAt < maxReportAge;
    if (m_speed.tokenCapacity <= 0 || !hasFreshReport || engine.report.tokenCapacity <= 0)
        return true;
    double free = m_speed.tokenCapacity * (engine.report.tokenCapacity - engine.report.usedTokens) / engine.report.tokenCapacity;
    for (const auto call : engine.calls) {
        const auto& sent = m_calls.at(call);
        if (sent.sentAt + reportLag >= engine.reportedAt)
            free -= sent.size.promptTokens + sent.size.answerTokens;
    }
    return size.promptTokens + size.answerTokens <= free;
}

std::set<std::string> EnginePool::withFullEngines(const std::set<std::string>& excluded, const CallSize& size, TimePoint now) const
{
    auto all = excluded;
    for (const auto& [id, engine] : m_engines) {
        if (!hasTokenMemory(engine, size, now))
            all.insert(id);
    }
    return all;
}

std::optional<EngineChoice> EnginePool::choose(const CallSize& size, const std::set<std::string>& excluded, TimePoint now, bool isContended, const RegionSet& allowed)
{
    std::optional<EngineChoice> best;
    double bestScore = 0;
    for (const auto* sampled : sampleEngines(withFullEngines(excluded, size, now), now, isContended, allowed)) {
        const auto& id = *sampled;
        const auto prediction = predict(id, size, now);
        const auto reloadingSoon = m_reloadingSoon.find(id);
        const bool isReloadingSoon = reloadingSoon != m_reloadingSoon.end();
        if (isReloadingSoon && prediction.firstEventMilliseconds >= double(millisecondsBetween(now, reloadingSoon->second)))
            continue;
        const double reloadPenalty = !isReloadingSoon ? 0 : excluded.empty() ? reloadPenaltyMilliseconds
                                                                             : secondReloadPenaltyMilliseconds;
        const double remotePenalty = m_remoteEngines.count(id) == 0 ? 0 : remotePenaltyMilliseconds;
        const double agePenalty = m_shares.isStated(id, now) ? reportAgePenalty * double(millisecondsBetween(m_engines.at(id).reportedAt, now)) : 0;
        const double score = prediction.firstEventMilliseconds + reloadPenalty + remotePenalty + agePenalty;
        if (best && score >= bestScore)
            continue;
        best = EngineChoice { id, prediction };
        bestScore = score;
    }
    return best;
}

}
