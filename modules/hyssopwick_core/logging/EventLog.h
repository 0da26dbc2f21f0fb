#pragma once

#include "EventLine.h"

#include <functional>
#include <memory>
#include <string>

namespace hyssopwick {

/// Writes the events of one process, one key=value line each, with a sequence number
/// and a hash chain: the chain value of a line depends on this line and all before it,
/// so that a removed or altered line is detected.
class EventLog {
public:
    /// Receives one finished line without its line end.
    using Sink = std::function<void(const std::string&)>;

    /// Creates the log of one process.
    /// \param process  unique name of this run of the process
    /// \param sink     where lines go; glogSink() for standard error
    EventLog(std::string process, Sink sink);
    ~EventLog();

    /// Writes one event. Thread-safe.
    /// \param event   event type, for example "config.applied"
    /// \param fields  further fields; the keys v, process, seq, at, event and
    ///                chain are reserved
    void write(const std::string& event, EventFields fields);

    const std::string& process() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/// Returns a sink that writes lines to standard error through glog.
EventLog::Sink glogSink();

/// Computes the chain value of a line from the previous chain value.
/// \see EventLog
std::string eventChain(const std::string& previousChain, const std::string& lineWithoutChain);

}
