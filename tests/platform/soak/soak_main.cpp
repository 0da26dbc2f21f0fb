#include "Report.h"
#include "Schedule.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sys/resource.h>
#include <unistd.h>

namespace {

using namespace hyssopwick::soak;

constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitCouldNotRun = 2;
// After the load: the longest time limit of a request, and the last stops.
constexpr Milliseconds settleTime { 9500 };
constexpr unsigned timeLimitSlack = 60; // seconds

void raiseDescriptorLimit()
{
    rlimit limit {};
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
}

std::string makeFolder(const Options& options)
{
    if (!options.logFolder.empty()) {
        std::filesystem::create_directories(options.logFolder);
        return std::filesystem::absolute(options.logFolder);
    }
    std::string path = std::filesystem::temp_directory_path() / "hyssopwick-soak-XXXXXX";
    if (!mkdtemp(path.data()))
        throw std::runtime_error("no temporary folder");
    return path;
}

LogSearch logsOf(Fleet& fleet)
{
    std::map<std::string, std::string> paths;
    for (const auto& entry : fleet.entries())
        paths[entry->node()] = entry->logPath();
    for (const auto& agent : fleet.agents())
        paths[agent->node()] = agent->logPath();
    return LogSearch(std::move(paths));
}

int run(const Options& options, const std::string& folder)
{
    EventLoop loop(1);
    Journal journal;
    Fleet fleet(loop, journal, options, folder);
    Schedule schedule(loop, journal, fleet, options);
    bool isReady = false;
    fleet.start();
    fleet.waitUntilReady([&](bool ready) {
        isReady = ready;
        if (!ready)
            return loop.stop();
        const auto length = fromSeconds(options.seconds);
        fleet.startLoad();
        schedule.start(now() + length);
        runAfter(loop, length, [&fleet] { fleet.stopLoad(); });
        runAfter(loop, length + settleTime, [&loop, &fleet] {
            fleet.disableRestarts();
            loop.stop();
        });
    });
    loop.run();
    if (!isReady) {
        std::cerr << "the entries did not become ready\n";
        return exitCouldNotRun;
    }
    Report report(journal, logsOf(fleet), std::cout);
    report.print();
    if (!options.logFolder.empty()) {
        std::ofstream table(folder + "/attempts.tsv");
        report.writeAttempts(table);
    }
    std::cout << "seed " << options.seed << ", entries " << options.entries << ", engines " << options.engines << ", streams a second " << options.streamsPerSecond << ", loop late by at most " << secondsBetween({}, TimePoint(fleet.largestLoopDelay())) << " s\n";
    return report.holds() ? exitHeld : exitBroken;
}

}

int main(int argc, char** argv)
{
    const auto options = Options::parse(argc, argv);
    if (!options)
        return exitCouldNotRun;
    std::signal(SIGPIPE, SIG_IGN);
    raiseDescriptorLimit();
    // Ends the run, and with it the processes, even if the loop hangs.
    std::signal(SIGALRM, [](int) { _exit(exitCouldNotRun); });
    alarm(static_cast<unsigned>(options->seconds) + timeLimitSlack);
    try {
        const auto folder = makeFolder(*options);
        const int result = run(*options, folder);
        if (options->logFolder.empty())
            std::filesystem::remove_all(folder);
        return result;
    } catch (const std::exception& problem) {
        std::cerr << problem.what() << "\n";
        return exitCouldNotRun;
    }
}
