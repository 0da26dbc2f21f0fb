#pragma once

#include "EventLog.h"

namespace hyssopwick {

/// Writes event lines to standard output in batches, through glog. Never blocks: lines
/// that find the buffer full are left out, counted, and the count is written with the
/// next batch.
class StandardOutputLog {
public:
    StandardOutputLog();
    ~StandardOutputLog();

    /// Returns a sink that appends lines to the buffer. Valid as long as this object.
    EventLog::Sink sink();

    /// Writes what the buffer holds, as far as the descriptor takes it.
    void flush();

    /// Returns whether lines wait to be written.
    bool hasUnwritten() const;

    /// Returns how many lines were left out since the start.
    std::uint64_t droppedLines() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

}
