#pragma once

#include "Journal.h"

#include <sys/types.h>

namespace hyssopwick::soak {

/// One of the real programs as a process: starts it, sends it signals, and starts it again
/// after its end.
class ProcessControl {
public:
    /// \param folder  for its settings file and its log
    ProcessControl(EventLoop& loop, Journal& journal, std::string node, std::string program, const std::string& folder, const std::string& settings);

    /// Kills the process.
    ~ProcessControl();

    ProcessControl(const ProcessControl&) = delete;
    ProcessControl& operator=(const ProcessControl&) = delete;

    /// Throws std::runtime_error if there can't be a new process.
    void start();

    /// Sends SIGTERM, and SIGKILL at the bound on planned stops.
    void stop();

    void signal(int number, bool isUnplanned);

    /// Suspends the process for some time.
    void freeze(Clock::duration time);

    /// Notices the end of the process.
    void poll();

    /// Leaves the process ended from now on.
    void disableRestart() { m_isRestarted = false; }

    const std::string& node() const { return m_node; }
    const std::string& logPath() const { return m_logPath; }
    bool isRunning() const { return m_id > 0; }
    bool isStopping() const { return m_isStopping; }
    TimePoint startedAt() const { return m_startedAt; }

    /// Called after each start.
    void onStart(std::function<void()> handler) { m_onStart = std::move(handler); }

private:
    [[noreturn]] void runProgram(pid_t parent) const;

    EventLoop& m_loop;
    Journal& m_journal;
    std::string m_node;
    std::string m_program;
    std::string m_settingsPath;
    std::string m_logPath;
    pid_t m_id = -1;
    unsigned m_incarnation = 0;
    bool m_isStopping = false;
    bool m_isRestarted = true;
    TimePoint m_startedAt;
    std::function<void()> m_onStart;
};

}
