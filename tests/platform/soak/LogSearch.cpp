#include "LogSearch.h"

#include <algorithm>
#include <fstream>

namespace hyssopwick::soak {

namespace {

    std::string valueOf(const std::string& line, const std::string& key)
    {
        const auto at = line.find(" " + key + "=");
        if (at == std::string::npos)
            return {};
        const auto begin = at + key.size() + 2;
        return line.substr(begin, line.find(' ', begin) - begin);
    }

    // The envelope of a line is of no use to a reader of one timeline.
    std::string withoutEnvelope(const std::string& line)
    {
        const auto begin = line.find("event=");
        const auto text = begin == std::string::npos ? line : line.substr(begin);
        return text.substr(0, text.find(" chain="));
    }

}

template <typename Visitor>
void LogSearch::visitLines(const std::string& node, Visitor visitor) const
{
    std::ifstream file(m_paths.at(node));
    for (std::string line; std::getline(file, line);)
        visitor(line, LogLine { std::atoll(valueOf(line, "at").c_str()), node, withoutEnvelope(line) });
}

std::map<std::string, std::vector<LogLine>> LogSearch::linesOfRequests(const std::set<std::string>& ids) const
{
    std::map<std::string, std::vector<LogLine>> found;
    for (const auto& [node, path] : m_paths) {
        visitLines(node, [&](const std::string& line, LogLine entry) {
            const auto id = valueOf(line, "request");
            if (ids.count(id) != 0)
                found[id].push_back(std::move(entry));
        });
    }
    for (auto& [id, lines] : found)
        std::stable_sort(lines.begin(), lines.end(), [](const LogLine& left, const LogLine& right) { return left.unixMs < right.unixMs; });
    return found;
}

std::vector<LogLine> LogSearch::ownLines(const std::string& node, std::int64_t fromUnixMs, std::int64_t toUnixMs) const
{
    std::vector<LogLine> found;
    visitLines(node, [&](const std::string& line, LogLine entry) {
        const auto event = valueOf(line, "event");
        if (event == "view.changed" || event == "peer.traffic") // one after the other, and of no use here
            return;
        if (entry.unixMs >= fromUnixMs && entry.unixMs <= toUnixMs && valueOf(line, "request").empty())
            found.push_back(std::move(entry));
    });
    return found;
}

}
