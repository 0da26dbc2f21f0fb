#pragma once

#include "TestSupport.h"

#include <csignal>
#include <dirent.h>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>

namespace hyssopwick {

/// One of the project's programs as a process of its own, from the folder of the test program.
class ProgramProcess {
public:
    /// \param settings         text of its settings file
    /// \param descriptorLimit  of the process, or 0 to leave it as it is
    /// \param pathVariable     environment variable that names the settings file, beside the argument
    ProgramProcess(const std::string& program, const std::string& settings, rlim_t descriptorLimit, const std::string& pathVariable = "SETTINGS")
        : m_pathVariable(pathVariable)
        , m_settingsPath((std::filesystem::temp_directory_path() / ("hyssopwick-" + std::to_string(getpid()) + "-" + program + ".toml")).string())
    {
        std::ofstream(m_settingsPath) << settings;
        const auto path = (std::filesystem::read_symlink("/proc/self/exe").parent_path() / program).string();
        const auto parent = getpid();
        m_id = fork();
        if (m_id == 0)
            run(path, parent, descriptorLimit);
    }

    ~ProgramProcess()
    {
        if (isRunning()) {
            kill(m_id, SIGKILL);
            waitpid(m_id, nullptr, 0);
        }
        std::filesystem::remove(m_settingsPath);
    }

    ProgramProcess(const ProgramProcess&) = delete;
    ProgramProcess& operator=(const ProgramProcess&) = delete;

    bool isRunning()
    {
        m_hasEnded = m_hasEnded || m_id <= 0 || waitpid(m_id, &m_status, WNOHANG) == m_id;
        return !m_hasEnded;
    }

    /// Returns the largest resident size so far, in bytes.
    std::size_t peakMemory() const
    {
        std::ifstream status("/proc/" + std::to_string(m_id) + "/status");
        for (std::string line; std::getline(status, line);) {
            if (line.rfind("VmHWM:", 0) == 0)
                return std::stoull(line.substr(line.find_first_of("0123456789"))) << 10;
        }
        return 0;
    }

    std::size_t openDescriptors() const
    {
        std::error_code error;
        const std::filesystem::directory_iterator folder("/proc/" + std::to_string(m_id) + "/fd", error);
        return error ? 0 : static_cast<std::size_t>(std::distance(folder, {}));
    }

private:
    [[noreturn]] void run(const std::string& path, pid_t parent, rlim_t descriptorLimit) const
    {
        constexpr int exitNotStarted = 127;
        constexpr unsigned firstInherited = 3;
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent)
            _exit(exitNotStarted);
        const int output = open("/dev/null", O_WRONLY | O_CLOEXEC);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        close_range(firstInherited, ~0u, 0);
        if (descriptorLimit != 0) {
            const rlimit limit { descriptorLimit, descriptorLimit };
            setrlimit(RLIMIT_NOFILE, &limit);
        }
        setenv(m_pathVariable.c_str(), m_settingsPath.c_str(), 1);
        execl(path.c_str(), path.c_str(), "--settings", m_settingsPath.c_str(), static_cast<char*>(nullptr));
        _exit(exitNotStarted);
    }

    std::string m_pathVariable;
    std::string m_settingsPath;
    pid_t m_id = -1;
    int m_status = 0;
    bool m_hasEnded = false;
};

}
