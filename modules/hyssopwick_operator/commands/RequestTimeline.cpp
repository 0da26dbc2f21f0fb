#include "RequestTimeline.h"

#include <algorithm>
#include <fstream>
#include <ostream>
#include <set>

namespace hyssopwick {

namespace {

    // Upstream events are included this long before and after those of the request: clocks
    // differ between VMs, and the cause of a failure precedes its effect.
    constexpr UnixMilliseconds upstreamEventMargin = 2000;

    const std::set<std::string> omittedFields { "v", "process", "seq", "at", "event", "chain", "request" };

    std::string valueOf(const std::map<std::string, std::string>& fields, const std::string& key)
    {
        const auto found = fields.find(key);
        return found == fields.end() ? std::string() : found->second;
    }

}

RequestTimeline::RequestTimeline(std::string request)
    : m_request(std::move(request))
{
}

Outcome<void> RequestTimeline::addFile(const std::string& file)
{
    std::ifstream in(file);
    if (!in)
        return failure(ErrorCode::NotFound, "cannot read " + file);
    std::string line;
    while (std::getline(in, line))
        addLine(line);
    return success();
}

void RequestTimeline::addLine(const std::string& line)
{
    // Log collectors may prefix lines with a time or a name.
    const auto begin = line.find("v=1 ");
    if (begin == std::string::npos)
        return;
    auto fields = parseEventLine(line.substr(begin));
    if (!fields)
        return;
    Event event { std::atoll(valueOf(fields.value(), "at").c_str()), std::move(fields.value()) };
    const auto request = valueOf(event.fields, "request");
    if (request == m_request)
        m_requestEvents.push_back(std::move(event));
    else if (request.empty() && event.fields.count("upstream") != 0)
        m_upstreamEvents.push_back(std::move(event));
}

std::vector<RequestTimeline::Event> RequestTimeline::relevantEvents() const
{
    auto events = m_requestEvents;
    std::set<std::string> upstreams;
    UnixMilliseconds first = m_requestEvents.front().at;
    UnixMilliseconds last = first;
    for (const auto& event : m_requestEvents) {
        upstreams.insert(valueOf(event.fields, "upstream"));
        first = std::min(first, event.at);
        last = std::max(last, event.at);
    }
    const auto process = valueOf(m_requestEvents.front().fields, "process");
    for (const auto& event : m_upstreamEvents) {
        const bool isWithinMargin = event.at >= first - upstreamEventMargin && event.at <= last + upstreamEventMargin;
        if (isWithinMargin && valueOf(event.fields, "process") == process && upstreams.count(valueOf(event.fields, "upstream")) != 0)
            events.push_back(event);
    }
    std::stable_sort(events.begin(), events.end(), [](const Event& left, const Event& right) { return left.at < right.at; });
    return events;
}

void RequestTimeline::print(std::ostream& out) const
{
    if (m_requestEvents.empty()) {
        out << "no event names request " << m_request << "\n";
        return;
    }
    const auto events = relevantEvents();
    const auto start = std::min_element(m_requestEvents.begin(), m_requestEvents.end(), [](const Event& left, const Event& right) { return left.at < right.at; })->at;
    out << "request " << m_request << ", first event at " << start << " (Unix milliseconds)\n";
    for (const auto& event : events) {
        out << (event.at >= start ? "+" : "") << event.at - start << " ms  " << valueOf(event.fields, "process") << "  " << valueOf(event.fields, "event");
        for (const auto& [key, value] : event.fields) {
            if (omittedFields.count(key) == 0)
                out << "  " << key << "=" << value;
        }
        out << "\n";
    }
}

}
