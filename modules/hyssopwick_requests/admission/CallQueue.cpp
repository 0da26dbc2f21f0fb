#include "CallQueue.h"

#include <algorithm>
#include <cmath>

namespace hyssopwick {

namespace {
    // Between two reports of an engine (200 ms) nothing is learnt unless a call ends.
    constexpr Milliseconds reviewPeriod { 50 };
    // A late call goes to an engine that is expected to begin it this soon, in parts of
    // the time that an idle engine takes: more would delay calls that are in time.
    constexpr double spareFactor = 1.4;
    // Predictions of the wait before a call may be short by this factor; half of the calls
    // that are sent at the edge would end up late.
    constexpr double waitSafety = 1.35;
    // Predictions of the end may be short by this factor.
    constexpr double endSafety = 1.3;
    // Part of the time left that a late call may be expected to take.
    constexpr double worthWaiting = 0.9;
    // Part of the engines' rate that late calls get even when calls in time could take all.
    constexpr double leastLateShare = 0.08;
    constexpr double mostLateTurns = 3;
    // Over which arrivals are counted.
    constexpr Milliseconds arrivalWindow { 2000 };
    constexpr Milliseconds smallestRetryAfter { 100 };
    constexpr Milliseconds unknownReturn { 1000 };
}

CallQueue::CallQueue(EnginePool& engines)
    : m_engines(engines)
{
}

void CallQueue::setEntryCount(std::size_t entries)
{
    m_fleetSize = std::max<std::size_t>(1, entries);
    m_engines.setEntryCount(m_fleetSize);
}

void CallQueue::setExpectedEngines(std::optional<TimePoint> at, std::size_t count)
{
    m_enginesExpectedAt = at;
    m_enginesExpected = count;
}

void CallQueue::add(const QueuedCall& call, TimePoint now)
{
    m_arrivals = arrivalRate(now) * double(arrivalWindow.count()) + 1;
    m_arrivalsAt = now;
    m_calls[call.id].call = call;
}

void CallQueue::remove(std::uint64_t call) { m_calls.erase(call); }

double CallQueue::arrivalRate(TimePoint now) const
{
    const double age = double(millisecondsBetween(m_arrivalsAt, now)) / double(arrivalWindow.count());
    return m_arrivals * std::exp(-age) / double(arrivalWindow.count());
}

double CallQueue::ownRate() const
{
    const double rate = m_engines.isEmpty() ? double(m_enginesExpected) * m_engines.callsPerMillisecondPerEngine() : m_engines.callsPerMillisecond();
    return rate / double(m_fleetSize);
}

double CallQueue::lateRate(TimePoint now, double rate) const
{
    return std::max(rate * leastLateShare, rate - arrivalRate(now));
}

// With the engines that are out of service for a moment, to load weights.
double CallQueue::wholeRate() const
{
    return std::max(ownRate(), double(m_enginesExpected) * m_engines.callsPerMillisecondPerEngine() / double(m_fleetSize));
}

double CallQueue::untilEngines(TimePoint now) const
{
    if (!m_engines.isEmpty())
        return 0;
    return m_enginesExpectedAt ? double(std::max<std::int64_t>(0, millisecondsBetween(now, *m_enginesExpectedAt))) : double(unknownReturn.count());
}

bool CallQueue::canBeInTime(const QueuedCall& call, TimePoint now) const
{
    const double rate = ownRate();
    const double wait = untilEngines(now) + (rate > 0 ? double(m_inTimeAhead) / rate : 0);
    return wait + m_engines.predictIdle(call.size).firstEventMilliseconds <= double(millisecondsBetween(now, call.firstEventDeadline));
}

bool CallQueue::isServableLate(const QueuedCall& call, TimePoint now) const
{
    const bool isHopeless = m_engines.isEmpty() && !m_enginesExpectedAt;
    const double rate = lateRate(now, wholeRate());
    if (isHopeless || rate <= 0)
        return false;
    const double wait = untilEngines(now) + double(m_lateAhead) / rate;
    return wait + m_engines.predictIdle(call.size).endMilliseconds * endSafety < double(millisecondsBetween(now, call.deadline)) * worthWaiting;
}

bool CallQueue::takeLateTurn(TimePoint now)
{
    m_lateTurns = std::min(mostLateTurns, m_lateTurns + lateRate(now, ownRate()) * double(millisecondsBetween(m_lateTurnsAt, now)));
    m_lateTurnsAt = now;
    if (m_lateTurns < 1)
        return false;
    m_lateTurns -= 1;
    return true;
}

CallQueue::Verdict CallQueue::decide(Waiting& waiting, std::optional<EngineChoice>& choice, TimePoint now)
{
    const auto& call = waiting.call;
    choice = m_engines.choose(call.size, call.excluded, now, m_isContended && !call.hasPartialAnswer);
    if (call.hasPartialAnswer)
        return choice ? Verdict::Send : Verdict::Wait;
    const double slack = double(millisecondsBetween(now, call.firstEventDeadline));
    const double idle = m_engines.predictIdle(call.size).firstEventMilliseconds;
    if (choice && idle + (choice->prediction.firstEventMilliseconds - idle) * waitSafety <= slack)
        return Verdict::Send;
    if (canBeInTime(call, now)) {
        waiting.isJudgedInTime = true;
        ++m_inTimeAhead;
        return Verdict::Wait;
    }
    if (!waiting.isJudgedLate && !isServableLate(call, now))
        return Verdict::Refuse;
    waiting.isJudgedLate = true;
    if (choice && choice->prediction.firstEventMilliseconds <= idle * spareFactor)
        return Verdict::Send;
    if (choice && takeLateTurn(now))
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
    // Calls that may be in time, the newest first: when there are too many, those have the
    // most time left and are the surest to make it. Then late ones by their deadlines.
    const auto rank = [this](std::uint64_t id) {
        const auto& waiting = m_calls.at(id);
        return std::make_tuple(!waiting.call.hasPartialAnswer, waiting.isJudgedLate, waiting.isJudgedLate ? waiting.call.deadline.time_since_epoch() : -waiting.call.firstEventDeadline.time_since_epoch(), id);
    };
    std::sort(order.begin(), order.end(), [&rank](std::uint64_t left, std::uint64_t right) { return rank(left) < rank(right); });
    m_inTimeAhead = 0;
    m_lateAhead = static_cast<std::size_t>(std::count_if(m_calls.begin(), m_calls.end(), [](const auto& entry) { return entry.second.isJudgedLate; }));
    m_isContended = std::any_of(m_calls.begin(), m_calls.end(), [](const auto& entry) { return entry.second.isJudgedInTime && !entry.second.isJudgedLate; });
    bool isLateCounted = false;
    for (const auto id : order) {
        auto& waiting = m_calls.at(id);
        if (waiting.isJudgedLate && !isLateCounted) {
            isLateCounted = true;
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
    const double rate = ownRate();
    const double untilFree = untilEngines(now) + (rate > 0 ? double(m_calls.size()) / rate : 0);
    decisions.retryAfter = std::max(smallestRetryAfter, Milliseconds(static_cast<std::int64_t>(untilFree)));
    m_nextWake = m_calls.empty() ? std::nullopt : std::optional<TimePoint>(now + reviewPeriod);
    return decisions;
}

std::optional<TimePoint> CallQueue::nextWake() const { return m_nextWake; }

}
