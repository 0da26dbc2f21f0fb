#include "ColdUpstreams.h"

#include <algorithm>

namespace hyssopwick {

namespace {
    // Agents send updates at least twice a second.
    constexpr Milliseconds maxSilence { 1500 };
    // Longer than an outage of the store in which registrations are lost and written again.
    constexpr Milliseconds memory { 120000 };
    // A longer time in a registration is malformed.
    constexpr Milliseconds maxColdLeft { 60000 };
    constexpr Milliseconds minPlaceLifetime { 20 };
    constexpr Milliseconds maxPlaceLifetime { 1000 };
    // Unused places take up this part of what the rule allows beyond the limit; the rest is for calls
    // that are on the way for a time, and for entry VMs that know other members than others.
    constexpr double unusedPart = 0.5;
    constexpr double millisecondsPerSecond = 1000;
    // Entry VMs without an agreed origin use one of so many of their places. Their places are as if at random:
    // 360 entry VMs that all count apart sent 12 calls in a second at most to an upstream that takes 14, where
    // 26 are allowed (simulation).
    constexpr std::size_t apartFactor = 3;
    // An entry VM that starts, or learns of many others, knows the rest after this: registrations arrive
    // within 1 s, and members tell each other of further ones each 0.2 to 0.5 s.
    constexpr Milliseconds settlingTime { 2000 };
    constexpr double largeGrowth = 1.25;
    // Until then, as many entry VMs as this may be there: 360 that start together and know a few
    // others send 13 calls/s on average to an upstream that takes 14.
    constexpr std::size_t minUnsettledTurns = 128;
    // With a tenth of the messages lost, one announcement arrives all the same.
    constexpr std::size_t announcers = 3;
    // A datagram each, to one entry VM each 0.4 s.
    constexpr std::size_t maxNotices = 8;
    // Places at different upstreams are apart by up to this.
    constexpr std::uint64_t originSpreadMilliseconds = 60000;
    constexpr std::size_t turnSteps = 4;

    // Entry VMs that know slightly different numbers of entry VMs use the same number of turns: it is
    // rounded up to one of a few steps in each power of two. At most a fifth of the turns is nobody's.
    std::size_t turnsFor(std::size_t entryCount)
    {
        std::size_t step = 1;
        while (step * turnSteps * 2 <= entryCount)
            step *= 2;
        return (entryCount + step - 1) / step * step;
    }

    // In any second come at most the places of that second, those unused before, and one.
    Milliseconds placeLifetime(const ColdRule& rule)
    {
        const double spareCalls = (rule.overshoot - 1) * rule.callsPerSecond + rule.slack - 1;
        const double lifetime = spareCalls / rule.callsPerSecond * millisecondsPerSecond * unusedPart;
        return Milliseconds(static_cast<std::int64_t>(std::clamp(lifetime, double(minPlaceLifetime.count()), double(maxPlaceLifetime.count()))));
    }
}

ColdUpstreams::ColdUpstreams(std::string self, TimePoint start)
    : m_self(std::move(self))
    , m_origin(start)
    , m_membersSettledAt(start + settlingTime)
{
}

// The order is by hash, so that entry VMs that are cut off together do not have places in a row.
void ColdUpstreams::setEntries(const std::vector<std::string>& ids, TimePoint now)
{
    const auto own = stableHash(m_self);
    m_position = 0;
    m_entryCount = 1;
    for (const auto& id : ids) {
        const auto hash = stableHash(id);
        m_position += hash < own || (hash == own && id < m_self);
        m_entryCount += id != m_self;
    }
    const auto turnsBefore = m_turnCount;
    m_turnCount = turnsFor(m_entryCount);
    if (double(m_turnCount) > double(turnsBefore) * largeGrowth)
        m_membersSettledAt = now + settlingTime;
    m_origin.setEntryCount(m_entryCount);
}

void ColdUpstreams::setRules(std::map<std::string, ColdRule> rules)
{
    if (rules == m_rules)
        return;
    m_rules = std::move(rules);
    for (auto& [id, state] : m_states)
        state.share.reset();
}

void ColdUpstreams::recordRegistration(const Upstream& upstream, TimePoint now, UnixMilliseconds unixTime)
{
    const auto found = m_states.find(upstream.id);
    const bool isKnownStart = found != m_states.end() && found->second.upstream.startedAt == upstream.startedAt;
    auto& state = m_states[upstream.id];
    if (found != m_states.end() && state.upstream.service != upstream.service)
        m_ids[state.upstream.service].erase(upstream.id);
    state.upstream = upstream;
    state.toldAt = now;
    state.removedAt.reset();
    m_ids[upstream.service].insert(upstream.id);
    if (isKnownStart)
        return;
    state.registeredAt = now;
    state.ageInFirstView.reset();
    state.newSince.reset();
    const auto reported = m_reported.find(upstream.address);
    const bool isReported = reported != m_reported.end() && upstream.startedAt != 0 && reported->second.startedAt == upstream.startedAt;
    if (!m_isFirstView)
        state.newSince = isReported ? reported->second.since : now;
    else if (!upstream.coldLeft && upstream.startedAt != 0)
        state.ageInFirstView = Milliseconds(std::max<std::int64_t>(0, unixTime - upstream.startedAt));
}

void ColdUpstreams::recordRemoval(const std::string& id, TimePoint now)
{
    const auto found = m_states.find(id);
    if (found == m_states.end())
        return;
    found->second.removedAt = now;
    m_ids[found->second.upstream.service].erase(id);
}

// A later start is not the first that is known.
void ColdUpstreams::recordOldReport(const std::string& address, const EngineReport& report, TimePoint now)
{
    auto& reported = m_reported[address];
    if (reported.startedAt != 0)
        return;
    reported.startedAt = report.startedAt;
    reported.since = now;
}

bool ColdUpstreams::recordReport(const std::string& address, const EngineReport& report, TimePoint now)
{
    auto& reported = m_reported[address];
    const auto coldUntil = [&reported] { return reported.coldLeft.count() > 0 ? reported.heardAt + reported.coldLeft : TimePoint(); };
    const bool isColdBefore = coldUntil() > now;
    const bool isChange = (report.startedAt != 0 && reported.startedAt != report.startedAt) || now > reported.heardAt + maxSilence;
    if (report.startedAt != 0 && report.startedAt != reported.startedAt) {
        const auto isOtherStart = [&](const auto& state) {
            const auto& upstream = state.second.upstream;
            return !state.second.removedAt && upstream.address == address && upstream.startedAt != 0 && upstream.startedAt != report.startedAt;
        };
        const bool isRegistered = std::any_of(m_states.begin(), m_states.end(), [&](const auto& state) { return state.second.upstream.address == address && state.second.upstream.startedAt == report.startedAt; });
        reported.isRestart = !isRegistered && (reported.startedAt != 0 || std::any_of(m_states.begin(), m_states.end(), isOtherStart));
        reported.startedAt = report.startedAt;
        reported.since = now;
    }
    reported.heardAt = now;
    reported.coldLeft = std::clamp(report.coldLeft, Milliseconds(0), maxColdLeft);
    return isChange || isColdBefore != (coldUntil() > now);
}

bool ColdUpstreams::merge(const ColdNotice& notice, TimePoint now)
{
    const auto found = m_states.find(notice.upstream);
    const auto* rule = found == m_states.end() ? nullptr : ruleOf(found->second);
    if (rule && notice.coldUntil > now)
        found->second.peerUntil = std::max(found->second.peerUntil.value_or(now), std::min(notice.coldUntil, now + rule->coldTime));
    return m_origin.merge(notice.origin, now);
}

std::vector<ColdNotice> ColdUpstreams::notices(TimePoint now) const
{
    std::vector<ColdNotice> notices;
    for (const auto& [service, rule] : m_rules) {
        for (const auto& id : upstreamsOf(service)) {
            if (notices.size() >= maxNotices)
                return notices;
            const auto state = stateOf(id, now);
            // What others said is not repeated, so that it ends.
            if (state && state->until && state->reason != ColdReason::Peer)
                notices.push_back({ m_origin.origin(), id, *state->until });
        }
    }
    if (notices.empty() && hasRules())
        notices.push_back(originNotice(now));
    return notices;
}

std::optional<ColdNotice> ColdUpstreams::announcement(const std::string& id, TimePoint now) const
{
    const auto state = stateOf(id, now);
    if (!state || !state->until || state->reason == ColdReason::Peer)
        return std::nullopt;
    const auto distance = (m_position + m_entryCount - stableHash(id) % m_entryCount) % m_entryCount;
    return distance < announcers ? std::optional<ColdNotice>({ m_origin.origin(), id, *state->until }) : std::nullopt;
}

const ColdRule* ColdUpstreams::ruleOf(const State& state) const
{
    const auto found = m_rules.find(state.upstream.service);
    return found == m_rules.end() ? nullptr : &found->second;
}

const ColdUpstreams::State* ColdUpstreams::find(const std::string& id) const
{
    if (m_rules.empty())
        return nullptr;
    const auto found = m_states.find(id);
    return found == m_states.end() ? nullptr : &found->second;
}

std::optional<ColdState> ColdUpstreams::stateOf(const State& state, TimePoint now) const
{
    const auto* rule = ruleOf(state);
    if (!rule)
        return std::nullopt;
    const auto& upstream = state.upstream;
    std::optional<ColdState> cold;
    const auto consider = [&](ColdReason reason, TimePoint since, TimePoint until) {
        if (until > now && (!cold || until > *cold->until))
            cold = ColdState { reason, since, until };
    };
    const auto found = m_reported.find(upstream.address);
    const auto* reported = found == m_reported.end() ? nullptr : &found->second;
    if (state.newSince)
        consider(ColdReason::NewStart, *state.newSince, *state.newSince + rule->coldTime);
    if (reported && reported->isRestart)
        consider(ColdReason::Restart, reported->since, reported->since + rule->coldTime);
    if (const auto ended = m_evacuationEnds.find(upstream.failureDomain); ended != m_evacuationEnds.end())
        consider(ColdReason::EvacuationEnd, ended->second, ended->second + rule->coldTime);
    if (upstream.coldLeft)
        consider(ColdReason::Registration, state.toldAt, state.toldAt + std::min(*upstream.coldLeft, maxColdLeft));
    if (state.ageInFirstView)
        consider(ColdReason::Registration, state.registeredAt, state.registeredAt + rule->coldTime - *state.ageInFirstView);
    if (reported)
        consider(ColdReason::Registration, reported->heardAt, reported->heardAt + reported->coldLeft);
    if (state.peerUntil)
        consider(ColdReason::Peer, now, *state.peerUntil);
    const auto heardAt = std::max(state.registeredAt, reported ? reported->heardAt : state.registeredAt);
    if (!cold && rule->hasAgents && now > heardAt + maxSilence)
        cold = ColdState { ColdReason::NotHeard, heardAt, std::nullopt };
    return cold;
}

std::optional<ColdState> ColdUpstreams::stateOf(const std::string& id, TimePoint now) const
{
    const auto* state = find(id);
    return state ? stateOf(*state, now) : std::nullopt;
}

std::optional<TimePoint> ColdUpstreams::nextChange(const std::string& id, TimePoint now) const
{
    const auto* state = find(id);
    const auto* rule = state ? ruleOf(*state) : nullptr;
    if (!rule)
        return std::nullopt;
    const auto cold = stateOf(*state, now);
    if (!cold) {
        const auto reported = m_reported.find(state->upstream.address);
        const auto heardAt = std::max(state->registeredAt, reported == m_reported.end() ? state->registeredAt : reported->second.heardAt);
        return rule->hasAgents ? std::optional<TimePoint>(heardAt + maxSilence + Milliseconds(1)) : std::nullopt;
    }
    // A place that may be used now ends, and is followed by a later one.
    const auto place = nextPlace(id, now);
    const auto next = place > now ? place : now + placeLifetime(*rule);
    return cold->until ? std::min(*cold->until, next) : next;
}

// Counts from the common origin, at another time for each upstream, so that an entry VM does not have its
// turn at all upstreams together.
UpstreamLimitShare* ColdUpstreams::shareOf(const std::string& id, TimePoint now) const
{
    const auto* state = find(id);
    const auto* rule = state ? ruleOf(*state) : nullptr;
    if (!rule)
        return nullptr;
    const auto origin = m_origin.origin() - Milliseconds(static_cast<std::int64_t>(stableHash(id) % originSpreadMilliseconds));
    auto& share = state->share;
    if (!share) {
        share.emplace(rule->callsPerSecond, origin, now);
        share->setUnusedPlaces(placeLifetime(*rule), 1);
    }
    share->setOrigin(origin, now);
    const auto unsettledTurns = std::max(m_turnCount, minUnsettledTurns) * apartFactor;
    if (now < m_membersSettledAt)
        share->setPosition(stableHash(m_self) % unsettledTurns, unsettledTurns, now);
    else if (isInStep(now))
        share->setPosition(m_position, m_turnCount, now);
    else
        share->setPosition(m_position * apartFactor, m_turnCount * apartFactor, now);
    return &*share;
}

std::optional<double> ColdUpstreams::callsPerSecond(const std::string& id, TimePoint now) const
{
    const auto* state = find(id);
    return state && stateOf(*state, now) ? std::optional<double>(ruleOf(*state)->callsPerSecond) : std::nullopt;
}

std::optional<std::size_t> ColdUpstreams::availableCalls(const std::string& id, TimePoint now) const
{
    return stateOf(id, now) ? std::optional<std::size_t>(shareOf(id, now)->availableCalls(now)) : std::nullopt;
}

TimePoint ColdUpstreams::nextPlace(const std::string& id, TimePoint now) const
{
    const auto state = stateOf(id, now);
    if (!state)
        return now;
    const auto place = shareOf(id, now)->nextPlace(now);
    return state->until ? std::min(place, *state->until) : place;
}

const std::set<std::string>& ColdUpstreams::upstreamsOf(const std::string& service) const
{
    static const std::set<std::string> none;
    const auto ids = m_rules.count(service) == 0 ? m_ids.end() : m_ids.find(service);
    return ids == m_ids.end() ? none : ids->second;
}

void ColdUpstreams::recordSend(const std::string& id, TimePoint now)
{
    if (stateOf(id, now))
        shareOf(id, now)->recordSend(now);
}

void ColdUpstreams::expire(TimePoint now)
{
    for (auto state = m_states.begin(); state != m_states.end();)
        state = state->second.removedAt && *state->second.removedAt + memory < now ? m_states.erase(state) : std::next(state);
    for (auto reported = m_reported.begin(); reported != m_reported.end();)
        reported = std::max(reported->second.heardAt, reported->second.since) + memory < now ? m_reported.erase(reported) : std::next(reported);
}

const char* coldReasonName(ColdReason reason)
{
    switch (reason) {
    case ColdReason::Registration:
        return "registration";
    case ColdReason::NewStart:
        return "new-start";
    case ColdReason::Restart:
        return "restart";
    case ColdReason::EvacuationEnd:
        return "evacuation-end";
    case ColdReason::Peer:
        return "peer";
    case ColdReason::NotHeard:
        return "not-heard";
    }
    return "not-heard";
}

}
