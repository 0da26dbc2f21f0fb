#pragma once

#include "NodeContext.h"

namespace hyssopwick {

/// \see parseEntrySettings
using SettingsParser = std::optional<ProcessSettings> (*)(const std::string& text, const std::string& file, Findings& findings);

/// Describes a daemon program to runDaemon().
struct DaemonOptions {
    std::string program;
    std::string purpose; ///< one sentence for --help
    SettingsParser parser;
};

/// Reads the command line and the settings file; prints the help, the version, or what is wrong
/// with the settings.
/// \param exitCode  set when no settings are returned
std::optional<ProcessSettings> readDaemonSettings(const DaemonOptions& options, int argc, char** argv, int& exitCode);

/// Blocks SIGTERM and SIGINT in this thread and those it creates, and ignores SIGPIPE. Call
/// before other threads start.
void blockStopSignals();

/// Waits for SIGTERM or SIGINT.
void waitForStopSignal();

/// How long a planned stop waits at most for calls in progress.
constexpr Milliseconds maxDrainTime { 120'000 };

constexpr int exitSuccess = 0;
constexpr int exitUsage = 2;
constexpr int exitFailure = 1;

/// Runs a node until SIGTERM or SIGINT, then drains and stops it. \returns the exit code
template <typename Node>
int runDaemon(const DaemonOptions& options, int argc, char** argv)
{
    int exitCode = exitSuccess;
    auto settings = readDaemonSettings(options, argc, argv, exitCode);
    if (!settings)
        return exitCode;
    blockStopSignals();
    Node node(std::move(*settings), glogSink());
    const auto started = node.start();
    if (!started) {
        node.context().log.write("process.failed", { { "detail", started.error().message } });
        return exitFailure;
    }
    waitForStopSignal();
    node.drainAndStop(monotonicNow() + maxDrainTime);
    return exitSuccess;
}

}
