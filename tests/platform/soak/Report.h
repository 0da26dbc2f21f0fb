#pragma once

#include "Fleet.h"
#include "LogSearch.h"
#include "LossCheck.h"

#include <ostream>

namespace hyssopwick::soak {

/// Prints what a run has seen.
class Report {
public:
    Report(const Journal& journal, LogSearch logs, std::ostream& output);

    void print();

    /// Writes one line an attempt, with tabs between the fields.
    void writeAttempts(std::ostream& table) const;

    bool holds() const { return m_lost.empty(); }

private:
    struct Case {
        const Attempt* attempt = nullptr;
        Lost lost;
    };

    void printOutcomes() const;
    void printProcesses() const;
    void printCase(const Case& lostCase, const std::vector<LogLine>& lines) const;
    void printElsewhere(const std::map<std::string, std::vector<LogLine>>& lines) const;
    void printRuns(const Attempt& attempt, TimePoint zero) const;
    void printSurroundings(const Attempt& attempt, TimePoint zero) const;
    void printLine(const LogLine& line, TimePoint zero) const;

    std::string relative(TimePoint at, TimePoint zero) const;
    std::int64_t unixMs(TimePoint at) const;

    const Journal& m_journal;
    LogSearch m_logs;
    std::ostream& m_output;
    std::vector<Case> m_lost;
    std::vector<const Attempt*> m_elsewhere;
    std::map<std::string, unsigned> m_excused;
};

}
