#pragma once

#include "../runtime/NodeContext.h"

namespace hyssopwick {

/// The agent process on an upstream VM: distributes weights and proxies calls to the local
/// engine or service.
class AgentNode {
public:
    AgentNode(ProcessSettings settings, EventLog::Sink sink);
    ~AgentNode();

    /// Fails with ErrorCode::Unavailable when it cannot listen.
    Outcome<void> start();

    /// Refuses new calls, waits for those in progress until \p deadline, then stops.
    void drainAndStop(TimePoint deadline);

    /// Stops at once, without draining.
    void stop();

    NodeContext& context();

private:
    struct State;
    std::unique_ptr<State> m_state;
};

}
