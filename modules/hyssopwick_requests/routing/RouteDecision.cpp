#include "RouteDecision.h"

#include <algorithm>
#include <cmath>

namespace hyssopwick {

namespace {

    constexpr Milliseconds reportFreshness { 4000 };
    constexpr Milliseconds failureBackoff { 1000 };
    constexpr Milliseconds reportTrustDecay { 250 };
    constexpr double meanSmoothing = 0.05;
    constexpr double maxReportTrust = 0.5;
    constexpr double loadTolerance = 0.02;
    constexpr double affinityLoadFactor = 1.25;
    constexpr std::size_t baseSampleCount = 20;
    constexpr std::size_t fallbackSamples = 16;

    std::size_t sampleCount(std::size_t poolSize)
    {
        std::size_t samples = baseSampleCount;
        for (auto size = poolSize; size > baseSampleCount; size /= 2)
            ++samples;
        return samples;
    }

}

RouteDecision::RouteDecision(RoutePolicy policy)
    : m_policy(policy)
{
}

double RouteDecision::loadOf(const Upstream& upstream, TimePoint now) const
{
    const auto age = std::chrono::duration<double, std::milli>(now - upstream.reportedAt).count();
    const double trust = maxReportTrust * std::exp(-std::max(0.0, age) / static_cast<double>(reportTrustDecay.count()));
    const double others = m_meanOthersInFlight + trust * (static_cast<double>(upstream.othersInFlight) - m_meanOthersInFlight);
    return (static_cast<double>(upstream.ownInFlight) + others) / static_cast<double>(std::max<std::int64_t>(1, upstream.report.capacity));
}

void RouteDecision::recordInFlight(Upstream& upstream, std::int64_t inFlight, TimePoint now)
{
    upstream.report.inFlight = inFlight;
    upstream.othersInFlight = std::max<std::int64_t>(0, inFlight - upstream.ownInFlight);
    upstream.reportedAt = now;
    m_meanOthersInFlight += meanSmoothing * (static_cast<double>(upstream.othersInFlight) - m_meanOthersInFlight);
}

void RouteDecision::updateGroups(const std::string& vm)
{
    for (auto& [group, members] : m_byGroup)
        members.erase(std::remove(members.begin(), members.end(), vm), members.end());
    const auto found = m_upstreams.find(vm);
    if (found == m_upstreams.end())
        return;
    m_byGroup["kind/" + found->second.report.vm.kind].push_back(vm);
    for (const auto& served : found->second.report.serving)
        m_byGroup["placement/" + served.placement].push_back(vm);
}

void RouteDecision::recordReport(const UpstreamReport& report, TimePoint now)
{
    auto& upstream = m_upstreams[report.vm.id];
    if (report.incarnation < upstream.report.incarnation)
        return;
    if (report.incarnation > upstream.report.incarnation) {
        m_prefixes.forget(report.vm.id);
        upstream.isLeaving = false;
    }
    const bool isRegrouped = upstream.report.serving != report.serving || upstream.report.vm != report.vm;
    upstream.report = report;
    recordInFlight(upstream, report.inFlight, now);
    upstream.failedUntil = now;
    upstream.isLeaving = upstream.isLeaving || report.isLeaving;
    if (isRegrouped)
        updateGroups(report.vm.id);
}

void RouteDecision::recordLoad(const std::string& vm, std::int64_t inFlight, TimePoint now)
{
    const auto found = m_upstreams.find(vm);
    if (found == m_upstreams.end())
        return;
    recordInFlight(found->second, inFlight, now);
}

void RouteDecision::recordLeaving(const std::string& vm)
{
    const auto found = m_upstreams.find(vm);
    if (found != m_upstreams.end())
        found->second.isLeaving = true;
}

void RouteDecision::recordFailure(const std::string& vm, TimePoint now)
{
    const auto found = m_upstreams.find(vm);
    if (found != m_upstreams.end())
        found->second.failedUntil = now + failureBackoff;
}

void RouteDecision::remove(const std::string& vm)
{
    m_upstreams.erase(vm);
    m_prefixes.forget(vm);
    updateGroups(vm);
}

const ServedVersion* RouteDecision::findServedVersion(const Upstream& upstream, const RouteQuery& query)
{
    for (const auto& served : upstream.report.serving) {
        if (served.placement == query.placement && (query.pinnedVersion.empty() || served.version == query.pinnedVersion))
            return &served;
    }
    return nullptr;
}

bool RouteDecision::isUsable(const Upstream& upstream, const RouteQuery& query, TimePoint now) const
{
    if (upstream.isLeaving || !upstream.report.isReady || now < upstream.failedUntil || now > upstream.reportedAt + reportFreshness)
        return false;
    if (query.excluded.count(upstream.report.vm.id) != 0)
        return false;
    if (query.placement.empty())
        return upstream.report.vm.kind == query.workerKind;
    return findServedVersion(upstream, query) != nullptr;
}

const RouteDecision::Upstream* RouteDecision::chooseCached(const RouteQuery& query, const std::vector<const std::string*>& pool, TimePoint now)
{
    const auto matches = m_prefixes.matches(query.prefixes);
    if (matches.empty() || pool.empty())
        return nullptr;
    double sampledLoad = 0;
    for (const auto* vm : pool)
        sampledLoad += loadOf(m_upstreams.at(*vm), now);
    const double bound = affinityLoadFactor * sampledLoad / static_cast<double>(pool.size()) + 0.15;
    const Upstream* best = nullptr;
    std::size_t bestLength = 0;
    for (const auto& [vm, length] : matches) {
        const auto found = m_upstreams.find(vm);
        if (found == m_upstreams.end() || !isUsable(found->second, query, now) || loadOf(found->second, now) > bound)
            continue;
        if (!best || length > bestLength || (length == bestLength && loadOf(found->second, now) < loadOf(*best, now))) {
            best = &found->second;
            bestLength = length;
        }
    }
    return best;
}

const RouteDecision::Upstream* RouteDecision::chooseFromPool(const RouteQuery& query, const std::vector<const std::string*>& pool, RandomSource& random, TimePoint now)
{
    if (m_policy == RoutePolicy::Affinity) {
        if (const auto* cached = chooseCached(query, pool, now))
            return cached;
    }
    const std::size_t samples = m_policy == RoutePolicy::Affinity ? pool.size()
        : m_policy == RoutePolicy::TwoChoices                     ? 2
                                                                  : 1;
    const Upstream* best = nullptr;
    for (std::size_t i = 0; i < samples && i < pool.size(); ++i) {
        const auto position = m_policy == RoutePolicy::Affinity ? i : random.below(pool.size());
        const auto& candidate = m_upstreams.at(*pool[position]);
        const bool isTie = best && std::abs(loadOf(candidate, now) - loadOf(*best, now)) < loadTolerance;
        if (!best || (isTie ? candidate.lastChosen < best->lastChosen : loadOf(candidate, now) < loadOf(*best, now)))
            best = &candidate;
    }
    return best;
}

std::optional<Route> RouteDecision::choose(const RouteQuery& query, RandomSource& random, TimePoint now)
{
    const auto group = m_byGroup.find(query.placement.empty() ? "kind/" + query.workerKind : "placement/" + query.placement);
    if (group == m_byGroup.end() || group->second.empty())
        return std::nullopt;
    const auto& members = group->second;
    std::vector<const std::string*> pool;
    const bool isRoundRobin = m_policy == RoutePolicy::RoundRobin;
    const std::size_t start = isRoundRobin ? m_nextRoundRobin++ : random.below(members.size());
    // A random stride coprime to the size visits the members in pseudo-random order
    // without copying them.
    std::size_t stride = isRoundRobin ? 1 : 1 + random.below(members.size());
    while (!isRoundRobin && std::__gcd(stride, members.size()) != 1)
        ++stride;
    const std::size_t maxPoolSize = m_policy == RoutePolicy::Affinity ? sampleCount(members.size())
        : isRoundRobin                                                ? 1
                                                                      : fallbackSamples;
    for (std::size_t i = 0; i < members.size() && pool.size() < maxPoolSize; ++i) {
        const auto& vm = members[(start + i * stride) % members.size()];
        if (isUsable(m_upstreams.at(vm), query, now))
            pool.push_back(&vm);
    }
    const auto* chosen = chooseFromPool(query, pool, random, now);
    if (!chosen)
        return std::nullopt;
    auto& upstream = m_upstreams.at(chosen->report.vm.id);
    ++upstream.ownInFlight;
    upstream.lastChosen = ++m_choiceCount;
    for (const auto prefix : query.prefixes)
        m_prefixes.add(prefix, upstream.report.vm.id);
    Route route { upstream.report.vm.id, upstream.report.vm.address, "", {} };
    if (const auto* served = query.placement.empty() ? nullptr : findServedVersion(upstream, query)) {
        route.version = served->version;
        route.manifest = served->manifest;
    }
    return route;
}

void RouteDecision::recordFinished(const std::string& vm)
{
    const auto found = m_upstreams.find(vm);
    if (found != m_upstreams.end() && found->second.ownInFlight > 0)
        --found->second.ownInFlight;
}

void RouteDecision::recordCacheEvent(const std::string& vm, std::uint64_t prefix, bool isCached)
{
    if (isCached)
        m_prefixes.add(prefix, vm);
    else
        m_prefixes.remove(prefix, vm);
}

std::int64_t RouteDecision::capacityFor(const std::string& workerKind, const std::string& placement, TimePoint now) const
{
    RouteQuery query;
    query.workerKind = workerKind;
    query.placement = placement;
    std::int64_t capacity = 0;
    for (const auto& [vm, upstream] : m_upstreams) {
        if (isUsable(upstream, query, now))
            capacity += upstream.report.capacity;
    }
    return capacity;
}

bool RouteDecision::servesAnywhere(const std::string& placement) const
{
    const auto group = m_byGroup.find("placement/" + placement);
    return group != m_byGroup.end() && !group->second.empty();
}

std::vector<std::string> RouteDecision::freshUpstreams(TimePoint now) const
{
    std::vector<std::string> fresh;
    for (const auto& [vm, upstream] : m_upstreams) {
        if (now <= upstream.reportedAt + reportFreshness)
            fresh.push_back(vm);
    }
    return fresh;
}

}
