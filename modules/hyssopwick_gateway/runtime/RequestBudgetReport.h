#pragma once

#include "../http/HttpListener.h"
#include "GatewayContext.h"

namespace hyssopwick {

/// Tells operators which clients of a process were turned away: as metrics, and as a line of the
/// log when there were new ones.
class RequestBudgetReport {
public:
    explicit RequestBudgetReport(GatewayContext& context);

    /// Adds a listener whose refusals are counted. It has to outlive this object's use.
    void add(const std::string& name, const HttpListener& listener);

    /// Logs what is new since the last call. Call from time to time.
    void logChanges();

    void exportMetrics() const;

private:
    GatewayContext& m_context;
    std::vector<std::pair<std::string, const HttpListener*>> m_listeners;
    RequestBudgetCounters m_logged;
};

}
