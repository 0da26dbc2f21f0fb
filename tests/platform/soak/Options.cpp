#include "Options.h"

#include <boost/program_options.hpp>
#include <iostream>
#include <sstream>

namespace hyssopwick::soak {

namespace {
    constexpr unsigned maxEntries = 80;
    constexpr unsigned maxEngines = 120;
    const std::set<std::string> knownTroubles { "all", "slow-engine", "silent-report", "engine-crash", "freeze-entry", "freeze-agent", "kill-entry", "kill-agent" };

    bool readTroubles(const std::string& text, std::set<std::string>& troubles)
    {
        std::istringstream list(text);
        for (std::string kind; std::getline(list, kind, ',');) {
            if (knownTroubles.count(kind) == 0) {
                std::cerr << "unknown trouble " << kind << "\n";
                return false;
            }
            troubles.insert(kind);
        }
        return true;
    }
}

std::optional<Options> Options::parse(int argc, char** argv)
{
    namespace po = boost::program_options;
    Options options;
    std::string troubles;
    po::options_description description("hyssopwick-soak: planned stops of real entry processes under load");
    auto add = description.add_options();
    add("help", "print this text");
    add("programs", po::value(&options.programFolder)->required(), "folder of hyssopwick-platform-entry and hyssopwick-platform-agent");
    add("seed", po::value(&options.seed), "of the schedule and the callers");
    add("seconds", po::value(&options.seconds), "length of the load");
    add("entries", po::value(&options.entries), "number of entry VMs");
    add("engines", po::value(&options.engines), "number of engines, each with an agent");
    add("rate", po::value(&options.streamsPerSecond), "streams a second");
    add("engine-speed", po::value(&options.engineTimeFactor), "factor on the time that streams take");
    add("slow-readers", po::value(&options.slowReaderShare), "share of the callers that read slowly, 0 to 1");
    add("trouble", po::value(&troubles), "unplanned faults, comma-separated: all, slow-engine, silent-report, engine-crash, freeze-entry, freeze-agent, kill-entry, kill-agent");
    add("keep-logs", po::value(&options.logFolder), "folder for the logs of the processes");
    try {
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, description), values);
        if (values.count("help") != 0) {
            std::cout << description;
            return std::nullopt;
        }
        po::notify(values);
    } catch (const po::error& problem) {
        std::cerr << problem.what() << "\n";
        return std::nullopt;
    }
    if (!readTroubles(troubles, options.troubles))
        return std::nullopt;
    if (options.entries == 0 || options.entries > maxEntries || options.engines == 0 || options.engines > maxEngines || options.streamsPerSecond <= 0) {
        std::cerr << "entries, engines or rate out of range\n";
        return std::nullopt;
    }
    return options;
}

}
