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
    , m_cold(context.description.node, monotonicNow())
    , m_wakeTimer(context.loop)
{
}

void UpstreamAllowances::setEntries(const std::vector<std::string>& ids)
{
    m_limits.setEntries(ids, monotonicNow());
    m_cold.setEntries(ids, monotonicNow());
}

void UpstreamAllowances::setConfiguration(const DeploymentConfiguration& configuration)
{
    std::map<std::string, ColdRule> rules;
    for (const auto& [name, service] : configuration.services) {
        if (service.mayBeCold())
            rules[name] = { service.coldTime, service.coldCallsPerSecond, m_context.description.coldOvershoot, m_context.description.coldSlack, service.engine.has_value() };
    }
    m_cold.setRules(std::move(rules));
}

// Entries refresh the pools at changes only, and most updates change nothing.
void UpstreamAllowances::recordUpdate(const EngineUpdate& update)
{
    if (!update.isAnswering)
        return m_cold.recordOldReport(update.engineAddress, update.report, monotonicNow());
    const bool isChange = m_cold.recordReport(update.engineAddress, update.report, monotonicNow());
    if (isChange && m_cold.hasRules() && m_onChange)
        m_onChange();
}

void UpstreamAllowances::endEvacuation(const std::string& failureDomain)
{
    m_cold.recordEvacuationEnd(failureDomain, monotonicNow());
    if (m_cold.hasRules() && m_onChange)
        m_onChange();
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
        m_onLimit({ *told, std::nullopt });
    if (before != m_limits.callsPerSecond(id))
        changed(*told, "answer");
}

void UpstreamAllowances::recordLimit(const UpstreamLimit& limit)
{
    if (m_limits.merge(limit, monotonicNow()))
        changed(limit, "peer");
}

std::vector<PeerMessage> UpstreamAllowances::receive(const LimitObservation& observation)
{
    const auto now = monotonicNow();
    if (!observation.cold) {
        recordLimit(observation.limit);
        return {};
    }
    const auto& id = observation.cold->upstream;
    const bool wasCold = m_cold.stateOf(id, now).has_value();
    const bool wantsAnswer = m_cold.merge(*observation.cold, now);
    if (wasCold != m_cold.stateOf(id, now).has_value() && m_onChange)
        m_onChange();
    std::vector<PeerMessage> answers;
    if (wantsAnswer) {
        LimitObservation answer;
        answer.cold = m_cold.originNotice(now);
        answers.emplace_back(std::move(answer));
    }
    return answers;
}

void UpstreamAllowances::recordRemoval(const std::string& id)
{
    m_cold.recordRemoval(id, monotonicNow());
    m_notedStates.erase(id);
}

// Logs a change between cold and warm, and announces an upstream that turned cold.
void UpstreamAllowances::noteState(const std::string& id, TimePoint now)
{
    const auto state = m_cold.stateOf(id, now);
    const auto noted = m_notedStates.find(id);
    if (!state) {
        if (noted != m_notedStates.end()) {
            m_notedStates.erase(noted);
            m_context.log.write("upstream.warm", { { "upstream", id } });
        }
        return;
    }
    if (noted != m_notedStates.end() && noted->second == state->reason)
        return;
    const bool isNew = noted == m_notedStates.end();
    m_notedStates[id] = state->reason;
    m_context.metrics.count("upstreams_cold_total", coldReasonName(state->reason));
    m_context.log.write("upstream.cold", { { "upstream", id }, { "reason", coldReasonName(state->reason) }, { "reason_age_ms", std::to_string(millisecondsBetween(state->since, now)) }, { "for_ms", state->until ? std::to_string(millisecondsBetween(now, *state->until)) : "unknown" }, { "calls_per_second", std::to_string(m_cold.callsPerSecond(id, now).value_or(0)) }, { "entries", std::to_string(m_cold.entryCount()) }, { "in_step", m_cold.isInStep(now) ? "true" : "false" } });
    LimitObservation observation;
    observation.cold = isNew ? m_cold.announcement(id, now) : std::nullopt;
    if (observation.cold && m_onLimit)
        m_onLimit(observation);
}

void UpstreamAllowances::wakeAt(TimePoint time, TimePoint now)
{
    const auto at = std::max(time, now + minPlaceDelay);
    if (m_wakeAt && *m_wakeAt > now && *m_wakeAt <= at)
        return;
    m_wakeAt = at;
    m_wakeTimer.expires_at(at);
    m_wakeTimer.async_wait([this](boost::system::error_code error) {
        if (error)
            return;
        m_wakeAt.reset();
        if (m_onChange)
            m_onChange();
    });
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
    const auto now = monotonicNow();
    const bool isCold = m_cold.stateOf(id, now).has_value();
    if (!isCold && !m_limits.callsPerSecond(id))
        return;
    if (isCold)
        m_context.metrics.count("calls_sent_cold_total");
    m_limits.recordSend(id, now);
    m_cold.recordSend(id, now);
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
    const auto place = std::max(m_limits.nextPlace(id, now), m_cold.nextPlace(id, now));
    return isResting(id, now) ? std::max(place, m_restingUntil.at(id)) : place;
}

std::set<std::string> UpstreamAllowances::withoutPlace(const std::string& service)
{
    const auto now = monotonicNow();
    auto upstreams = m_limits.withoutPlace(now);
    const auto& cold = m_cold.upstreamsOf(service);
    for (const auto& id : cold) {
        noteState(id, now);
        if (m_cold.availableCalls(id, now) == std::optional<std::size_t>(0))
            upstreams.insert(id);
    }
    return upstreams;
}

void UpstreamAllowances::applyTo(EnginePool& pool, const std::set<std::string>& engines)
{
    const auto now = monotonicNow();
    std::map<std::string, CallLimit> limits;
    std::set<std::string> coldEngines;
    std::optional<TimePoint> nextPlace;
    for (const auto& id : engines) {
        if (m_cold.hasRules()) {
            noteState(id, now);
            if (const auto change = m_cold.nextChange(id, now))
                wakeAt(*change, now);
        }
        const auto named = m_limits.callsPerSecond(id);
        const auto cold = m_cold.callsPerSecond(id, now);
        if (!named && !cold)
            continue;
        if (cold)
            coldEngines.insert(id);
        constexpr auto unlimited = std::numeric_limits<std::size_t>::max();
        const auto callsPerSecond = std::min(named.value_or(double(unlimited)), cold.value_or(double(unlimited)));
        const auto callsLeft = std::min(m_limits.availableCalls(id, now).value_or(unlimited), m_cold.availableCalls(id, now).value_or(unlimited));
        const auto place = std::max(m_limits.nextPlace(id, now), m_cold.nextPlace(id, now));
        limits[id] = { callsLeft, callsPerSecond / millisecondsPerSecond, place };
        nextPlace = std::min(nextPlace.value_or(place), place);
    }
    pool.shares().setColdEngines(std::move(coldEngines));
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
    m_cold.expire(now);
    if (const auto place = m_limits.firstPlace(now))
        next = std::min(next, std::max(*place, now + minPlaceDelay));
    return next;
}

}
