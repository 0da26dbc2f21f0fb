#include "UpstreamLimits.h"

#include <algorithm>

namespace hyssopwick {

namespace {
    // An answer to a call that was sent sooner after the limit was named may be older than it.
    constexpr Milliseconds namingLag { 250 };
    // The others hear of an unchanged limit this often from each entry VM that is told it.
    constexpr Milliseconds repeatPeriod { 2000 };
    constexpr Milliseconds memory { 120000 };
    // Origins differ by the time that messages take.
    constexpr Milliseconds originTolerance { 20 };
}

UpstreamLimits::UpstreamLimits(std::string self)
    : m_self(std::move(self))
{
}

void UpstreamLimits::setEntries(std::vector<std::string> ids, TimePoint now)
{
    ids.push_back(m_self);
    std::sort(ids.begin(), ids.end());
    ids.erase(std::unique(ids.begin(), ids.end()), ids.end());
    m_position = static_cast<std::size_t>(std::lower_bound(ids.begin(), ids.end(), m_self) - ids.begin());
    m_entryCount = ids.size();
    for (auto& [upstream, state] : m_states) {
        if (state.share)
            state.share->setPosition(m_position, m_entryCount, now);
    }
}

// Applies the limit to the share.
void UpstreamLimits::update(State& state, TimePoint now)
{
    const auto& limit = state.limit;
    if (!limit.callsPerSecond) {
        state.share.reset();
        return;
    }
    if (!state.share)
        state.share.emplace(*limit.callsPerSecond, limit.origin, now);
    state.share->setLimit(*limit.callsPerSecond, now);
    state.share->setOrigin(limit.origin, now);
    state.share->setPosition(m_position, m_entryCount, now);
}

std::optional<UpstreamLimit> UpstreamLimits::recordAnswer(const std::string& upstream, std::optional<double> callsPerSecond, TimePoint sentAt, TimePoint now)
{
    const auto found = m_states.find(upstream);
    if (found == m_states.end() && !callsPerSecond)
        return std::nullopt;
    if (found != m_states.end() && !callsPerSecond && sentAt < found->second.limit.namedAt + namingLag)
        return std::nullopt;
    auto& state = m_states[upstream];
    const bool isNew = !state.share && callsPerSecond;
    const bool isChange = state.limit.callsPerSecond != callsPerSecond;
    state.limit = { upstream, callsPerSecond, isNew ? now : state.limit.origin, now };
    update(state, now);
    if (!isChange && (now < state.toldAt + repeatPeriod || !callsPerSecond))
        return std::nullopt;
    state.toldAt = now;
    return state.limit;
}

bool UpstreamLimits::merge(const UpstreamLimit& theirs, TimePoint now)
{
    auto& state = m_states[theirs.upstream];
    auto merged = state.limit;
    if (theirs.namedAt > merged.namedAt)
        merged = theirs;
    // Entry VMs that were told at the same time agree on the earlier origin.
    if (state.limit.callsPerSecond && theirs.callsPerSecond)
        merged.origin = theirs.origin + originTolerance < state.limit.origin ? theirs.origin : state.limit.origin;
    const bool isChange = merged.callsPerSecond != state.limit.callsPerSecond;
    state.limit = merged;
    update(state, now);
    return isChange;
}

std::vector<UpstreamLimit> UpstreamLimits::known() const
{
    std::vector<UpstreamLimit> limits;
    for (const auto& [upstream, state] : m_states)
        limits.push_back(state.limit);
    return limits;
}

const UpstreamLimitShare* UpstreamLimits::shareOf(const std::string& upstream) const
{
    const auto found = m_states.find(upstream);
    return found != m_states.end() && found->second.share ? &*found->second.share : nullptr;
}

std::optional<std::size_t> UpstreamLimits::availableCalls(const std::string& upstream, TimePoint now) const
{
    const auto* share = shareOf(upstream);
    return share ? std::optional<std::size_t>(share->availableCalls(now)) : std::nullopt;
}

std::optional<double> UpstreamLimits::callsPerSecond(const std::string& upstream) const
{
    const auto* share = shareOf(upstream);
    return share ? std::optional<double>(share->callsPerSecond()) : std::nullopt;
}

TimePoint UpstreamLimits::nextPlace(const std::string& upstream, TimePoint now) const
{
    const auto* share = shareOf(upstream);
    return share ? share->nextPlace(now) : now;
}

std::set<std::string> UpstreamLimits::withoutPlace(TimePoint now) const
{
    std::set<std::string> upstreams;
    for (const auto& [upstream, state] : m_states) {
        if (state.share && state.share->availableCalls(now) == 0)
            upstreams.insert(upstream);
    }
    return upstreams;
}

std::optional<TimePoint> UpstreamLimits::firstPlace(TimePoint now) const
{
    std::optional<TimePoint> first;
    for (const auto& upstream : withoutPlace(now)) {
        const auto place = nextPlace(upstream, now);
        first = std::min(first.value_or(place), place);
    }
    return first;
}

void UpstreamLimits::recordSend(const std::string& upstream, TimePoint now)
{
    const auto found = m_states.find(upstream);
    if (found != m_states.end() && found->second.share)
        found->second.share->recordSend(now);
}

void UpstreamLimits::expire(TimePoint now)
{
    for (auto state = m_states.begin(); state != m_states.end();)
        state = state->second.limit.namedAt + memory < now ? m_states.erase(state) : std::next(state);
}

}
