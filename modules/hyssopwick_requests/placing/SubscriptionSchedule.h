#pragma once

#include "../admission/EngineDemand.h"

#include <hyssopwick_core.h>
#include <map>
#include <string>
#include <vector>

namespace hyssopwick {

/// Decides when an entry VM states its demand to the agents of the engines that it uses: to
/// each every period, and to all at once when the demand has changed by more than a quarter. Pure.
class SubscriptionSchedule {
public:
    static constexpr Milliseconds period { 1000 };
    static constexpr Milliseconds minInterval { 200 }; ///< between two subscriptions to an agent

    /// Returns the agents to subscribe to now, which are recorded as done.
    /// \param demand  on each engine
    std::vector<std::string> due(const std::vector<std::string>& agents, const EngineDemand& demand, TimePoint now);

private:
    struct Statement {
        double demand = 0;
        TimePoint statedAt;
    };

    std::map<std::string, Statement> m_statements; // by agent
};

}
