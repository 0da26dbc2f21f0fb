#pragma once

#include "../runtime/NodeContext.h"

namespace hyssopwick {

/// The entry process on an entry VM.
class EntryNode {
public:
    /// \param settings  checked settings
    /// \param sink      where event lines go
    EntryNode(ProcessSettings settings, EventLog::Sink sink);
    ~EntryNode();

    /// Starts serving. Fails with ErrorCode::Unavailable.
    Outcome<void> start();

    /// Leaves gracefully: drops out of address answers, serves while kept answers are
    /// valid, finishes what runs, then stops.
    /// \param deadline  requests still in progress then are cut off
    void drainAndStop(TimePoint deadline);

    /// Stops at once, as a killed process would.
    void stop();

    NodeContext& context();

    /// Returns the revision in force.
    std::uint64_t revision() const;

    /// Returns whether this node takes \p vm for live.
    bool considersAlive(const std::string& vm);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/// How long callers may keep an answer to the address query.
constexpr Milliseconds addressValidity { 3000 };

}
