#pragma once

#include "../runtime/NodeContext.h"

namespace hyssopwick {

/// The process on an entry VM: serves callers and coordinates rollouts.
class EntryNode {
public:
    /// \param settings  validated settings
    EntryNode(ProcessSettings settings, EventLog::Sink sink);
    ~EntryNode();

    /// Fails with ErrorCode::Unavailable when it cannot listen.
    Outcome<void> start();

    /// Withdraws from address answers, serves until the answers that callers may have cached
    /// expire, waits for requests in progress and for callers that still read, then stops.
    /// Requests that could outlast the stop are refused as not run. \see PlannedStop
    /// \param deadline  when the process ends at the latest; some seconds before, requests still in
    ///                  progress are aborted with a final answer
    void drainAndStop(TimePoint deadline);

    /// Stops at once as if killed: without draining and without announcing the departure.
    void stop();

    NodeContext& context();

    /// Returns the revision of the active configuration.
    std::uint64_t revision() const;

    /// Returns whether this node knows \p vm as a member that is not dead.
    bool considersAlive(const std::string& vm);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/// How long callers may cache an answer to the address query.
constexpr Milliseconds addressLifetime { 3000 };

}
