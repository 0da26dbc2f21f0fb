#pragma once

#include "SoakTypes.h"

#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace hyssopwick::soak {

/// How a request ended at an engine or another server.
enum class RunEnd {
    Open,
    Whole,
    NotRun, ///< refused, or dropped before it began
    EntryClosed,
    ServerBrokeOff
};

/// One arrival of a request at a server.
struct Run {
    std::string server;
    TimePoint arrivedAt;
    std::optional<TimePoint> begunAt;
    std::optional<TimePoint> endedAt;
    RunEnd end = RunEnd::Open;
    unsigned status = 0;
    unsigned firstEvent = 1;
    unsigned lastEvent = 0;
};

enum class AttemptEnd {
    Open,
    Answered,
    Closed,
    Reset,
    Invalid, ///< bytes that are no answer
    Deadline,
    CallerLeft, ///< the pause between events was too long
    NotConnected
};

/// One attempt of a caller, with its own request id.
struct Attempt {
    std::string id;
    std::string route;
    unsigned entry = 0;
    bool isOnKeptConnection = false;
    bool isSlowReader = false;
    unsigned number = 1;
    TimePoint beganAt;
    std::optional<TimePoint> sentAt; ///< last byte
    std::optional<TimePoint> headAt;
    std::vector<TimePoint> eventsAt;
    TimePoint deadline;
    std::optional<TimePoint> endedAt;
    AttemptEnd end = AttemptEnd::Open;
    unsigned status = 0;

    bool isStreaming() const { return end == AttemptEnd::Open && !eventsAt.empty(); }
};

enum class ProcessEventKind {
    Started,
    Signalled,
    Ended
};

struct ProcessEvent {
    TimePoint at;
    ProcessEventKind kind = ProcessEventKind::Started;
    int number = 0; ///< signal, or the wait status of the end
    bool isUnplanned = false; ///< a fault that the schedule drew
};

/// All that a run has seen.
class Journal {
public:
    Attempt& addAttempt(Attempt attempt);
    Run& addRun(const std::string& id, const std::string& server);
    void addProcessEvent(const std::string& node, ProcessEvent event) { m_processes[node].push_back(event); }

    /// Records an event that the schedule has drawn.
    void addNote(std::string text) { m_notes.emplace_back(now(), std::move(text)); }

    const std::vector<std::pair<TimePoint, std::string>>& notes() const { return m_notes; }
    const std::deque<Attempt>& attempts() const { return m_attempts; }
    const std::deque<Run>* runsOf(const std::string& id) const;
    const std::map<std::string, std::vector<ProcessEvent>>& processes() const { return m_processes; }

    /// Returns whether the callers are in the middle of a stream at an entry.
    bool isStreaming(unsigned entry) const;

    const TimePoint startedAt = now();
    const std::chrono::system_clock::time_point startedAtUnix = std::chrono::system_clock::now();

private:
    std::deque<Attempt> m_attempts; // references stay valid
    std::unordered_map<std::string, std::deque<Run>> m_runs;
    std::map<std::string, std::vector<ProcessEvent>> m_processes;
    std::vector<std::pair<TimePoint, std::string>> m_notes;
    mutable std::size_t m_firstOpen = 0;
};

const char* nameOf(RunEnd end);
const char* nameOf(AttemptEnd end);

std::string entryName(unsigned entry);
std::string agentName(unsigned engine);

}
