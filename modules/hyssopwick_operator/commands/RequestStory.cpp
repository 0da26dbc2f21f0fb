#include "RequestStory.h"

#include <algorithm>
#include <fstream>
#include <ostream>
#include <set>

namespace hyssopwick {

namespace {

    // Clocks of VMs differ a little, and the cause of a failure comes before it shows.
    constexpr UnixMilliseconds margin = 2000;

    const std::set<std::string> hiddenFields { "v", "process", "seq", "at", "event", "chain", "request" };

    std::string valueOf(const std::map<std::string, std::string>& fields, const std::string& key)
    {
        const auto found = fields.find(key);
        return found == fields.end() ? std::string() : found->second;
    }

}

RequestStory::RequestStory(std::string request)
    : m_request(std::move(request))
{
}

Outcome<void> RequestStory::addFile(const std::string& file)
{
    std::ifstream in(file);
    if (!in)
        return failure(ErrorCode::NotFound, "cannot read " + file);
    std::string line;
    while (std::getline(in, line))
        addLine(line);
    return success();
}

void RequestStory::addLine(const std::string& line)
{
    // What collected the lines may have put a time or a name before them.
    const auto begin = line.find("v=1 ");
    if (begin == std::string::npos)
        return;
    auto fields = parseEventLine(line.substr(begin));
    if (!fields)
        return;
    Event event { std::atoll(valueOf(fields.value(), "at").c_str()), std::move(fields.value()) };
    const auto request = valueOf(event.fields, "request");
    if (request == m_request)
        m_own.push_back(std::move(event));
    else if (request.empty() && event.fields.count("upstream") != 0)
        m_upstreams.push_back(std::move(event));
}

std::vector<RequestStory::Event> RequestStory::selected() const
{
    auto events = m_own;
    std::set<std::string> upstreams;
    UnixMilliseconds first = m_own.front().at;
    UnixMilliseconds last = first;
    for (const auto& event : m_own) {
        upstreams.insert(valueOf(event.fields, "upstream"));
        first = std::min(first, event.at);
        last = std::max(last, event.at);
    }
    const auto process = valueOf(m_own.front().fields, "process");
    for (const auto& event : m_upstreams) {
        const bool isNear = event.at >= first - margin && event.at <= last + margin;
        if (isNear && valueOf(event.fields, "process") == process && upstreams.count(valueOf(event.fields, "upstream")) != 0)
            events.push_back(event);
    }
    std::stable_sort(events.begin(), events.end(), [](const Event& left, const Event& right) { return left.at < right.at; });
    return events;
}

void RequestStory::print(std::ostream& out) const
{
    if (m_own.empty()) {
        out << "no event names request " << m_request << "\n";
        return;
    }
    const auto events = selected();
    const auto start = std::min_element(m_own.begin(), m_own.end(), [](const Event& left, const Event& right) { return left.at < right.at; })->at;
    out << "request " << m_request << ", first event at " << start << " (Unix milliseconds)\n";
    for (const auto& event : events) {
        out << (event.at >= start ? "+" : "") << event.at - start << " ms  " << valueOf(event.fields, "process") << "  " << valueOf(event.fields, "event");
        for (const auto& [key, value] : event.fields) {
            if (hiddenFields.count(key) == 0)
                out << "  " << key << "=" << value;
        }
        out << "\n";
    }
}

}
