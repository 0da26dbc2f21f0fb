#include "LogReader.h"

namespace hyssopwick {

namespace {
    constexpr const char* eventPrefix = "v=1 process=";
    constexpr const char* chainField = " chain=";
}

LogReader::LogReader(PromiseResult& integrity)
    : m_integrity(integrity)
{
}

std::optional<AuditEvent> LogReader::read(const std::string& line, const EventLocation& location)
{
    if (line.rfind(eventPrefix, 0) != 0) {
        ++m_nonEventLines;
        return std::nullopt;
    }
    auto fields = parseEventLine(line);
    if (!fields) {
        m_integrity.addBroken("an event line is damaged: " + fields.error().message, { location });
        return std::nullopt;
    }
    AuditEvent event;
    event.location = location;
    event.fields = std::move(fields.value());
    event.process = event.field("process");
    event.type = event.field("event");
    event.at = event.number("at");
    checkChain(event, line);
    return event;
}

void LogReader::checkChain(const AuditEvent& event, const std::string& line)
{
    ++m_integrity.checked;
    auto& state = m_chains[event.process];
    const auto sequence = event.number("seq");
    const auto chainStart = line.rfind(chainField);
    const auto expected = chainStart == std::string::npos ? "" : eventChain(state.chain, line.substr(0, chainStart));
    if (sequence != state.nextSequence) {
        std::vector<EventLocation> locations { event.location };
        if (state.nextSequence > 0)
            locations.insert(locations.begin(), state.lastEvent);
        m_integrity.addBroken("process " + event.process + " has event " + std::to_string(sequence) + " where " + std::to_string(state.nextSequence) + " was expected: events are missing or repeated", locations);
    } else if (event.field("chain") != expected) {
        m_integrity.addBroken("the hash chain of process " + event.process + " breaks: this event or the one before was altered", { event.location });
    }
    // Continues from the hash in the line, so that one altered line is reported once.
    state.chain = event.field("chain");
    state.nextSequence = sequence + 1;
    state.lastEvent = event.location;
}

}
