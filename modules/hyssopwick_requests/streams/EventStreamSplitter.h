#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace hyssopwick {

/// Splits a text/event-stream (WHATWG HTML, server-sent events) into complete events, so
/// that a stream can be ended or resumed between two events. Pure.
class EventStreamSplitter {
public:
    /// One complete event, including its line endings.
    struct Event {
        std::string text;
        std::string id; ///< "" when the event has none
    };

    /// Returns whether an event may follow the one with the id \p previous. Ids that are numbers increase.
    static bool mayFollow(const Event& event, const std::string& previous);

    /// Returns whether an event begins with a field, unlike a comment or a blank line.
    static bool hasContent(const Event& event) { return event.text.front() != ':' && event.text.front() != '\r' && event.text.front() != '\n'; }

    /// Adds received bytes and returns the events that they complete.
    std::vector<Event> feed(std::string_view bytes);

    /// Returns whether bytes of an incomplete event are buffered.
    bool hasPartialEvent() const { return !m_buffer.empty(); }

    /// Returns the bytes of the incomplete event.
    const std::string& partialEvent() const { return m_buffer; }

private:
    std::string m_buffer;
    std::size_t m_lineStart = 0; // of the incomplete line; the lines before it were examined
};

}
