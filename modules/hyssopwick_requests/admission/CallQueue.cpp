#include "CallQueue.h"

#include <algorithm>
#include <cmath>

namespace hyssopwick {

namespace {
    // Engines report every 200 ms; in between, only a call that ends brings new information.
    constexpr Milliseconds reviewPeriod { 50 };
    // A late call may go to an engine whose predicted first event takes at most this many
    // times as long as on an idle engine; a higher factor would delay calls that are in time.
    constexpr double maxIdleSlowdown = 1.4;
    // Predicted waits can be too short by this factor. A larger one keeps calls waiting that an
    // engine could have begun in time.
    constexpr double waitSafetyFactor = 1.1;
    // Predicted end times can be too short by this factor.
    constexpr double endSafetyFactor = 1.3;
    // A late call is accepted only if it is expected to take at most this share of the time left.
    constexpr double usableTimeShare = 0.9;
    // Share of the engines' call rate reserved for late calls, however many others arrive.
    constexpr double minLateShare = 0.08;
    constexpr double maxLateCredits = 3;
    // While the admission level limits, calls of priority 0 have to find short queues at the engines,
    // also if others could wait there for longer.
    constexpr double maxLessUrgentWaitMilliseconds = 120;
    // Waiting calls are stated as demand as if they were to be served within this time.
    constexpr double waitingTimeSeconds = 1;
    // How fast the admission level rises at most (EngineDivision).
    constexpr double levelRisePerSecond = 0.25;
    constexpr double millisecondsPerSecond = 1000;
    constexpr Milliseconds minRetryAfter { 100 };
    constexpr Milliseconds defaultEngineWait { 1000 };
}

Milliseconds QueueDecisions::retryAfterOf(std::uint64_t call) const
{
    const auto restricted = restrictedRetryAfter.find(call);
    const auto untilFree = restricted == restrictedRetryAfter.end() ? retryAfter : restricted->second;
    const auto deferred = levelRetryAfter.find(call);
    return deferred == levelRetryAfter.end() ? untilFree : std::max(untilFree, deferred->second);
}

CallQueue::CallQueue(EnginePool& engines)
    : m_engines(engines)
{
}

void CallQueue::setEntryCount(double entries) { m_engines.shares().setEntryCount(std::max(1.0, entries)); }

void CallQueue::setExpectedEngines(std::map<std::string, ExpectedEngines> byRegion)
{
    m_expectedEngines = std::move(byRegion);
    m_expectedRegions.clear();
    for (const auto& [region, engines] : m_expectedEngines)
        m_expectedRegions.insert(region);
}

ExpectedEngines CallQueue::expectedEngines(const RegionSet& allowed) const
{
    ExpectedEngines expected;
    for (const auto& [region, engines] : m_expectedEngines) {
        if (!allowed.allows(region))
            continue;
        expected.count += engines.count;
        if (engines.at)
            expected.at = std::min(expected.at.value_or(*engines.at), *engines.at);
    }
    return expected;
}

void CallQueue::add(const QueuedCall& call, TimePoint now)
{
    auto& waiting = m_calls[call.id];
    waiting.call = call;
    if (call.statedTimeout.count() > 0 && !call.hasPartialAnswer) {
        if (call.excluded.empty()) // not sent before, so new here
            m_callerTimeouts.record(call.route, call.statedTimeout);
        waiting.call.firstEventDeadline -= m_callerTimeouts.age(call.route, call.statedTimeout);
    }
    // A call that comes after its first event was due has returned after a refusal. It is late, so
    // the level does not concern it.
    if (call.hasPartialAnswer || now < waiting.call.firstEventDeadline) {
        const double engineTime = m_engines.engineMilliseconds(call.size);
        m_demand.record(call.priority, engineTime, now);
        const double admittedFraction = m_engines.shares().level(now).fractionOf(call.priority);
        waiting.isDeferred = m_deferral.isDeferred(call.priority, engineTime, admittedFraction) && !call.hasPartialAnswer;
    }
    m_levelCounts.deferred += waiting.isDeferred;
    if (!waiting.isDeferred)
        m_arrivals.record(call.allowedRegions, now, m_engines.relativeSize(call.size));
}

EngineDemand CallQueue::demand(TimePoint now) const
{
    auto demand = m_demand.demand(now);
    for (const auto& [id, waiting] : m_calls) {
        if (!waiting.isAcceptedLate && !waiting.isDeferred)
            demand.add(waiting.call.priority, m_engines.engineMilliseconds(waiting.call.size) / waitingTimeSeconds);
    }
    return demand;
}

void CallQueue::setAllowedRegions(std::uint64_t call, const RegionSet& allowed)
{
    const auto found = m_calls.find(call);
    if (found == m_calls.end())
        return;
    found->second.call.allowedRegions = allowed;
    found->second.couldBeInTime = false;
    found->second.isAcceptedLate = false;
}

void CallQueue::remove(std::uint64_t call) { m_calls.erase(call); }

double CallQueue::ownCallRate(TimePoint now, const RegionSet& allowed) const
{
    const auto known = m_ownRates.find(allowed);
    if (known != m_ownRates.end())
        return known->second;
    const double rate = m_engines.isEmpty(allowed) ? double(expectedEngines(allowed).count) * m_engines.callsPerMillisecondPerEngine() / m_engines.shares().entryCount() : m_engines.ownCallsPerMillisecond(now, allowed);
    m_ownRates[allowed] = rate;
    return rate;
}

double CallQueue::lateCallRate(TimePoint now, const RegionSet& allowed, double rate) const
{
    // What the level leaves free is the room that keeps the queues at the engines short.
    if (!m_level.admitsAll())
        return rate * minLateShare;
    const auto rateOf = [this, now](const RegionSet& regions) { return ownCallRate(now, regions); };
    return std::max(rate * minLateShare, rate - m_arrivals.rate(allowed, rateOf, now));
}

// Includes the engines that are briefly out of service to load weights.
double CallQueue::ownCallRateAfterReloads(TimePoint now, const RegionSet& allowed) const
{
    return std::max(ownCallRate(now, allowed), double(expectedEngines(allowed).count) * m_engines.callsPerMillisecondPerEngine() * m_engines.meanShare(now));
}

double CallQueue::millisecondsUntilEngines(TimePoint now, const RegionSet& allowed) const
{
    if (!m_engines.isEmpty(allowed))
        return double(millisecondsBetween(now, m_engines.nextPlace(now, allowed)));
    const auto at = expectedEngines(allowed).at;
    return at ? double(std::max<std::int64_t>(0, millisecondsBetween(now, *at))) : double(defaultEngineWait.count());
}

bool CallQueue::canBeInTime(const QueuedCall& call, TimePoint now) const
{
    const auto rateOf = [this, now](const RegionSet& regions) { return ownCallRate(now, regions); };
    const double wait = millisecondsUntilEngines(now, call.allowedRegions) + m_inTimeAhead.millisecondsAhead(call.allowedRegions, engineRegions(), rateOf);
    return wait + m_engines.predictIdle(call.size).firstEventMilliseconds <= double(millisecondsBetween(now, call.firstEventDeadline));
}

bool CallQueue::canBeServedLate(const QueuedCall& call, TimePoint now) const
{
    const auto& allowed = call.allowedRegions;
    const bool isNoEngineExpected = m_engines.isEmpty(allowed) && !expectedEngines(allowed).at;
    const auto rateOf = [this, now](const RegionSet& regions) { return lateCallRate(now, regions, ownCallRateAfterReloads(now, regions)); };
    if (isNoEngineExpected || rateOf(allowed) <= 0)
        return false;
    // Late calls run while the engines are full.
    RegionalCalls ahead;
    for (unsigned priority = 0; priority <= EngineDemand::indexOf(call.priority); ++priority)
        ahead.add(m_lateByPriority[priority]);
    const double wait = millisecondsUntilEngines(now, allowed) + ahead.millisecondsAhead(allowed, engineRegions(), rateOf);
    return wait + m_engines.predictBusy(call.size).endMilliseconds * endSafetyFactor < double(millisecondsBetween(now, call.deadline)) * usableTimeShare;
}

// Whether a late call that was accepted lost its turn to more urgent ones for too long.
bool CallQueue::cannotBeServedAnyMore(const QueuedCall& call, TimePoint now) const
{
    const auto rateOf = [this, now](const RegionSet& regions) { return lateCallRate(now, regions, ownCallRateAfterReloads(now, regions)); };
    const double wait = millisecondsUntilEngines(now, call.allowedRegions) + m_lateAhead.millisecondsAhead(call.allowedRegions, engineRegions(), rateOf);
    return wait + m_engines.predictBusy(call.size).endMilliseconds > double(millisecondsBetween(now, call.deadline));
}

Milliseconds CallQueue::timeUntilLevelHasRoom(unsigned priority) const
{
    const double deferredFraction = 1 - m_level.fractionOf(priority);
    return Milliseconds(static_cast<std::int64_t>(deferredFraction / levelRisePerSecond * millisecondsPerSecond));
}

bool CallQueue::takeLateCredit(TimePoint now, const RegionSet& allowed)
{
    auto& credit = m_lateCredits[allowed];
    credit.calls = std::min(maxLateCredits, credit.calls + lateCallRate(now, allowed, ownCallRate(now, allowed)) * double(millisecondsBetween(credit.at, now)));
    credit.at = now;
    if (credit.calls < 1)
        return false;
    credit.calls -= 1;
    return true;
}

CallQueue::Verdict CallQueue::decide(WaitingCall& waiting, std::optional<EngineChoice>& choice, TimePoint now)
{
    const auto& call = waiting.call;
    const bool isLateBelowOthers = !m_level.admitsAll() && (waiting.isDeferred || waiting.isAcceptedLate);
    const bool isContended = !call.hasPartialAnswer && (isLateBelowOthers || m_contending.isEveryRegionWanted(call.allowedRegions, engineRegions()));
    choice = m_engines.choose(call.size, call.excluded, now, isContended, call.allowedRegions);
    if (call.hasPartialAnswer)
        return choice ? Verdict::Send : Verdict::Wait;
    const double idleFirstEvent = m_engines.predictIdle(call.size).firstEventMilliseconds;
    double slack = double(millisecondsBetween(now, call.firstEventDeadline));
    if (!m_level.admitsAll() && call.priority > 0)
        slack = std::min(slack, idleFirstEvent + maxLessUrgentWaitMilliseconds);
    if (!waiting.isDeferred && choice && idleFirstEvent + (choice->prediction.firstEventMilliseconds - idleFirstEvent) * waitSafetyFactor <= slack)
        return Verdict::Send;
    if (!waiting.isDeferred && canBeInTime(call, now)) {
        waiting.couldBeInTime = true;
        m_inTimeAhead.add(call.allowedRegions, m_engines.relativeSize(call.size));
        return Verdict::Wait;
    }
    if (!waiting.isAcceptedLate && !canBeServedLate(call, now))
        return Verdict::Refuse;
    if (waiting.isAcceptedLate && m_hasPriorities && cannotBeServedAnyMore(call, now))
        return Verdict::Refuse;
    const bool wasAcceptedLate = waiting.isAcceptedLate;
    waiting.isAcceptedLate = true;
    if (choice && choice->prediction.firstEventMilliseconds <= idleFirstEvent * maxIdleSlowdown)
        return Verdict::Send;
    if (choice && takeLateCredit(now, call.allowedRegions))
        return Verdict::Send;
    const double size = m_engines.relativeSize(call.size);
    m_lateAhead.add(call.allowedRegions, size);
    if (!wasAcceptedLate)
        m_lateByPriority[EngineDemand::indexOf(call.priority)].add(call.allowedRegions, size);
    return Verdict::Wait;
}

QueueDecisions CallQueue::advance(TimePoint now)
{
    QueueDecisions decisions;
    std::vector<std::uint64_t> order;
    for (const auto& [id, waiting] : m_calls)
        order.push_back(id);
    // Calls that may be in time by priority, the newest first: under overload these have the most
    // time left and the best chance to be in time. Then late ones by priority and deadline.
    const auto sortKey = [this](std::uint64_t id) {
        const auto& waiting = m_calls.at(id);
        return std::make_tuple(!waiting.call.hasPartialAnswer, waiting.isAcceptedLate, waiting.call.priority, waiting.isAcceptedLate ? waiting.call.deadline.time_since_epoch() : -waiting.call.firstEventDeadline.time_since_epoch(), id);
    };
    std::sort(order.begin(), order.end(), [&sortKey](std::uint64_t left, std::uint64_t right) { return sortKey(left) < sortKey(right); });
    m_level = m_engines.shares().level(now);
    m_ownRates.clear();
    m_inTimeAhead.clear();
    m_lateAhead.clear();
    m_contending.clear();
    m_lateByPriority = {};
    m_hasPriorities = std::any_of(m_calls.begin(), m_calls.end(), [this](const auto& entry) { return entry.second.call.priority != m_calls.begin()->second.call.priority; });
    for (const auto& [id, waiting] : m_calls) {
        if (waiting.isAcceptedLate)
            m_lateByPriority[EngineDemand::indexOf(waiting.call.priority)].add(waiting.call.allowedRegions, m_engines.relativeSize(waiting.call.size));
        else if (waiting.couldBeInTime)
            m_contending.add(waiting.call.allowedRegions);
    }
    std::map<std::uint64_t, RegionSet> refusedRegions;
    for (const auto id : order) {
        auto& waiting = m_calls.at(id);
        std::optional<EngineChoice> choice;
        const auto verdict = decide(waiting, choice, now);
        if (verdict == Verdict::Wait)
            continue;
        if (verdict == Verdict::Send) {
            m_engines.recordSend(choice->upstream, id, waiting.call.size, now, waiting.call.allowedRegions);
            decisions.sent.push_back({ id, choice->upstream, choice->prediction });
            m_levelCounts.deferredSent += waiting.isDeferred;
        } else {
            decisions.refused.push_back(id);
            m_levelCounts.deferredRefused += waiting.isDeferred;
            if (waiting.isDeferred)
                decisions.levelRetryAfter[id] = timeUntilLevelHasRoom(waiting.call.priority);
            if (!waiting.call.allowedRegions.isAny())
                refusedRegions[id] = waiting.call.allowedRegions;
        }
        m_calls.erase(id);
    }
    decisions.retryAfter = retryAfter({}, now);
    for (const auto& [id, allowed] : refusedRegions)
        decisions.restrictedRetryAfter[id] = retryAfter(allowed, now);
    m_nextWake = m_calls.empty() ? std::nullopt : std::optional<TimePoint>(now + reviewPeriod);
    return decisions;
}

// When a slot that a call may use should be free, after the calls that wait for it.
Milliseconds CallQueue::retryAfter(const RegionSet& allowed, TimePoint now) const
{
    RegionalCalls waiting;
    for (const auto& [id, call] : m_calls)
        waiting.add(call.call.allowedRegions);
    const auto rateOf = [this, now](const RegionSet& regions) { return ownCallRate(now, regions); };
    const double millisecondsUntilFree = millisecondsUntilEngines(now, allowed) + waiting.millisecondsAhead(allowed, engineRegions(), rateOf);
    return std::max(minRetryAfter, Milliseconds(static_cast<std::int64_t>(millisecondsUntilFree)));
}

std::optional<TimePoint> CallQueue::nextWake() const { return m_nextWake; }

}
