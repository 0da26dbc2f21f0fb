#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace hyssopwick::soak {

/// What one run is asked to do.
struct Options {
    std::uint64_t seed = 1;
    double seconds = 60;
    unsigned entries = 6;
    unsigned engines = 8;
    double streamsPerSecond = 25;
    double engineTimeFactor = 1; ///< over 1: streams take longer
    double slowReaderShare = 0;
    std::set<std::string> troubles;
    std::string logFolder; ///< empty: removed at the end
    std::string programFolder;

    bool hasTrouble(const std::string& kind) const { return troubles.count(kind) != 0 || troubles.count("all") != 0; }

    /// Returns nothing, after a message, if the command line cannot be used.
    static std::optional<Options> parse(int argc, char** argv);
};

}
