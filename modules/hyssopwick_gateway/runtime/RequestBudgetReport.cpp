#include "RequestBudgetReport.h"

namespace hyssopwick {

RequestBudgetReport::RequestBudgetReport(GatewayContext& context)
    : m_context(context)
{
}

void RequestBudgetReport::add(const std::string& name, const HttpListener& listener) { m_listeners.emplace_back(name, &listener); }

void RequestBudgetReport::logChanges()
{
    const auto& budget = *m_context.requestBudget;
    const auto& counters = budget.counters();
    if (counters == m_logged)
        return;
    m_logged = counters;
    const auto text = [](std::uint64_t number) { return std::to_string(number); };
    m_context.log.write("clients.turned-away", { { "evicted_for_connections", text(counters.evictedForConnections) }, { "evicted_for_memory", text(counters.evictedForMemory) }, { "refused_connections", text(counters.refusedConnections) }, { "refused_for_memory", text(counters.refusedReservations) }, { "connections", text(budget.connections()) }, { "max_connections", text(budget.limits().connections) }, { "held", text(budget.heldBytes()) }, { "max_held", text(budget.limits().bytes) } });
}

void RequestBudgetReport::exportMetrics() const
{
    const auto& budget = *m_context.requestBudget;
    const auto& counters = budget.counters();
    auto& metrics = m_context.metrics;
    metrics.gauge("client_connections", double(budget.connections()));
    metrics.gauge("request_bytes_held", double(budget.heldBytes()));
    metrics.gauge("connections_evicted", double(counters.evictedForConnections));
    metrics.gauge("requests_evicted_for_memory", double(counters.evictedForMemory));
    metrics.gauge("connections_refused", double(counters.refusedConnections));
    metrics.gauge("requests_refused_for_memory", double(counters.refusedReservations));
    for (const auto& [name, listener] : m_listeners) {
        for (const auto& [reason, count] : listener->rejections()) {
            auto metric = name + "_rejections_" + reason;
            std::replace(metric.begin(), metric.end(), '-', '_');
            metrics.gauge(metric, double(count));
        }
    }
}

}
