#include "Report.h"

#include <csignal>
#include <cstring>
#include <sys/wait.h>

namespace hyssopwick::soak {

namespace {
    constexpr std::size_t maxElsewhere = 5; // cases printed in full
    constexpr std::size_t maxLineLength = 330;

    std::string signalName(int number) { return std::string("SIG") + sigabbrev_np(number); }

    // The id of an engine is "i-", the number of its machine, and the count of its starts.
    std::string agentOfEngine(const std::string& id)
    {
        if (id.compare(0, 2, "i-") != 0)
            return {};
        const auto number = id.substr(2);
        return "agent-" + number.substr(0, number.find('-'));
    }

    std::string endName(int status) { return WIFEXITED(status) ? "exit " + std::to_string(WEXITSTATUS(status)) : "by " + signalName(WTERMSIG(status)); }

    // A signal that announces changed settings must not end a process.
    bool isExpectedEnd(int status, const std::set<int>& sent)
    {
        if (WIFEXITED(status))
            return WEXITSTATUS(status) == 0 && sent.count(SIGTERM) != 0;
        return WTERMSIG(status) != SIGHUP && sent.count(WTERMSIG(status)) != 0;
    }

    template <typename... Functions>
    struct Overloaded : Functions... {
        using Functions::operator()...;
    };
    template <typename... Functions>
    Overloaded(Functions...) -> Overloaded<Functions...>;
}

Report::Report(const Journal& journal, LogSearch logs, std::ostream& output)
    : m_journal(journal)
    , m_logs(std::move(logs))
    , m_output(output)
{
    const LossCheck check(journal);
    for (const auto& attempt : journal.attempts()) {
        std::visit(Overloaded {
                       [](const NotLost&) {},
                       [&](const Lost& lost) { m_lost.push_back({ &attempt, lost }); },
                       [&](const Excused& excused) { ++m_excused[excused.reason]; },
                       [&](const LostElsewhere&) { m_elsewhere.push_back(&attempt); } },
            check.judge(attempt));
    }
}

void Report::print()
{
    std::set<std::string> ids;
    for (const auto& lostCase : m_lost)
        ids.insert(lostCase.attempt->id);
    for (const auto* attempt : m_elsewhere)
        ids.insert(attempt->id);
    auto lines = m_logs.linesOfRequests(ids);
    for (const auto& lostCase : m_lost)
        printCase(lostCase, lines[lostCase.attempt->id]);
    printElsewhere(lines);
    printOutcomes();
    printProcesses();
    m_output << "lost " << m_lost.size() << ", lost away from planned work " << m_elsewhere.size() << "\n";
    for (const auto& [reason, count] : m_excused)
        m_output << "excused " << count << ": " << reason << "\n";
}

std::string Report::relative(TimePoint at, TimePoint zero) const
{
    char text[20];
    std::snprintf(text, sizeof text, "%+9.3f ", secondsBetween(zero, at));
    return text;
}

std::int64_t Report::unixMs(TimePoint at) const
{
    const auto unix = m_journal.startedAtUnix + std::chrono::duration_cast<std::chrono::system_clock::duration>(at - m_journal.startedAt);
    return std::chrono::duration_cast<Milliseconds>(unix.time_since_epoch()).count();
}

void Report::printLine(const LogLine& line, TimePoint zero) const
{
    char text[20];
    std::snprintf(text, sizeof text, "%+9.3f ", double(line.unixMs - unixMs(zero)) / 1000);
    m_output << text << line.node << " " << line.text.substr(0, maxLineLength) << "\n";
}

void Report::printCase(const Case& lostCase, const std::vector<LogLine>& lines) const
{
    const auto& attempt = *lostCase.attempt;
    const auto zero = lostCase.lost.signalAt;
    m_output << "LOST " << attempt.id << " " << attempt.route << " at " << entryName(attempt.entry) << ", times from its " << signalName(lostCase.lost.signal) << " at second " << secondsBetween(m_journal.startedAt, zero) << "\n";
    m_output << relative(attempt.beganAt, zero) << "caller: attempt " << attempt.number << " begins on a " << (attempt.isOnKeptConnection ? "kept" : "new") << " connection" << (attempt.isSlowReader ? ", reads slowly" : "") << "\n";
    m_output << relative(*attempt.sentAt, zero) << "caller: last byte sent\n";
    if (!attempt.eventsAt.empty())
        m_output << relative(attempt.eventsAt.front(), zero) << "caller: first event\n"
                 << relative(attempt.eventsAt.back(), zero) << "caller: event " << attempt.eventsAt.size() << ", the last\n";
    m_output << relative(*attempt.endedAt, zero) << "caller: " << nameOf(attempt.end) << ", status " << attempt.status << "; deadline at " << relative(attempt.deadline, zero) << "\n";
    printRuns(attempt, zero);
    for (const auto& line : lines)
        printLine(line, zero);
    printSurroundings(attempt, zero);
    m_output << "\n";
}

void Report::printRuns(const Attempt& attempt, TimePoint zero) const
{
    const auto* runs = m_journal.runsOf(attempt.id);
    if (!runs) {
        m_output << "          no server got it\n";
        return;
    }
    for (const auto& run : *runs) {
        m_output << relative(run.arrivedAt, zero) << run.server << ": arrives";
        if (run.begunAt)
            m_output << ", begins " << relative(*run.begunAt, zero);
        if (run.endedAt)
            m_output << ", ends " << relative(*run.endedAt, zero);
        m_output << ": " << nameOf(run.end) << ", status " << run.status << ", events " << run.firstEvent << " to " << run.lastEvent << "\n";
    }
}

void Report::printSurroundings(const Attempt& attempt, TimePoint zero) const
{
    constexpr Milliseconds around { 1500 };
    const auto from = std::min(zero, attempt.beganAt) - around;
    const auto until = *attempt.endedAt + around;
    const auto isAround = [&](TimePoint at) { return at >= from && at <= until; };
    for (const auto& [at, text] : m_journal.notes()) {
        if (isAround(at))
            m_output << relative(at, zero) << "schedule: " << text << "\n";
    }
    std::set<std::string> nodes { entryName(attempt.entry) };
    if (const auto* runs = m_journal.runsOf(attempt.id)) {
        for (const auto& run : *runs) {
            const auto agent = agentOfEngine(run.server);
            if (m_journal.processes().count(agent) != 0)
                nodes.insert(agent);
        }
    }
    for (const auto& node : nodes) {
        for (const auto& event : m_journal.processes().at(node)) {
            if (isAround(event.at))
                m_output << relative(event.at, zero) << node << ": " << (event.kind == ProcessEventKind::Started ? "process started" : event.kind == ProcessEventKind::Ended ? "process ended " + endName(event.number)
                                                                                                                                                                             : signalName(event.number))
                         << "\n";
        }
        for (const auto& line : m_logs.ownLines(node, unixMs(from), unixMs(until)))
            printLine(line, zero);
    }
}

void Report::printElsewhere(const std::map<std::string, std::vector<LogLine>>& lines) const
{
    for (std::size_t number = 0; number < std::min(maxElsewhere, m_elsewhere.size()); ++number) {
        const auto& attempt = *m_elsewhere[number];
        const auto zero = *attempt.sentAt;
        m_output << "lost away from planned work: " << attempt.id << " " << attempt.route << " at " << entryName(attempt.entry) << ", times from its last byte at second " << secondsBetween(m_journal.startedAt, zero) << "\n"
                 << relative(*attempt.endedAt, zero) << "caller: " << nameOf(attempt.end) << ", status " << attempt.status << ", events " << attempt.eventsAt.size() << "; deadline at " << relative(attempt.deadline, zero) << "\n";
        printRuns(attempt, zero);
        const auto found = lines.find(attempt.id);
        if (found == lines.end())
            continue;
        for (const auto& line : found->second)
            printLine(line, zero);
    }
}

void Report::printOutcomes() const
{
    std::map<std::string, std::map<std::string, unsigned>> outcomes;
    for (const auto& attempt : m_journal.attempts()) {
        auto outcome = std::string(nameOf(attempt.end));
        if (attempt.end == AttemptEnd::Answered)
            outcome += " " + std::to_string(attempt.status);
        else if (!attempt.eventsAt.empty())
            outcome += " after events";
        ++outcomes[attempt.route][outcome];
    }
    for (const auto& [route, counts] : outcomes) {
        m_output << "attempts " << route << ":";
        for (const auto& [outcome, count] : counts)
            m_output << " " << outcome << " " << count << ";";
        m_output << "\n";
    }
}

void Report::writeAttempts(std::ostream& table) const
{
    table << "id\troute\tentry\tconnection\tattempt\tbegan\tsent_after\thead_after\tended_after\tend\tstatus\tevents\truns\n";
    for (const auto& attempt : m_journal.attempts()) {
        const auto after = [&](const std::optional<TimePoint>& at) { return at ? std::to_string(secondsBetween(attempt.beganAt, *at)) : std::string("-"); };
        const auto* runs = m_journal.runsOf(attempt.id);
        table << attempt.id << "\t" << attempt.route << "\t" << entryName(attempt.entry) << "\t" << (attempt.isOnKeptConnection ? "kept" : "new") << "\t" << attempt.number << "\t" << secondsBetween(m_journal.startedAt, attempt.beganAt) << "\t" << after(attempt.sentAt) << "\t" << after(attempt.headAt) << "\t" << after(attempt.endedAt) << "\t" << nameOf(attempt.end) << "\t" << attempt.status << "\t" << attempt.eventsAt.size() << "\t" << (runs ? runs->size() : 0) << "\n";
    }
}

void Report::printProcesses() const
{
    std::map<std::string, unsigned> counts;
    for (const auto& [node, events] : m_journal.processes()) {
        const auto kind = node.substr(0, node.find('-'));
        std::set<int> sent;
        TimePoint startedAt;
        for (const auto& event : events) {
            if (event.kind == ProcessEventKind::Started) {
                sent.clear();
                startedAt = event.at;
            } else if (event.kind == ProcessEventKind::Signalled) {
                sent.insert(event.number);
                ++counts[kind + " got " + signalName(event.number) + (event.isUnplanned ? " (trouble)" : "")];
            } else {
                ++counts[kind + " ended " + endName(event.number)];
                if (!isExpectedEnd(event.number, sent))
                    m_output << "UNEXPECTED END " << node << " " << endName(event.number) << " at second " << secondsBetween(m_journal.startedAt, event.at) << ", " << secondsBetween(startedAt, event.at) << " s after its start\n";
            }
        }
    }
    for (const auto& [name, count] : counts)
        m_output << name << ": " << count << "\n";
}

}
