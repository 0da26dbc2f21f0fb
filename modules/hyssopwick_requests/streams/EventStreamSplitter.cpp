#include "EventStreamSplitter.h"

#include <charconv>
#include <cstdint>
#include <optional>

namespace hyssopwick {

namespace {

    constexpr std::string_view idField = "id:";

    // Returns the position after the blank line that ends the first event, or npos.
    // lineStart is where to begin, and where the last incomplete line begins afterwards.
    std::size_t endOfEvent(const std::string& buffer, std::size_t& lineStart)
    {
        while (lineStart < buffer.size()) {
            const auto lineEnd = buffer.find('\n', lineStart);
            if (lineEnd == std::string::npos)
                return std::string::npos;
            const bool isBlank = lineEnd == lineStart || (lineEnd == lineStart + 1 && buffer[lineStart] == '\r');
            if (isBlank)
                return lineEnd + 1;
            lineStart = lineEnd + 1;
        }
        return std::string::npos;
    }

    std::string idOf(std::string_view event)
    {
        std::string id;
        while (!event.empty()) {
            const auto lineEnd = std::min(event.find('\n'), event.size());
            auto line = event.substr(0, lineEnd);
            event.remove_prefix(std::min(lineEnd + 1, event.size()));
            if (line.substr(0, idField.size()) != idField)
                continue;
            line.remove_prefix(idField.size());
            while (!line.empty() && line.front() == ' ')
                line.remove_prefix(1);
            while (!line.empty() && line.back() == '\r')
                line.remove_suffix(1);
            id = std::string(line);
        }
        return id;
    }

    std::optional<std::uint64_t> numberOf(const std::string& id)
    {
        std::uint64_t number = 0;
        const auto result = std::from_chars(id.data(), id.data() + id.size(), number);
        if (id.empty() || result.ec != std::errc() || result.ptr != id.data() + id.size())
            return std::nullopt;
        return number;
    }

}

bool EventStreamSplitter::mayFollow(const Event& event, const std::string& previous)
{
    const auto number = numberOf(event.id);
    const auto previousNumber = numberOf(previous);
    return !number || !previousNumber || *number > *previousNumber;
}

std::vector<EventStreamSplitter::Event> EventStreamSplitter::feed(std::string_view bytes)
{
    m_buffer.append(bytes);
    std::vector<Event> events;
    for (;;) {
        const auto end = endOfEvent(m_buffer, m_lineStart);
        if (end == std::string::npos)
            return events;
        auto text = m_buffer.substr(0, end);
        m_buffer.erase(0, end);
        m_lineStart = 0;
        auto id = idOf(text);
        events.push_back({ std::move(text), std::move(id) });
    }
}

}
