#include "CallQueue.h"

#include <algorithm>

namespace hyssopwick {

namespace {
    // Between two reports of an engine (200 ms) nothing is learnt unless a call ends.
    constexpr Milliseconds reviewPeriod { 50 };
    // A late call goes to an engine that is expected to begin it this soon, in parts of
    // the time that an idle engine takes: more would delay calls that are in time.
    constexpr double spareFactor = 1.6;
    // Part of the predicted time to the end by which predictions may be short.
    constexpr double endSafety = 1.3;
    // Waiting longer than this for engines that are not there helps few callers.
    constexpr double worthWaiting = 0.9;
    constexpr Milliseconds smallestRetryAfter { 100 };
    constexpr Milliseconds unknownReturn { 1000 };
}

CallQueue::CallQueue(EnginePool& engines)
    : m_engines(engines)
{
}

void CallQueue::setFleetSize(std::size_t entries)
{
    m_fleetSize = std::max<std::size_t>(1, entries);
    m_engines.setFleetSize(m_fleetSize);
}

void CallQueue::add(const QueuedCall& call) { m_calls[call.id] = { call, true }; }

void CallQueue::remove(std::uint64_t call) { m_calls.erase(call); }

Milliseconds CallQueue::expectedWait(std::size_t ahead, TimePoint now) const
{
    double wait = 0;
    if (m_engines.isEmpty())
        wait = m_enginesExpectedAt ? double(std::max<std::int64_t>(0, millisecondsBetween(now, *m_enginesExpectedAt))) : double(unknownReturn.count());
    const double ownRate = m_engines.callsPerMillisecond() / double(m_fleetSize);
    if (ahead > 0 && ownRate > 0)
        wait += double(ahead) / ownRate;
    return Milliseconds(static_cast<std::int64_t>(wait));
}

bool CallQueue::isServable(const Waiting& waiting, std::size_t ahead, TimePoint now) const
{
    const bool isHopeless = m_engines.isEmpty() && !m_enginesExpectedAt;
    if (isHopeless)
        return false;
    const auto idle = m_engines.predictIdle(waiting.call.size);
    const double left = double(millisecondsBetween(now, waiting.call.deadline));
    return double(expectedWait(ahead, now).count()) + idle.endMilliseconds * endSafety < left * worthWaiting;
}

TimePoint CallQueue::lastMoment(const QueuedCall& call) const
{
    const auto idle = m_engines.predictIdle(call.size);
    return call.deadline - Milliseconds(static_cast<std::int64_t>(idle.endMilliseconds * endSafety * endSafety));
}

std::optional<EngineChoice> CallQueue::choose(const Waiting& waiting, TimePoint now)
{
    const auto& call = waiting.call;
    auto choice = m_engines.choose(call.size, call.excluded, now);
    if (!choice)
        return std::nullopt;
    const auto firstEvent = now + Milliseconds(static_cast<std::int64_t>(choice->prediction.firstEventMilliseconds));
    if (firstEvent <= call.onTimeBy || now >= lastMoment(call))
        return choice;
    const bool isLate = now + Milliseconds(static_cast<std::int64_t>(m_engines.predictIdle(call.size).firstEventMilliseconds)) > call.onTimeBy;
    const double spare = m_engines.predictIdle(call.size).firstEventMilliseconds * spareFactor;
    if (isLate && choice->prediction.firstEventMilliseconds <= spare)
        return choice;
    return std::nullopt;
}

QueueDecisions CallQueue::advance(TimePoint now)
{
    QueueDecisions decisions;
    std::vector<std::uint64_t> order;
    for (const auto& [id, waiting] : m_calls)
        order.push_back(id);
    // Calls in time by when they are due, then late ones by when they are given up.
    const auto rank = [this, now](std::uint64_t id) {
        const auto& call = m_calls.at(id).call;
        const bool isLate = now > call.onTimeBy;
        return std::make_tuple(isLate && now < lastMoment(call), isLate ? call.deadline : call.onTimeBy, id);
    };
    std::sort(order.begin(), order.end(), [&rank](std::uint64_t left, std::uint64_t right) { return rank(left) < rank(right); });
    std::size_t ahead = 0;
    for (const auto id : order) {
        auto& waiting = m_calls.at(id);
        if (auto choice = choose(waiting, now)) {
            m_engines.recordSend(choice->upstream, id, waiting.call.size, now);
            decisions.sent.push_back({ id, choice->upstream, choice->prediction });
            m_calls.erase(id);
            continue;
        }
        if (waiting.isNew && !isServable(waiting, ahead, now)) {
            decisions.refused.push_back(id);
            m_calls.erase(id);
            continue;
        }
        waiting.isNew = false;
        ++ahead;
    }
    decisions.retryAfter = std::max(smallestRetryAfter, expectedWait(ahead, now));
    m_nextWake = m_calls.empty() ? std::nullopt : std::optional<TimePoint>(now + reviewPeriod);
    return decisions;
}

std::optional<TimePoint> CallQueue::nextWake() const { return m_nextWake; }

}
