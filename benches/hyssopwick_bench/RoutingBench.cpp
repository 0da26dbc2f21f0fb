#include "BenchOptions.h"

#include <cmath>
#include <functional>
#include <hyssopwick_requests.h>
#include <queue>
#include <set>

namespace hyssopwick {

namespace {

    constexpr std::size_t engineSlots = 8;
    constexpr double decodeMs = 200;
    constexpr double prefillPerBlockMs = 4;
    constexpr std::size_t promptBlocks = 32;
    constexpr std::size_t cachedGroups = 10; // prefix groups that one engine's cache holds
    constexpr double reportPeriodMs = 1000;
    constexpr double cacheEventLagMs = 300;
    constexpr std::size_t routers = 4;

    TimePoint atMs(double milliseconds) { return TimePoint() + std::chrono::hours(1) + std::chrono::microseconds(static_cast<std::int64_t>(milliseconds * 1000)); }

    // An engine in virtual time, with slots, a queue and a prefix cache.
    struct Engine {
        std::size_t running = 0;
        std::deque<std::pair<double, std::size_t>> waiting; // arrival and prefix group
        std::deque<std::size_t> cache;
    };

    // Returns the prefix hashes of a group's prompts, which share all of their blocks.
    std::vector<std::uint64_t> prefixesOf(std::size_t group)
    {
        std::vector<std::uint64_t> hashes;
        for (std::size_t block = 0; block < promptBlocks; ++block)
            hashes.push_back(RandomSource(group * promptBlocks + block).next());
        return hashes;
    }

    class RoutingSimulation {
    public:
        RoutingSimulation(RoutePolicy policy, std::size_t engines, std::size_t groups, double load, std::uint64_t seed)
            : m_engines(engines)
            , m_groups(groups)
            , m_random(seed)
        {
            for (std::size_t i = 0; i < routers; ++i)
                m_routers.emplace_back(policy);
            const double fullServiceMs = decodeMs + prefillPerBlockMs * promptBlocks;
            m_meanArrivalGapMs = fullServiceMs / (load * static_cast<double>(engines * engineSlots));
        }

        std::vector<double> run(double untilMs)
        {
            for (std::size_t i = 0; i < m_engines.size(); ++i)
                report(i);
            arrive();
            while (!m_events.empty() && m_now < untilMs) {
                const auto event = m_events.top();
                m_events.pop();
                m_now = event.when;
                event.work();
            }
            return m_firstTokenMs;
        }

    private:
        struct Event {
            double when;
            std::uint64_t order;
            std::function<void()> work;
            bool operator<(const Event& other) const { return std::tie(other.when, other.order) < std::tie(when, order); }
        };

        void schedule(double afterMs, std::function<void()> work) { m_events.push({ m_now + afterMs, m_nextOrder++, std::move(work) }); }

        void report(std::size_t index)
        {
            UpstreamReport report;
            report.vm = { std::to_string(index), "", "r", "d", "model" };
            report.incarnation = 1;
            report.capacity = engineSlots;
            report.inFlight = static_cast<std::int64_t>(m_engines[index].running + m_engines[index].waiting.size());
            report.serving = { { "m", "v1", Digest::of("m") } };
            for (auto& router : m_routers)
                router.recordReport(report, atMs(m_now));
            schedule(reportPeriodMs * (0.9 + 0.2 * m_random.unit()), [this, index] { this->report(index); });
        }

        void arrive()
        {
            const auto group = static_cast<std::size_t>(m_random.below(m_groups));
            auto& router = m_routers[m_random.below(m_routers.size())];
            RouteQuery query;
            query.workerKind = "model";
            query.placement = "m";
            query.prefixes = prefixesOf(group);
            const auto route = router.choose(query, m_random, atMs(m_now));
            if (route) {
                const auto index = static_cast<std::size_t>(std::stoul(route->vm));
                m_engines[index].waiting.emplace_back(m_now, group);
                m_senders[index].push_back(&router);
                start(index);
            }
            schedule(-m_meanArrivalGapMs * std::log(1 - m_random.unit()), [this] { arrive(); });
        }

        void start(std::size_t index)
        {
            auto& engine = m_engines[index];
            while (engine.running < engineSlots && !engine.waiting.empty()) {
                const auto [arrivedAt, group] = engine.waiting.front();
                engine.waiting.pop_front();
                auto* router = m_senders[index].front();
                m_senders[index].pop_front();
                const auto cached = std::find(engine.cache.begin(), engine.cache.end(), group);
                const bool isHit = cached != engine.cache.end();
                if (isHit)
                    engine.cache.erase(cached);
                engine.cache.push_back(group);
                if (engine.cache.size() > cachedGroups)
                    engine.cache.pop_front();
                const double prefill = isHit ? 0 : prefillPerBlockMs * promptBlocks;
                m_firstTokenMs.push_back(m_now - arrivedAt + prefill + decodeMs / 20);
                ++engine.running;
                schedule(prefill + decodeMs, [this, index, router] {
                    --m_engines[index].running;
                    router->recordFinished(std::to_string(index));
                    // Answers report the load of their upstream.
                    router->recordLoad(std::to_string(index), static_cast<std::int64_t>(m_engines[index].running + m_engines[index].waiting.size()), atMs(m_now));
                    start(index);
                });
                if (!isHit && m_random.below(10) != 0)
                    schedule(cacheEventLagMs, [this, index, group = group] { reportCached(index, group); });
            }
        }

        void reportCached(std::size_t index, std::size_t group)
        {
            for (auto& router : m_routers) {
                for (const auto prefix : prefixesOf(group))
                    router.recordCacheEvent(std::to_string(index), prefix, true);
            }
        }

        std::vector<Engine> m_engines;
        std::size_t m_groups;
        RandomSource m_random;
        std::vector<RouteDecision> m_routers;
        std::map<std::size_t, std::deque<RouteDecision*>> m_senders;
        std::priority_queue<Event> m_events;
        std::uint64_t m_nextOrder = 0;
        double m_now = 0;
        double m_meanArrivalGapMs = 1;
        std::vector<double> m_firstTokenMs;
    };

    nlohmann::json comparePolicies(std::size_t groups, double load, std::uint64_t seed)
    {
        const std::pair<const char*, RoutePolicy> policies[] = { { "random", RoutePolicy::Random }, { "round_robin", RoutePolicy::RoundRobin }, { "two_choices", RoutePolicy::TwoChoices }, { "affinity", RoutePolicy::Affinity } };
        nlohmann::json result;
        double bestBaselineP95 = 1e18;
        double affinityP95 = 0;
        for (const auto& [name, policy] : policies) {
            RoutingSimulation simulation(policy, 14, groups, load, seed);
            const auto p95 = percentile(simulation.run(60'000), 0.95);
            result[name] = p95;
            if (policy == RoutePolicy::Affinity)
                affinityP95 = p95;
            else
                bestBaselineP95 = std::min(bestBaselineP95, p95);
        }
        result["p95_to_best_baseline"] = affinityP95 / bestBaselineP95;
        return result;
    }

    double nanosecondsPerDecision(std::size_t upstreams)
    {
        RouteDecision routes;
        RandomSource random(1);
        for (std::size_t i = 0; i < upstreams; ++i) {
            UpstreamReport report;
            report.vm = { "vm-" + std::to_string(i), "", "r", "d", "model" };
            report.capacity = 8;
            report.serving = { { "m", "v1", Digest::of("m") } };
            routes.recordReport(report, atMs(0));
        }
        RouteQuery query;
        query.placement = "m";
        query.prefixes = prefixesOf(1);
        constexpr int rounds = 20'000;
        const auto startedAt = monotonicNow();
        for (int i = 0; i < rounds; ++i) {
            const auto route = routes.choose(query, random, atMs(1));
            routes.recordFinished(route->vm);
        }
        return std::chrono::duration<double, std::nano>(monotonicNow() - startedAt).count() / rounds;
    }

}

// Runs the routing decisions of four entry nodes in virtual time against engines with
// slots and prefix caches, with delayed reports and cache events.
nlohmann::json benchRouting(const BenchOptions& options)
{
    const double load = options.number("load", 0.8);
    nlohmann::json result { { "bench", "routing" }, { "seed", options.seed }, { "load", load } };
    result["shared_prefixes"] = comparePolicies(static_cast<std::size_t>(options.number("groups", 60)), load, options.seed);
    result["no_shared_prefixes"] = comparePolicies(1'000'000, load, options.seed);
    for (const std::size_t upstreams : { 18, 400, 4100 })
        result["ns_per_decision"][std::to_string(upstreams)] = nanosecondsPerDecision(upstreams);
    return result;
}

// Splits an account's limit over 18 entry nodes with uneven, changing demand: ratio of
// admitted requests to the limit, for an even split and for shares that follow demand.
nlohmann::json benchShares(const BenchOptions& options)
{
    constexpr std::size_t entries = 18;
    constexpr double limit = 180;
    nlohmann::json result { { "bench", "shares" }, { "seed", options.seed }, { "limit_per_s", limit } };
    for (const auto& [name, policy] : { std::make_pair("even", RateLimitSplitPolicy::Even), std::make_pair("by_demand", RateLimitSplitPolicy::ByDemand) }) {
        RandomSource random(options.seed);
        std::vector<std::string> ids;
        for (std::size_t i = 0; i < entries; ++i)
            ids.push_back("entry-" + std::to_string(i));
        std::vector<RateLimitShareDecision> shares;
        std::vector<AdmissionDecision> admissions;
        for (const auto& id : ids) {
            shares.emplace_back(id, policy);
            admissions.emplace_back(100'000, atMs(0));
        }
        std::uint64_t admitted = 0;
        std::uint64_t offered = 0;
        std::uint64_t nextId = 1;
        std::vector<double> smoothed(entries, 0);
        const double seconds = 60;
        for (int step = 0; step < static_cast<int>(seconds * 20); ++step) {
            const double now = step * 50.0;
            // Five entries get 80 % of twice the limit; which five changes every 20 s.
            const auto hot = static_cast<std::size_t>(step / 400) * 5;
            for (std::size_t i = 0; i < entries; ++i) {
                const bool isHot = (i + entries - hot % entries) % entries < 5;
                const double rate = 2 * limit * (isHot ? 0.8 / 5 : 0.2 / 13);
                auto arrivals = static_cast<int>(rate * 0.05);
                arrivals += random.unit() < rate * 0.05 - arrivals;
                smoothed[i] += 0.2 * (arrivals / 0.05 - smoothed[i]);
                // Gossip brings each entry node's demand to the others every 3 s.
                if (step % 60 == static_cast<int>(i)) {
                    for (auto& share : shares)
                        share.recordDemand(ids[i], { { "a", smoothed[i] } }, atMs(now));
                }
                shares[i].recordDemand(ids[i], { { "a", smoothed[i] } }, atMs(now));
                shares[i].updateTotals(ids, atMs(now));
                admissions[i].setLimits("a", { 1, limit * shares[i].share("a") }, atMs(now));
                for (int k = 0; k < arrivals; ++k) {
                    ++offered;
                    if (admissions[i].enqueue({ nextId++, "a", 5, atMs(now + 60'000) }, atMs(now)))
                        continue;
                    ++admitted;
                    admissions[i].advance(atMs(now));
                    admissions[i].release("a", Milliseconds(1), atMs(now));
                }
            }
        }
        result[name] = { { "passed_to_limit", static_cast<double>(admitted) / seconds / limit }, { "offered_to_limit", static_cast<double>(offered) / seconds / limit } };
    }
    return result;
}

}
