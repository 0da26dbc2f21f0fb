#include "UpstreamPool.h"

#include <cmath>

namespace hyssopwick {

namespace {
    // The weight of a failure halves in this time: the shortest worker impairment that the
    // platform describes lasts some seconds.
    constexpr Milliseconds failureHalfLife { 2000 };
    // One recent failure weighs as much as this many calls in flight per slot.
    constexpr double failureWeight = 2;
    constexpr double successFactor = 0.8;
    constexpr double negligibleFailures = 0.05;
}

UpstreamPool::UpstreamPool(std::uint64_t seed)
    : m_random(seed)
{
}

void UpstreamPool::setUpstreams(const std::map<std::string, unsigned>& slots)
{
    for (auto state = m_upstreams.begin(); state != m_upstreams.end();)
        state = slots.count(state->first) == 0 ? m_upstreams.erase(state) : std::next(state);
    for (const auto& [upstream, count] : slots)
        m_upstreams[upstream].slots = std::max(1u, count);
}

void UpstreamPool::recordSend(const std::string& upstream)
{
    const auto found = m_upstreams.find(upstream);
    if (found != m_upstreams.end())
        ++found->second.inFlight;
}

void UpstreamPool::recordEnd(const std::string& upstream)
{
    const auto found = m_upstreams.find(upstream);
    if (found != m_upstreams.end() && found->second.inFlight > 0)
        --found->second.inFlight;
}

double UpstreamPool::decayedFailures(const State& state, TimePoint now)
{
    if (state.failures == 0)
        return 0;
    const double halfLives = double(millisecondsBetween(state.failuresAt, now)) / double(failureHalfLife.count());
    const double left = state.failures * std::exp2(-halfLives);
    return left < negligibleFailures ? 0 : left;
}

void UpstreamPool::recordResult(const std::string& upstream, bool isSuccess, TimePoint now)
{
    const auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end())
        return;
    auto& state = found->second;
    state.failures = decayedFailures(state, now);
    state.failuresAt = now;
    state.failures = isSuccess ? state.failures * successFactor : state.failures + 1;
}

std::optional<std::string> UpstreamPool::choose(const std::set<std::string>& excluded, TimePoint now)
{
    std::optional<std::string> best;
    double bestScore = 0;
    for (const auto& [id, state] : m_upstreams) {
        if (excluded.count(id) != 0)
            continue;
        const double score = double(state.inFlight) / state.slots + failureWeight * decayedFailures(state, now) + m_random.unit() / state.slots;
        if (best && score >= bestScore)
            continue;
        best = id;
        bestScore = score;
    }
    return best;
}

unsigned UpstreamPool::inFlight(const std::string& upstream) const
{
    const auto found = m_upstreams.find(upstream);
    return found == m_upstreams.end() ? 0 : found->second.inFlight;
}

}
