#include "CallQueue.h"

#include <algorithm>
#include <cmath>
#include <numeric>

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
    // Time constant of the decaying count of arrivals.
    constexpr Milliseconds arrivalWindow { 2000 };
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
    const auto found = levelRetryAfter.find(call);
    return found == levelRetryAfter.end() ? retryAfter : std::max(retryAfter, found->second);
}

CallQueue::CallQueue(EnginePool& engines)
    : m_engines(engines)
{
}

void CallQueue::setEntryCount(double entries) { m_engines.shares().setEntryCount(std::max(1.0, entries)); }

void CallQueue::setExpectedEngines(std::optional<TimePoint> at, std::size_t count)
{
    m_expectedEnginesAt = at;
    m_expectedEngineCount = count;
}

void CallQueue::add(const QueuedCall& call, TimePoint now)
{
    const double engineTime = m_engines.engineMilliseconds(call.size);
    auto& waiting = m_calls[call.id];
    waiting.call = call;
    // A call that comes after its first event was due has returned after a refusal. It is late, so
    // the level does not concern it.
    if (call.hasPartialAnswer || now < call.firstEventDeadline) {
        m_demand.record(call.priority, engineTime, now);
        const double admittedFraction = m_engines.shares().level(now).fractionOf(call.priority);
        waiting.isDeferred = m_deferral.isDeferred(call.priority, engineTime, admittedFraction) && !call.hasPartialAnswer;
    }
    if (waiting.isDeferred) {
        ++m_levelCounts.deferred;
        return;
    }
    m_recentArrivals = arrivalRate(now) * double(arrivalWindow.count()) + m_engines.relativeSize(call.size);
    m_recentArrivalsAt = now;
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

void CallQueue::remove(std::uint64_t call) { m_calls.erase(call); }

double CallQueue::arrivalRate(TimePoint now) const
{
    const double age = double(millisecondsBetween(m_recentArrivalsAt, now)) / double(arrivalWindow.count());
    return m_recentArrivals * std::exp(-age) / double(arrivalWindow.count());
}

double CallQueue::ownCallRate(TimePoint now) const
{
    if (m_engines.isEmpty())
        return double(m_expectedEngineCount) * m_engines.callsPerMillisecondPerEngine() / m_engines.shares().entryCount();
    return m_engines.ownCallsPerMillisecond(now);
}

double CallQueue::lateCallRate(TimePoint now, double rate) const
{
    // What the level leaves free is the room that keeps the queues at the engines short.
    if (!m_level.admitsAll())
        return rate * minLateShare;
    return std::max(rate * minLateShare, rate - arrivalRate(now));
}

// Includes the engines that are briefly out of service to load weights.
double CallQueue::ownCallRateAfterReloads(TimePoint now) const
{
    return std::max(ownCallRate(now), double(m_expectedEngineCount) * m_engines.callsPerMillisecondPerEngine() * m_engines.meanShare(now));
}

double CallQueue::millisecondsUntilEngines(TimePoint now) const
{
    if (!m_engines.isEmpty())
        return double(millisecondsBetween(now, m_engines.nextPlace(now)));
    return m_expectedEnginesAt ? double(std::max<std::int64_t>(0, millisecondsBetween(now, *m_expectedEnginesAt))) : double(defaultEngineWait.count());
}

bool CallQueue::canBeInTime(const QueuedCall& call, TimePoint now) const
{
    const double rate = m_ownRate;
    const double wait = millisecondsUntilEngines(now) + (rate > 0 ? m_inTimeAhead / rate : 0);
    return wait + m_engines.predictIdle(call.size).firstEventMilliseconds <= double(millisecondsBetween(now, call.firstEventDeadline));
}

bool CallQueue::canBeServedLate(const QueuedCall& call, TimePoint now) const
{
    const bool isNoEngineExpected = m_engines.isEmpty() && !m_expectedEnginesAt;
    const double rate = lateCallRate(now, m_ownRateAfterReloads);
    if (isNoEngineExpected || rate <= 0)
        return false;
    // Late calls run while the engines are full.
    const auto end = m_lateByPriority.begin() + static_cast<std::ptrdiff_t>(EngineDemand::indexOf(call.priority)) + 1;
    const double wait = millisecondsUntilEngines(now) + std::accumulate(m_lateByPriority.begin(), end, 0.0) / rate;
    return wait + m_engines.predictBusy(call.size).endMilliseconds * endSafetyFactor < double(millisecondsBetween(now, call.deadline)) * usableTimeShare;
}

// Whether a late call that was accepted lost its turn to more urgent ones for too long.
bool CallQueue::cannotBeServedAnyMore(const QueuedCall& call, TimePoint now) const
{
    const double rate = lateCallRate(now, m_ownRateAfterReloads);
    const double wait = millisecondsUntilEngines(now) + (rate > 0 ? m_lateAhead / rate : 0);
    return wait + m_engines.predictBusy(call.size).endMilliseconds > double(millisecondsBetween(now, call.deadline));
}

Milliseconds CallQueue::timeUntilLevelHasRoom(unsigned priority) const
{
    const double deferredFraction = 1 - m_level.fractionOf(priority);
    return Milliseconds(static_cast<std::int64_t>(deferredFraction / levelRisePerSecond * millisecondsPerSecond));
}

bool CallQueue::takeLateCredit(TimePoint now)
{
    m_lateCredits = std::min(maxLateCredits, m_lateCredits + lateCallRate(now, m_ownRate) * double(millisecondsBetween(m_lateCreditsAt, now)));
    m_lateCreditsAt = now;
    if (m_lateCredits < 1)
        return false;
    m_lateCredits -= 1;
    return true;
}

CallQueue::Verdict CallQueue::decide(WaitingCall& waiting, std::optional<EngineChoice>& choice, TimePoint now)
{
    const auto& call = waiting.call;
    const bool isLateBelowOthers = !m_level.admitsAll() && (waiting.isDeferred || waiting.isAcceptedLate);
    choice = m_engines.choose(call.size, call.excluded, now, (m_isContended || isLateBelowOthers) && !call.hasPartialAnswer);
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
        m_inTimeAhead += m_engines.relativeSize(call.size);
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
    if (choice && takeLateCredit(now))
        return Verdict::Send;
    const double size = m_engines.relativeSize(call.size);
    m_lateAhead += size;
    if (!wasAcceptedLate)
        m_lateByPriority[EngineDemand::indexOf(call.priority)] += size;
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
    m_ownRate = ownCallRate(now);
    m_ownRateAfterReloads = ownCallRateAfterReloads(now);
    m_inTimeAhead = 0;
    m_lateAhead = 0;
    m_lateByPriority.fill(0);
    for (const auto& [id, waiting] : m_calls) {
        if (waiting.isAcceptedLate)
            m_lateByPriority[EngineDemand::indexOf(waiting.call.priority)] += m_engines.relativeSize(waiting.call.size);
    }
    m_hasPriorities = std::any_of(m_calls.begin(), m_calls.end(), [this](const auto& entry) { return entry.second.call.priority != m_calls.begin()->second.call.priority; });
    m_isContended = std::any_of(m_calls.begin(), m_calls.end(), [](const auto& entry) { return entry.second.couldBeInTime && !entry.second.isAcceptedLate; });
    for (const auto id : order) {
        auto& waiting = m_calls.at(id);
        std::optional<EngineChoice> choice;
        const auto verdict = decide(waiting, choice, now);
        if (verdict == Verdict::Wait)
            continue;
        if (verdict == Verdict::Send) {
            m_engines.recordSend(choice->upstream, id, waiting.call.size, now);
            decisions.sent.push_back({ id, choice->upstream, choice->prediction });
            m_levelCounts.deferredSent += waiting.isDeferred;
        } else {
            decisions.refused.push_back(id);
            m_levelCounts.deferredRefused += waiting.isDeferred;
            if (waiting.isDeferred)
                decisions.levelRetryAfter[id] = timeUntilLevelHasRoom(waiting.call.priority);
        }
        m_calls.erase(id);
    }
    const double millisecondsUntilFree = millisecondsUntilEngines(now) + (m_ownRate > 0 ? double(m_calls.size()) / m_ownRate : 0);
    decisions.retryAfter = std::max(minRetryAfter, Milliseconds(static_cast<std::int64_t>(millisecondsUntilFree)));
    m_nextWake = m_calls.empty() ? std::nullopt : std::optional<TimePoint>(now + reviewPeriod);
    return decisions;
}

std::optional<TimePoint> CallQueue::nextWake() const { return m_nextWake; }

}
