#include "SubscriptionSchedule.h"

#include <algorithm>
#include <cmath>

namespace hyssopwick {

namespace {
    constexpr double significantPart = 0.25;
    // In engine milliseconds per second. A smaller change of a small demand is mostly chance, and
    // changes no one's share by more than a hundredth.
    constexpr double minSignificantChange = 10;
}

std::vector<std::string> SubscriptionSchedule::due(const std::vector<std::string>& agents, const EngineDemand& demand, TimePoint now)
{
    std::vector<std::string> dueAgents;
    std::map<std::string, Statement> statements;
    const double total = demand.total();
    for (const auto& agent : agents) {
        const auto known = m_statements.find(agent);
        if (known != m_statements.end()) {
            const auto age = now - known->second.statedAt;
            const double change = std::abs(total - known->second.demand);
            const bool isSignificant = change > std::max(known->second.demand * significantPart, minSignificantChange);
            if (age < minInterval || (age < period && !isSignificant)) {
                statements.insert(*known);
                continue;
            }
        }
        dueAgents.push_back(agent);
        statements[agent] = { total, now };
    }
    m_statements = std::move(statements);
    return dueAgents;
}

}
