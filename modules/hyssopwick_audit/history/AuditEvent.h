#pragma once

#include <hyssopwick_core.h>

#include <map>

namespace hyssopwick {

/// File, by the order of reading, and line, from 1, of an event.
struct EventLocation {
    std::uint32_t file = 0;
    std::uint32_t line = 0;

    bool operator==(const EventLocation& other) const { return file == other.file && line == other.line; }
    bool operator!=(const EventLocation& other) const { return !(*this == other); }
};

/// One event as read from a log.
struct AuditEvent {
    EventLocation location;
    std::string process;
    std::string type;
    std::int64_t at = 0; ///< wall clock of the writing VM, milliseconds since the Unix epoch
    std::map<std::string, std::string> fields;

    /// Returns the field \p name, or "".
    const std::string& field(const std::string& name) const;

    /// Returns the field \p name as a number, or 0.
    std::int64_t number(const std::string& name) const;
};

}
