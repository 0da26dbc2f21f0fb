#pragma once

#include "EventLog.h"

namespace hyssopwick {

/// Writes event lines to standard output in batches, through glog. Never blocks: lines
/// that do not fit into the buffer are dropped, and their number is written with the
/// next batch.
class StandardOutputLog {
public:
    StandardOutputLog();
    ~StandardOutputLog();

    /// Returns a sink that appends lines to the buffer. It must not outlive this object.
    EventLog::Sink sink();

    /// Writes as much of the buffer as standard output accepts without blocking.
    void flush();

    /// Returns whether lines wait to be written.
    bool hasUnwritten() const;

    /// Returns the number of lines dropped since the start.
    std::uint64_t droppedLines() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

}
