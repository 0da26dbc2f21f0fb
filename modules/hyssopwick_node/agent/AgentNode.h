#pragma once

#include "../runtime/NodeContext.h"

namespace hyssopwick {

/// The agent process on an upstream VM: fetches and shares weights and proxies calls to the
/// local engine or service.
class AgentNode {
public:
    /// \param settings  validated settings
    AgentNode(ProcessSettings settings, EventLog::Sink sink);
    ~AgentNode();

    /// Fails with ErrorCode::Unavailable when it cannot listen.
    Outcome<void> start();

    /// Refuses new calls, waits for those in progress, then stops.
    /// \param deadline  calls still in progress then are aborted
    void drainAndStop(TimePoint deadline);

    /// Stops at once as if killed: without draining and without announcing the departure.
    void stop();

    NodeContext& context();

private:
    struct State;
    std::unique_ptr<State> m_state;
};

}
