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
    constexpr Milliseconds minRetryAfter { 100 };
    constexpr Milliseconds defaultEngineWait { 1000 };
}

Milliseconds QueueDecisions::retryAfterOf(std::uint64_t call) const
{
    const auto restricted = restrictedRetryAfter.find(call);
    return restricted == restrictedRetryAfter.end() ? retryAfter : restricted->second;
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
    m_arrivals.record(call.allowedRegions, now);
    auto& queued = m_calls[call.id].call;
    queued = call;
    if (call.statedTimeout.count() == 0 || call.hasPartialAnswer)
        return;
    if (call.excluded.empty()) // not sent before, so new here
        m_callerTimeouts.record(call.route, call.statedTimeout);
    queued.firstEventDeadline -= m_callerTimeouts.age(call.route, call.statedTimeout);
}

void CallQueue::setAllowedRegions(std::uint64_t call, const RegionSet& allowed)
{
    const auto found = m_calls.find(call);
    if (found == m_calls.end())
        return;
    auto reviewed = found->second.call;
    reviewed.allowedRegions = allowed;
    found->second = { std::move(reviewed) };
}

void CallQueue::remove(std::uint64_t call) { m_calls.erase(call); }

double CallQueue::ownCallRate(const RegionSet& allowed) const
{
    const double rate = m_engines.isEmpty(allowed) ? double(expectedEngines(allowed).count) * m_engines.callsPerMillisecondPerEngine() : m_engines.callsPerMillisecond(allowed);
    return rate / m_entryCount;
}

double CallQueue::lateCallRate(TimePoint now, const RegionSet& allowed, double rate) const
{
    const auto rateOf = [this](const RegionSet& regions) { return ownCallRate(regions); };
    return std::max(rate * minLateShare, rate - m_arrivals.rate(allowed, rateOf, now));
}

// Includes the engines that are briefly out of service to load weights.
double CallQueue::ownCallRateAfterReloads(const RegionSet& allowed) const
{
    return std::max(ownCallRate(allowed), double(expectedEngines(allowed).count) * m_engines.callsPerMillisecondPerEngine() / m_entryCount);
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
    const auto rateOf = [this](const RegionSet& regions) { return ownCallRate(regions); };
    const double wait = millisecondsUntilEngines(now, call.allowedRegions) + m_inTimeAhead.millisecondsAhead(call.allowedRegions, engineRegions(), rateOf);
    return wait + m_engines.predictIdle(call.size).firstEventMilliseconds <= double(millisecondsBetween(now, call.firstEventDeadline));
}

bool CallQueue::canBeServedLate(const QueuedCall& call, TimePoint now) const
{
    const auto& allowed = call.allowedRegions;
    const bool isNoEngineExpected = m_engines.isEmpty(allowed) && !expectedEngines(allowed).at;
    const auto rateOf = [this, now](const RegionSet& regions) { return lateCallRate(now, regions, ownCallRateAfterReloads(regions)); };
    if (isNoEngineExpected || rateOf(allowed) <= 0)
        return false;
    // Late calls run while the engines are full.
    const double wait = millisecondsUntilEngines(now, allowed) + m_lateAhead.millisecondsAhead(allowed, engineRegions(), rateOf);
    return wait + m_engines.predictBusy(call.size).endMilliseconds * endSafetyFactor < double(millisecondsBetween(now, call.deadline)) * usableTimeShare;
}

bool CallQueue::takeLateCredit(TimePoint now, const RegionSet& allowed)
{
    auto& credit = m_lateCredits[allowed];
    credit.calls = std::min(maxLateCredits, credit.calls + lateCallRate(now, allowed, ownCallRate(allowed)) * double(millisecondsBetween(credit.at, now)));
    credit.at = now;
    if (credit.calls < 1)
        return false;
    credit.calls -= 1;
    return true;
}

CallQueue::Verdict CallQueue::decide(WaitingCall& waiting, std::optional<EngineChoice>& choice, TimePoint now)
{
    const auto& call = waiting.call;
    const bool isContended = !call.hasPartialAnswer && m_contending.isEveryRegionWanted(call.allowedRegions, engineRegions());
    choice = m_engines.choose(call.size, call.excluded, now, isContended, call.allowedRegions);
    if (call.hasPartialAnswer)
        return choice ? Verdict::Send : Verdict::Wait;
    const double slack = double(millisecondsBetween(now, call.firstEventDeadline));
    const double idleFirstEvent = m_engines.predictIdle(call.size).firstEventMilliseconds;
    if (choice && idleFirstEvent + (choice->prediction.firstEventMilliseconds - idleFirstEvent) * waitSafetyFactor <= slack)
        return Verdict::Send;
    if (canBeInTime(call, now)) {
        waiting.couldBeInTime = true;
        m_inTimeAhead.add(call.allowedRegions);
        return Verdict::Wait;
    }
    if (!waiting.isAcceptedLate && !canBeServedLate(call, now))
        return Verdict::Refuse;
    waiting.isAcceptedLate = true;
    if (choice && choice->prediction.firstEventMilliseconds <= idleFirstEvent * maxIdleSlowdown)
        return Verdict::Send;
    if (choice && takeLateCredit(now, call.allowedRegions))
        return Verdict::Send;
    m_lateAhead.add(call.allowedRegions);
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
    m_inTimeAhead.clear();
    m_lateAhead.clear();
    m_contending.clear();
    for (const auto& [id, waiting] : m_calls) {
        if (waiting.isAcceptedLate)
            m_lateAhead.add(waiting.call.allowedRegions);
        else if (waiting.couldBeInTime)
            m_contending.add(waiting.call.allowedRegions);
    }
    std::map<std::uint64_t, RegionSet> refusedRegions;
    bool isLateCountReset = false;
    for (const auto id : order) {
        auto& waiting = m_calls.at(id);
        if (waiting.isAcceptedLate && !isLateCountReset) {
            isLateCountReset = true;
            m_lateAhead.clear();
        }
        std::optional<EngineChoice> choice;
        const auto verdict = decide(waiting, choice, now);
        if (verdict == Verdict::Wait)
            continue;
        if (verdict == Verdict::Send) {
            m_engines.recordSend(choice->upstream, id, waiting.call.size, now, waiting.call.allowedRegions);
            decisions.sent.push_back({ id, choice->upstream, choice->prediction });
        } else {
            decisions.refused.push_back(id);
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
    const auto rateOf = [this](const RegionSet& regions) { return ownCallRate(regions); };
    const double millisecondsUntilFree = millisecondsUntilEngines(now, allowed) + waiting.millisecondsAhead(allowed, engineRegions(), rateOf);
    return std::max(minRetryAfter, Milliseconds(static_cast<std::int64_t>(millisecondsUntilFree)));
}

std::optional<TimePoint> CallQueue::nextWake() const { return m_nextWake; }

}
