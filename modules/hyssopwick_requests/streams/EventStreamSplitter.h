#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace hyssopwick {

/// Cuts a text/event-stream (WHATWG HTML, server-sent events) into whole events, so
/// that a stream can be broken off or resumed between two events. Pure.
class EventStreamSplitter {
public:
    /// One whole event with its line ends.
    struct Event {
        std::string text;
        std::string id; ///< "" when the event has none
    };

    /// Takes further bytes and returns the events that are whole now.
    std::vector<Event> feed(std::string_view bytes);

    /// Returns whether bytes of an unfinished event are held.
    bool hasPartialEvent() const { return !m_buffer.empty(); }

    /// Returns the bytes of the unfinished event.
    const std::string& partialEvent() const { return m_buffer; }

private:
    std::string m_buffer;
};

}
