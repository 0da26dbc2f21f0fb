#include "UpstreamAllowances.h"

namespace hyssopwick {

namespace {
    // Longer waits are not believed, so that a malformed answer cannot take an upstream out of service.
    constexpr Milliseconds maxRest { 30000 };
    // Shorter times between places are not waited for one by one.
    constexpr Milliseconds minPlaceDelay { 50 };
    constexpr double millisecondsPerSecond = 1000;
}

UpstreamAllowances::UpstreamAllowances(GatewayContext& context)
    : m_context(context)
    , m_limits(context.description.node)
{
}

void UpstreamAllowances::recordRest(const std::string& id, const AnswerDescription& answer)
{
    if (answer.hasUnreadableRetryAfter) {
        m_context.metrics.count("retry_after_unreadable_total");
        m_context.log.write("upstream.retry-after-unreadable", { { "request", answer.requestId.empty() ? "unknown" : answer.requestId }, { "upstream", id } });
    }
    const auto time = answer.retryAfter.value_or(Milliseconds(0));
    if (time.count() <= 0)
        return;
    const auto bounded = std::min(time, maxRest);
    if (bounded != time)
        m_context.metrics.count("rests_bounded_total");
    const auto until = monotonicNow() + bounded;
    auto& restingUntil = m_restingUntil[id];
    restingUntil = std::max(restingUntil, until);
    m_context.log.write("upstream.resting", { { "upstream", id }, { "for_ms", std::to_string(bounded.count()) }, { "asked_ms", std::to_string(time.count()) } });
    if (m_onChange)
        m_onChange();
}

void UpstreamAllowances::recordLimit(const std::string& id, const AnswerDescription& answer, TimePoint sentAt)
{
    if (answer.hasUnreadableCallLimit) {
        m_context.metrics.count("call_limits_unreadable_total");
        m_context.log.write("upstream.limit-unreadable", { { "request", answer.requestId.empty() ? "unknown" : answer.requestId }, { "upstream", id } });
        return;
    }
    if (!answer.callLimit && answer.requestId.empty())
        return; // not shown to be that upstream's answer
    const auto before = m_limits.callsPerSecond(id);
    const auto told = m_limits.recordAnswer(id, answer.callLimit, sentAt, monotonicNow());
    if (!told)
        return;
    if (m_onLimit)
        m_onLimit(*told);
    if (before != m_limits.callsPerSecond(id))
        changed(*told, "answer");
}

void UpstreamAllowances::recordLimit(const UpstreamLimit& limit)
{
    if (m_limits.merge(limit, monotonicNow()))
        changed(limit, "peer");
}

void UpstreamAllowances::changed(const UpstreamLimit& limit, const char* source)
{
    m_context.metrics.count("upstreams_limited_total", source);
    m_context.log.write("upstream.limited", { { "upstream", limit.upstream }, { "calls_per_second", limit.callsPerSecond ? std::to_string(*limit.callsPerSecond) : "none" }, { "source", source } });
    if (m_onChange)
        m_onChange();
}

void UpstreamAllowances::recordSend(const std::string& id)
{
    if (!m_limits.callsPerSecond(id))
        return;
    m_limits.recordSend(id, monotonicNow());
    if (m_onChange)
        m_onChange();
}

bool UpstreamAllowances::isResting(const std::string& id, TimePoint now) const
{
    const auto resting = m_restingUntil.find(id);
    return resting != m_restingUntil.end() && now < resting->second;
}

TimePoint UpstreamAllowances::availableAt(const std::string& id, TimePoint now) const
{
    const auto place = m_limits.nextPlace(id, now);
    return isResting(id, now) ? std::max(place, m_restingUntil.at(id)) : place;
}

void UpstreamAllowances::applyTo(EnginePool& pool, const std::set<std::string>& engines) const
{
    const auto now = monotonicNow();
    std::map<std::string, CallLimit> limits;
    std::optional<TimePoint> nextPlace;
    for (const auto& id : engines) {
        const auto callsPerSecond = m_limits.callsPerSecond(id);
        if (!callsPerSecond)
            continue;
        const auto place = m_limits.nextPlace(id, now);
        limits[id] = { m_limits.availableCalls(id, now).value_or(0), *callsPerSecond / millisecondsPerSecond, place };
        nextPlace = std::min(nextPlace.value_or(place), place);
    }
    pool.setCallLimits(std::move(limits), nextPlace);
}

TimePoint UpstreamAllowances::expire(TimePoint now)
{
    auto next = TimePoint::max();
    for (auto resting = m_restingUntil.begin(); resting != m_restingUntil.end();) {
        if (resting->second <= now) {
            resting = m_restingUntil.erase(resting);
            continue;
        }
        next = std::min(next, resting->second);
        ++resting;
    }
    m_limits.expire(now);
    if (const auto place = m_limits.firstPlace(now))
        next = std::min(next, std::max(*place, now + minPlaceDelay));
    return next;
}

}
