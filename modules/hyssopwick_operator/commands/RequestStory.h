#pragma once

#include <hyssopwick_core.h>
#include <iosfwd>
#include <map>
#include <vector>

namespace hyssopwick {

/// What the event logs of all processes say of one request: its own events, and the events
/// of the upstreams it was sent to while it was under way.
class RequestStory {
public:
    /// \param request  id of the caller's attempt
    explicit RequestStory(std::string request);

    /// Reads one log file. Fails with ErrorCode::NotFound.
    Outcome<void> addFile(const std::string& file);

    /// Adds one line; one that is no event is passed over.
    void addLine(const std::string& line);

    /// Writes the story, one line an event, with times since its first event.
    void print(std::ostream& out) const;

    bool isEmpty() const { return m_own.empty(); }

private:
    struct Event {
        UnixMilliseconds at = 0;
        std::map<std::string, std::string> fields;
    };

    std::vector<Event> selected() const;

    std::string m_request;
    std::vector<Event> m_own;
    std::vector<Event> m_upstreams; // events that name an upstream but no request
};

}
