#pragma once

#include "SoakTypes.h"

#include <map>
#include <set>
#include <vector>

namespace hyssopwick::soak {

/// A line of a process, with the time that it states.
struct LogLine {
    std::int64_t unixMs = 0;
    std::string node;
    std::string text;
};

/// Finds lines in the logs of the processes.
class LogSearch {
public:
    /// \param paths  by the name of the process
    explicit LogSearch(std::map<std::string, std::string> paths)
        : m_paths(std::move(paths))
    {
    }

    /// Returns the lines that have one of the request ids, by id, in order of time.
    std::map<std::string, std::vector<LogLine>> linesOfRequests(const std::set<std::string>& ids) const;

    /// Returns the lines of one process about itself, without those of single requests.
    std::vector<LogLine> ownLines(const std::string& node, std::int64_t fromUnixMs, std::int64_t toUnixMs) const;

private:
    template <typename Visitor>
    void visitLines(const std::string& node, Visitor visitor) const;

    std::map<std::string, std::string> m_paths;
};

}
