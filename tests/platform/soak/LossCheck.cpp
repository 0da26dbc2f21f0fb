#include "LossCheck.h"

#include "FleetSettings.h"

#include <csignal>

namespace hyssopwick::soak {

namespace {
    constexpr Milliseconds graceSlack { 1000 };
    // Requests sent later than this after SIGTERM have no claim to the whole grace time.
    constexpr Milliseconds lateInStop { 3000 };
    // Timers of the entry and of the caller fire at slightly different times.
    constexpr Milliseconds deadlineTolerance { 20 };
}

LossVerdict LossCheck::judge(const Attempt& attempt) const
{
    const bool isCut = attempt.end == AttemptEnd::Closed || attempt.end == AttemptEnd::Reset || attempt.end == AttemptEnd::Invalid;
    if (!isCut || !attempt.sentAt || !wasRead(attempt))
        return NotLost {};
    const auto lost = plannedWork(attempt);
    if (const auto reason = excuse(attempt, lost))
        return Excused { *reason };
    return lost ? LossVerdict(*lost) : LostElsewhere {};
}

bool LossCheck::wasRead(const Attempt& attempt) const { return m_journal.runsOf(attempt.id) || attempt.headAt || *attempt.endedAt - *attempt.sentAt > lossSlack; }

const std::vector<ProcessEvent>& LossCheck::eventsOf(const Attempt& attempt) const { return m_journal.processes().at(entryName(attempt.entry)); }

std::optional<Lost> LossCheck::plannedWork(const Attempt& attempt) const
{
    std::optional<Lost> found;
    for (const auto& event : eventsOf(attempt)) {
        if (event.kind != ProcessEventKind::Signalled || event.at > *attempt.endedAt)
            continue;
        const bool isStop = event.number == SIGTERM && *attempt.endedAt <= event.at + graceTime + graceSlack;
        const bool isReload = event.number == SIGHUP && *attempt.sentAt <= event.at + configurationTime;
        if (isStop || (isReload && (!found || found->signal == SIGHUP)))
            found = Lost { event.number, event.at };
    }
    return found;
}

std::optional<std::string> LossCheck::excuse(const Attempt& attempt, const std::optional<Lost>& lost) const
{
    const auto* runs = m_journal.runsOf(attempt.id);
    if (runs) {
        for (const auto& run : *runs) {
            if (run.end == RunEnd::ServerBrokeOff)
                return "the engine broke off";
        }
    }
    const auto timeLimit = std::min<TimePoint>(attempt.deadline, *attempt.sentAt + routeTimeout);
    if (*attempt.endedAt >= timeLimit - deadlineTolerance)
        return "the time limit was reached";
    if (lost && isLateInStop(attempt, *lost))
        return "at work in the last sixth of the grace time";
    if (hadUnplannedFault(attempt))
        return "unplanned fault of the entry";
    return std::nullopt;
}

bool LossCheck::isLateInStop(const Attempt& attempt, const Lost& lost) const
{
    const auto* runs = m_journal.runsOf(attempt.id);
    if (lost.signal != SIGTERM || !runs || *attempt.sentAt > lost.signalAt + lateInStop)
        return false;
    const auto lastSixth = lost.signalAt + graceTime * 5 / 6;
    for (const auto& run : *runs) {
        if (run.begunAt && run.endedAt.value_or(TimePoint::max()) >= lastSixth)
            return true;
    }
    return false;
}

bool LossCheck::hadUnplannedFault(const Attempt& attempt) const
{
    for (const auto& event : eventsOf(attempt)) {
        if (event.isUnplanned && event.at >= *attempt.sentAt - contactTime && event.at <= *attempt.endedAt)
            return true;
    }
    return false;
}

}
