#include "ProcessControl.h"

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace hyssopwick::soak {

namespace {
    constexpr Milliseconds stopBound { 8000 };
    constexpr Milliseconds restartDelay { 500 };
}

ProcessControl::ProcessControl(EventLoop& loop, Journal& journal, std::string node, std::string program, const std::string& folder, const std::string& settings)
    : m_loop(loop)
    , m_journal(journal)
    , m_node(std::move(node))
    , m_program(std::move(program))
    , m_settingsPath(folder + "/" + m_node + ".toml")
    , m_logPath(folder + "/" + m_node + ".log")
{
    std::ofstream(m_settingsPath) << settings;
}

ProcessControl::~ProcessControl()
{
    if (m_id <= 0)
        return;
    kill(m_id, SIGKILL);
    waitpid(m_id, nullptr, 0);
}

void ProcessControl::start()
{
    const auto parent = getpid();
    m_id = fork();
    if (m_id < 0)
        throw std::runtime_error("no new process for " + m_node);
    if (m_id == 0)
        runProgram(parent);
    ++m_incarnation;
    m_isStopping = false;
    m_startedAt = now();
    m_journal.addProcessEvent(m_node, { m_startedAt, ProcessEventKind::Started, 0, false });
    if (m_onStart)
        m_onStart();
}

void ProcessControl::runProgram(pid_t parent) const
{
    constexpr int exitNotStarted = 127;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent)
        _exit(exitNotStarted);
    const int log = open(m_logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    constexpr unsigned firstInherited = 3;
    close_range(firstInherited, ~0u, 0); // an inherited socket would stay open after the soak closes it
    clearenv();
    setenv("PATH", "/usr/bin:/bin", 1);
    setenv("HYSSOPWICK_BOOT", m_settingsPath.c_str(), 1);
    execl(m_program.c_str(), m_program.c_str(), static_cast<char*>(nullptr));
    _exit(exitNotStarted);
}

void ProcessControl::stop()
{
    if (!isRunning() || m_isStopping)
        return;
    m_isStopping = true;
    signal(SIGTERM, false);
    runAfter(m_loop, stopBound, [this, incarnation = m_incarnation] {
        if (incarnation == m_incarnation)
            signal(SIGKILL, false);
    });
}

void ProcessControl::signal(int number, bool isUnplanned)
{
    if (!isRunning())
        return;
    kill(m_id, number);
    m_journal.addProcessEvent(m_node, { now(), ProcessEventKind::Signalled, number, isUnplanned });
}

void ProcessControl::freeze(Clock::duration time)
{
    signal(SIGSTOP, true);
    runAfter(m_loop, time, [this] { signal(SIGCONT, true); });
}

void ProcessControl::poll()
{
    int status = 0;
    if (m_id <= 0 || waitpid(m_id, &status, WNOHANG) != m_id)
        return;
    m_id = -1;
    m_journal.addProcessEvent(m_node, { now(), ProcessEventKind::Ended, status, false });
    if (!m_isRestarted)
        return;
    runAfter(m_loop, restartDelay, [this] {
        if (m_isRestarted && !isRunning())
            start();
    });
}

}
