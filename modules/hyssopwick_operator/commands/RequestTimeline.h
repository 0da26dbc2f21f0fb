#pragma once

#include <hyssopwick_core.h>
#include <iosfwd>
#include <map>
#include <vector>

namespace hyssopwick {

/// Events of one request from all logs, with the events of its upstreams while it was in
/// progress (and 2 s before and after), as logged by the process whose event was read first.
class RequestTimeline {
public:
    /// \param request  id of the caller's attempt
    explicit RequestTimeline(std::string request);

    /// Reads one log file. Fails with ErrorCode::NotFound.
    Outcome<void> addFile(const std::string& file);

    /// Adds one line. Lines without an event are ignored.
    void addLine(const std::string& line);

    /// Writes one line per event, with its time since the first event of the request.
    void print(std::ostream& out) const;

    bool isEmpty() const { return m_requestEvents.empty(); }

private:
    struct Event {
        UnixMilliseconds at = 0;
        std::map<std::string, std::string> fields;
    };

    std::vector<Event> relevantEvents() const;

    std::string m_request;
    std::vector<Event> m_requestEvents;
    std::vector<Event> m_upstreamEvents; // events that name an upstream but no request
};

}
