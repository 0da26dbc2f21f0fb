#pragma once

#include "AuditEvent.h"

#include <optional>

namespace hyssopwick {

enum class PromiseVerdict {
    Held,
    Undecided,
    Broken,
};

/// Returns "held", "undecided" or "broken".
const char* promiseVerdictName(PromiseVerdict verdict);

/// One case in which a promise was broken or cannot be decided.
struct PromiseCase {
    std::string detail;
    std::vector<EventLocation> events; ///< the smallest set of events that proves it
};

/// Result of checking one promise.
struct PromiseResult {
    /// \param promise  text of the promise, its name in reports
    explicit PromiseResult(std::string promise)
        : name(std::move(promise))
    {
    }

    std::string name;
    std::uint64_t checked = 0; ///< number of cases checked, whatever their verdict
    std::uint64_t broken = 0;
    std::uint64_t undecided = 0;
    std::optional<PromiseCase> firstBroken;
    std::optional<PromiseCase> firstUndecided;

    void addBroken(std::string detail, std::vector<EventLocation> events);

    /// Records a case that the logs cannot decide.
    void addUndecided(std::string detail, std::vector<EventLocation> events);

    PromiseVerdict verdict() const;
};

struct AuditReport {
    std::vector<PromiseResult> promises;
    std::vector<std::string> files;
    std::uint64_t events = 0;
    std::uint64_t nonEventLines = 0;
    std::map<std::string, std::string> evidence; ///< text of each event in a case, by "file:line"

    bool hasBrokenPromise() const;
};

std::string reportToText(const AuditReport& report);

std::string reportToJson(const AuditReport& report);

/// Returns a location as "file:line".
std::string locationText(const AuditReport& report, const EventLocation& location);

}
