#pragma once

#include "Journal.h"

#include <variant>

namespace hyssopwick::soak {

/// A request that was read has no complete answer, around planned work.
struct Lost {
    int signal = 0; ///< SIGTERM or SIGHUP
    TimePoint signalAt;
};

/// A loss that does not count.
struct Excused {
    std::string reason;
};

/// A request that was read has no complete answer, away from planned work.
struct LostElsewhere {
};

/// The request was answered, was not read, or the caller left.
struct NotLost {
};

using LossVerdict = std::variant<NotLost, Lost, Excused, LostElsewhere>;

/// Judges attempts by what callers and servers saw (rule LOST).
class LossCheck {
public:
    explicit LossCheck(const Journal& journal)
        : m_journal(journal)
    {
    }

    LossVerdict judge(const Attempt& attempt) const;

private:
    bool wasRead(const Attempt& attempt) const;
    std::optional<Lost> plannedWork(const Attempt& attempt) const;
    std::optional<std::string> excuse(const Attempt& attempt, const std::optional<Lost>& lost) const;
    bool hadUnplannedFault(const Attempt& attempt) const;
    bool isLateInStop(const Attempt& attempt, const Lost& lost) const;
    const std::vector<ProcessEvent>& eventsOf(const Attempt& attempt) const;

    const Journal& m_journal;
};

}
