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
    // Time constant of the decaying count of arrivals.
    constexpr Milliseconds arrivalWindow { 2000 };
    constexpr Milliseconds minRetryAfter { 100 };
    constexpr Milliseconds defaultEngineWait { 1000 };
}

CallQueue::CallQueue(EnginePool& engines)
    : m_engines(engines)
{
}

void CallQueue::setEntryCount(double entries)
{
    m_entryCount = std::max(1.0, entries);
    m_engines.setEntryCount(m_entryCount);
}

void CallQueue::setExpectedEngines(std::optional<TimePoint> at, std::size_t count)
{
    m_expectedEnginesAt = at;
    m_expectedEngineCount = count;
}

void CallQueue::add(const QueuedCall& call, TimePoint now)
{
    m_recentArrivals = arrivalRate(now) * double(arrivalWindow.count()) + 1;
    m_recentArrivalsAt = now;
    auto& queued = m_calls[call.id].call;
    queued = call;
    if (call.statedTimeout.count() == 0 || call.hasPartialAnswer)
        return;
    if (call.excluded.empty()) // not sent before, so new here
        m_callerTimeouts.record(call.route, call.statedTimeout);
    queued.firstEventDeadline -= m_callerTimeouts.age(call.route, call.statedTimeout);
}

void CallQueue::remove(std::uint64_t call) { m_calls.erase(call); }

double CallQueue::arrivalRate(TimePoint now) const
{
    const double age = double(millisecondsBetween(m_recentArrivalsAt, now)) / double(arrivalWindow.count());
    return m_recentArrivals * std::exp(-age) / double(arrivalWindow.count());
}

double CallQueue::ownCallRate() const
{
    const double rate = m_engines.isEmpty() ? double(m_expectedEngineCount) * m_engines.callsPerMillisecondPerEngine() : m_engines.callsPerMillisecond();
    return rate / m_entryCount;
}

double CallQueue::lateCallRate(TimePoint now, double rate) const
{
    return std::max(rate * minLateShare, rate - arrivalRate(now));
}

// Includes the engines that are briefly out of service to load weights.
double CallQueue::ownCallRateAfterReloads() const
{
    return std::max(ownCallRate(), double(m_expectedEngineCount) * m_engines.callsPerMillisecondPerEngine() / m_entryCount);
}

double CallQueue::millisecondsUntilEngines(TimePoint now) const
{
    if (!m_engines.isEmpty())
        return double(millisecondsBetween(now, m_engines.nextPlace(now)));
    return m_expectedEnginesAt ? double(std::max<std::int64_t>(0, millisecondsBetween(now, *m_expectedEnginesAt))) : double(defaultEngineWait.count());
}

bool CallQueue::canBeInTime(const QueuedCall& call, TimePoint now) const
{
    const double rate = ownCallRate();
    const double wait = millisecondsUntilEngines(now) + (rate > 0 ? double(m_inTimeAhead) / rate : 0);
    return wait + m_engines.predictIdle(call.size).firstEventMilliseconds <= double(millisecondsBetween(now, call.firstEventDeadline));
}

bool CallQueue::canBeServedLate(const QueuedCall& call, TimePoint now) const
{
    const bool isNoEngineExpected = m_engines.isEmpty() && !m_expectedEnginesAt;
    const double rate = lateCallRate(now, ownCallRateAfterReloads());
    if (isNoEngineExpected || rate <= 0)
        return false;
    // Late calls run while the engines are full.
    const double wait = millisecondsUntilEngines(now) + double(m_lateAhead) / rate;
    return wait + m_engines.predictBusy(call.size).endMilliseconds * endSafetyFactor < double(millisecondsBetween(now, call.deadline)) * usableTimeShare;
}

bool CallQueue::takeLateCredit(TimePoint now)
{
    m_lateCredits = std::min(maxLateCredits, m_lateCredits + lateCallRate(now, ownCallRate()) * double(millisecondsBetween(m_lateCreditsAt, now)));
    m_lateCreditsAt = now;
    if (m_lateCredits < 1)
        return false;
    m_lateCredits -= 1;
    return true;
}

CallQueue::Verdict CallQueue::decide(WaitingCall& waiting, std::optional<EngineChoice>& choice, TimePoint now)
{
    const auto& call = waiting.call;
    choice = m_engines.choose(call.size, call.excluded, now, m_isContended && !call.hasPartialAnswer);
    if (call.hasPartialAnswer)
        return choice ? Verdict::Send : Verdict::Wait;
    const double slack = double(millisecondsBetween(now, call.firstEventDeadline));
    const double idleFirstEvent = m_engines.predictIdle(call.size).firstEventMilliseconds;
    if (choice && idleFirstEvent + (choice->prediction.firstEventMilliseconds - idleFirstEvent) * waitSafetyFactor <= slack)
        return Verdict::Send;
    if (canBeInTime(call, now)) {
        waiting.couldBeInTime = true;
        ++m_inTimeAhead;
        return Verdict::Wait;
    }
    if (!waiting.isAcceptedLate && !canBeServedLate(call, now))
        return Verdict::Refuse;
    waiting.isAcceptedLate = true;
    if (choice && choice->prediction.firstEventMilliseconds <= idleFirstEvent * maxIdleSlowdown)
        return Verdict::Send;
    if (choice && takeLateCredit(now))
        return Verdict::Send;
    ++m_lateAhead;
    return Verdict::Wait;
}

QueueDecisions CallQueue::advance(TimePoint now)
{
    QueueDecisions decisions;
    std::vector<std::uint64_t> order;
    for (const auto& [id, waiting] : m_calls)
        order.push_back(id);
    // Calls that may be in time, the newest first: under overload these have the most time
    // left and the best chance to be in time. Then late ones by their deadlines.
    const auto sortKey = [this](std::uint64_t id) {
        const auto& waiting = m_calls.at(id);
        return std::make_tuple(!waiting.call.hasPartialAnswer, waiting.isAcceptedLate, waiting.isAcceptedLate ? waiting.call.deadline.time_since_epoch() : -waiting.call.firstEventDeadline.time_since_epoch(), id);
    };
    std::sort(order.begin(), order.end(), [&sortKey](std::uint64_t left, std::uint64_t right) { return sortKey(left) < sortKey(right); });
    m_inTimeAhead = 0;
    m_lateAhead = static_cast<std::size_t>(std::count_if(m_calls.begin(), m_calls.end(), [](const auto& entry) { return entry.second.isAcceptedLate; }));
    m_isContended = std::any_of(m_calls.begin(), m_calls.end(), [](const auto& entry) { return entry.second.couldBeInTime && !entry.second.isAcceptedLate; });
    bool isLateCountReset = false;
    for (const auto id : order) {
        auto& waiting = m_calls.at(id);
        if (waiting.isAcceptedLate && !isLateCountReset) {
            isLateCountReset = true;
            m_lateAhead = 0;
        }
        std::optional<EngineChoice> choice;
        const auto verdict = decide(waiting, choice, now);
        if (verdict == Verdict::Wait)
            continue;
        if (verdict == Verdict::Send) {
            m_engines.recordSend(choice->upstream, id, waiting.call.size, now);
            decisions.sent.push_back({ id, choice->upstream, choice->prediction });
        } else {
            decisions.refused.push_back(id);
        }
        m_calls.erase(id);
    }
    const double rate = ownCallRate();
    const double millisecondsUntilFree = millisecondsUntilEngines(now) + (rate > 0 ? double(m_calls.size()) / rate : 0);
    decisions.retryAfter = std::max(minRetryAfter, Milliseconds(static_cast<std::int64_t>(millisecondsUntilFree)));
    m_nextWake = m_calls.empty() ? std::nullopt : std::optional<TimePoint>(now + reviewPeriod);
    return decisions;
}

std::optional<TimePoint> CallQueue::nextWake() const { return m_nextWake; }

}
