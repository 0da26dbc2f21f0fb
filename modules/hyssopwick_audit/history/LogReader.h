#pragma once

#include "PromiseResult.h"

#include <unordered_map>

namespace hyssopwick {

/// Turns log lines into events and checks the hash chain and the sequence numbers of
/// each process.
class LogReader {
public:
    /// \param integrity  receives damaged lines, broken hash chains and sequence gaps
    explicit LogReader(PromiseResult& integrity);

    /// Reads one line. Returns nothing for a line that is not an event or is damaged.
    std::optional<AuditEvent> read(const std::string& line, const EventLocation& location);

    std::uint64_t nonEventLines() const { return m_nonEventLines; }

private:
    struct ProcessChain {
        std::string chain;
        std::int64_t nextSequence = 0;
        EventLocation lastEvent;
    };

    void checkChain(const AuditEvent& event, const std::string& line);

    PromiseResult& m_integrity;
    std::unordered_map<std::string, ProcessChain> m_chains;
    std::uint64_t m_nonEventLines = 0;
};

}
