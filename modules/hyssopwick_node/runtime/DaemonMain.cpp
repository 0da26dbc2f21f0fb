#include "DaemonMain.h"

#include <boost/program_options.hpp>
#include <csignal>
#include <fstream>
#include <glog/logging.h>
#include <iostream>
#include <pthread.h>
#include <sstream>

namespace hyssopwick {

namespace {

    sigset_t stopSignals()
    {
        sigset_t set;
        sigemptyset(&set);
        sigaddset(&set, SIGTERM);
        sigaddset(&set, SIGINT);
        return set;
    }

    void initialiseLogging(const std::string& program)
    {
        FLAGS_logtostderr = true;
        FLAGS_log_prefix = false;
        FLAGS_logbuflevel = -1;
        google::InitGoogleLogging(program.c_str());
    }

}

std::optional<ProcessSettings> readDaemonSettings(const DaemonOptions& options, int argc, char** argv, int& exitCode)
{
    namespace po = boost::program_options;
    po::options_description description(options.program + " - " + options.purpose + "\n\nExample:\n  " + options.program
        + " --settings /etc/hyssopwick/" + options.program + ".toml\n\nExit codes: 0 stopped as planned, 1 cannot start, 2 wrong command line or settings\n\nOptions");
    description.add_options()("help", "print this text")("version", "print the version")("settings", po::value<std::string>(), "TOML settings file");
    po::variables_map values;
    exitCode = exitUsage;
    try {
        po::store(po::parse_command_line(argc, argv, description), values);
    } catch (const po::error& error) {
        std::cerr << options.program << ": " << error.what() << "\n";
        return std::nullopt;
    }
    if (values.count("help") != 0 || values.count("version") != 0) {
        if (values.count("help") != 0)
            std::cout << description;
        else
            std::cout << options.program << " " << HYSSOPWICK_VERSION << "\n";
        exitCode = exitSuccess;
        return std::nullopt;
    }
    if (values.count("settings") == 0) {
        std::cerr << options.program << ": --settings FILE is required\n";
        return std::nullopt;
    }
    const auto file = values["settings"].as<std::string>();
    std::ifstream in(file, std::ios::binary);
    if (!in) {
        std::cerr << file << ":1:1: cannot be read\n";
        return std::nullopt;
    }
    std::ostringstream text;
    text << in.rdbuf();
    Findings findings;
    auto settings = options.parser(text.str(), file, findings);
    for (const auto& finding : findings)
        std::cerr << finding.text() << "\n";
    if (settings)
        initialiseLogging(options.program);
    return settings;
}

void blockStopSignals()
{
    const auto set = stopSignals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

void waitForStopSignal()
{
    const auto set = stopSignals();
    int received = 0;
    sigwait(&set, &received);
}

}
