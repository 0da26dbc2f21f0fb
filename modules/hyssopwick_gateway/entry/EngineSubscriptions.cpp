#include "EngineSubscriptions.h"

#include <cmath>

namespace hyssopwick {

namespace {
    constexpr Milliseconds minLogInterval { 1000 };
    constexpr double loggedLevelChange = 0.25;
}

EngineSubscriptions::EngineSubscriptions(EntryServices& services, PeerSocket& socket, std::function<VmIdentity()> self)
    : m_services(services)
    , m_socket(socket)
    , m_self(std::move(self))
    , m_timer(services.context().loop)
{
}

void EngineSubscriptions::start()
{
    send();
    m_timer.expires_after(SubscriptionSchedule::minInterval);
    m_timer.async_wait([this](boost::system::error_code error) {
        if (!error)
            start();
    });
}

void EngineSubscriptions::send()
{
    if (!m_services.routes())
        return;
    const auto now = monotonicNow();
    for (const auto& [name, service] : m_services.routes()->configuration().services) {
        if (service.engine)
            sendFor(name, now);
    }
}

void EngineSubscriptions::sendFor(const std::string& service, TimePoint now)
{
    std::vector<std::string> agents;
    const auto port = ":" + std::to_string(m_services.context().description.internalPort);
    for (const auto* upstream : m_services.enginesInUse(service))
        agents.push_back(upstream->address.substr(0, upstream->address.find(':')) + port);
    auto& queue = m_services.queue(service);
    const auto& pool = *m_services.enginePool(service);
    const auto engines = pool.size() > 0 ? pool.size() : std::max<std::size_t>(1, agents.size());
    const auto demand = queue.demand(now).dividedBy(double(engines));
    for (const auto& agent : m_schedules[service].due(agents, demand, now))
        m_socket.send(agent, UpdateSubscription { m_self(), demand });
    report(service, queue, pool, now);
}

void EngineSubscriptions::report(const std::string& service, const CallQueue& queue, const EnginePool& pool, TimePoint now)
{
    auto& reported = m_reported[service];
    const auto& counts = queue.levelCounts();
    auto& metrics = m_services.context().metrics;
    if (counts.deferred > reported.counts.deferred)
        metrics.count("calls_deferred_total", "below-level", counts.deferred - reported.counts.deferred);
    if (counts.deferredSent > reported.counts.deferredSent)
        metrics.count("deferred_calls_ended_total", "sent", counts.deferredSent - reported.counts.deferredSent);
    if (counts.deferredRefused > reported.counts.deferredRefused)
        metrics.count("deferred_calls_ended_total", "refused", counts.deferredRefused - reported.counts.deferredRefused);
    reported.counts = counts;
    const double level = pool.shares().level(now).value();
    const double meanShare = pool.meanShare(now);
    metrics.gauge("admission_level", level);
    metrics.gauge("engine_share_mean", meanShare);
    if (std::abs(level - reported.level) < loggedLevelChange || now < reported.loggedAt + minLogInterval)
        return;
    reported.level = level;
    reported.loggedAt = now;
    m_services.context().log.write("pool.level", { { "service", service }, { "level", std::to_string(level) }, { "mean_share", std::to_string(meanShare) }, { "demand_ms_per_s", std::to_string(std::llround(queue.demand(now).total())) }, { "engines", std::to_string(pool.size()) }, { "oldest_statement_ms", std::to_string(pool.shares().oldestStatementAge(now).count()) }, { "deferred", std::to_string(counts.deferred) } });
}

}
