#include "Schedule.h"

#include "FleetSettings.h"

#include <csignal>

namespace hyssopwick::soak {

namespace {
    constexpr unsigned maxStopsInSeries = 8;
    constexpr double busyShare = 0.7; // of the stops come in the middle of a stream
    constexpr double atOnceShare = 0.2; // of the series
    constexpr Milliseconds streamWait { 500 };
    constexpr Milliseconds streamPollPeriod { 5 };
    constexpr double earlySignalShare = 0.25; // of the starts
    constexpr double earlySignalSeconds = 0.4;
    constexpr double startupSeconds = 0.02; // until a process handles signals
    // Engines end some time after the promised one.
    constexpr double maxExtraDrainSeconds = 2;
    // The store removes the entry of a dead engine after three missed heartbeats.
    constexpr Milliseconds registrationTimeout { 3600 };

    const char* const troubleKinds[] = { "slow-engine", "silent-report", "engine-crash", "freeze-entry", "freeze-agent", "kill-entry", "kill-agent" };
}

Schedule::Schedule(EventLoop& loop, Journal& journal, Fleet& fleet, const Options& options)
    : m_loop(loop)
    , m_journal(journal)
    , m_fleet(fleet)
    , m_options(options)
    , m_random(options.seed * 2)
{
}

void Schedule::start(TimePoint endsAt)
{
    m_endsAt = endsAt;
    for (const auto& entry : m_fleet.entries())
        entry->onStart([this, &process = *entry] { signalAfterStart(process); });
    for (const auto& agent : m_fleet.agents())
        agent->onStart([this, &process = *agent] { signalAfterStart(process); });
    repeat(1.5, 4, [this] { stopEntries(); });
    repeat(0.3, 1.5, [this] { signalSettings(); });
    repeat(3, 6, [this] {
        m_journal.addNote("new configuration");
        m_fleet.publishConfiguration();
    });
    repeat(3, 6, [this] {
        auto& agent = *m_fleet.agents()[m_random.below(m_fleet.agents().size())];
        m_journal.addNote(agent.node() + " gets SIGTERM");
        agent.stop();
    });
    repeat(8, 12, [this] { drainEngine(); });
    repeat(10, 15, [this] {
        m_journal.addNote("new weights version");
        m_fleet.publishWeights();
    });
    for (const std::string kind : troubleKinds) {
        if (m_options.hasTrouble(kind))
            repeat(2, 6, [this, kind] { strike(drawTrouble(kind)); });
    }
}

void Schedule::repeat(double least, double most, std::function<void()> event)
{
    runAfter(m_loop, fromSeconds(m_random.between(least, most)), [this, least, most, event = std::move(event)] {
        if (now() >= m_endsAt)
            return;
        event();
        repeat(least, most, event);
    });
}

// Some entries go on, so that there are streams at the ones that stop next.
std::vector<unsigned> Schedule::stoppableEntries()
{
    std::vector<unsigned> running;
    const auto& entries = m_fleet.entries();
    for (unsigned entry = 0; entry < entries.size(); ++entry) {
        if (entries[entry]->isRunning() && !entries[entry]->isStopping())
            running.push_back(entry);
    }
    const auto kept = std::max<std::size_t>(1, entries.size() / 4);
    std::vector<unsigned> chosen;
    while (running.size() > kept) {
        const auto at = running.begin() + m_random.below(running.size());
        chosen.push_back(*at);
        running.erase(at);
    }
    return chosen;
}

void Schedule::stopEntries()
{
    auto chosen = stoppableEntries();
    const std::size_t wanted = 1 + m_random.below(maxStopsInSeries);
    if (chosen.size() > wanted)
        chosen.resize(wanted);
    const bool isAtOnce = m_random.chance(atOnceShare);
    double delay = 0;
    for (const auto entry : chosen) {
        const bool isBusy = m_random.chance(busyShare);
        runAfter(m_loop, fromSeconds(delay), [this, entry, isBusy] { stopEntry(entry, now() + streamWait, isBusy); });
        delay += isAtOnce ? 0 : m_random.between(0.2, 1.5);
    }
}

void Schedule::stopEntry(unsigned entry, TimePoint giveUpAt, bool waitsForStream)
{
    if (!waitsForStream || m_journal.isStreaming(entry) || now() >= giveUpAt)
        return m_fleet.entries()[entry]->stop();
    runAfter(m_loop, streamPollPeriod, [this, entry, giveUpAt] { stopEntry(entry, giveUpAt, true); });
}

ProcessControl& Schedule::anyProcess()
{
    auto& entries = m_fleet.entries();
    auto& agents = m_fleet.agents();
    const auto number = m_random.below(entries.size() + agents.size());
    return number < entries.size() ? *entries[number] : *agents[number - entries.size()];
}

void Schedule::signalSettings() { anyProcess().signal(SIGHUP, false); }

void Schedule::signalAfterStart(ProcessControl& process)
{
    if (now() >= m_endsAt || !m_random.chance(earlySignalShare))
        return;
    runAfter(m_loop, fromSeconds(m_random.chance(0.5) ? m_random.between(0, startupSeconds) : m_random.between(0, earlySignalSeconds)), [&process] { process.signal(SIGHUP, false); });
}

void Schedule::drainEngine()
{
    const auto number = m_random.below(m_fleet.engineCount());
    auto& engine = m_fleet.engine(number);
    if (engine.isLeaving())
        return;
    m_journal.addNote(engine.id() + " drains");
    engine.drain();
    const auto serving = drainTime + fromSeconds(m_random.between(0.2, maxExtraDrainSeconds));
    runAfter(m_loop, serving, [this, number, id = engine.id()] {
        auto& engine = m_fleet.engine(number);
        if (engine.id() != id)
            return;
        m_journal.addNote(id + " leaves");
        engine.unregister();
        engine.breakOff();
        m_fleet.replaceEngine(number, fromSeconds(m_random.between(0.5, 2)));
    });
}

Trouble Schedule::drawTrouble(const std::string& kind)
{
    if (kind == "slow-engine")
        return SlowEngine { m_random.between(2, 6), m_random.between(1, 4) };
    if (kind == "silent-report")
        return SilentReports { m_random.between(0.3, 3) };
    if (kind == "engine-crash")
        return EngineCrash { m_random.between(0.5, 3) };
    const bool isEntry = kind == "freeze-entry" || kind == "kill-entry";
    if (kind == "freeze-entry" || kind == "freeze-agent")
        return FreezeProcess { isEntry, m_random.between(0.1, 2) };
    return KillProcess { isEntry };
}

void Schedule::strike(const Trouble& trouble)
{
    struct Visitor {
        Schedule& schedule;
        unsigned engineNumber;

        EngineStandIn& engine() const { return schedule.m_fleet.engine(engineNumber); }
        ProcessControl& process(bool isEntry) const
        {
            auto& processes = isEntry ? schedule.m_fleet.entries() : schedule.m_fleet.agents();
            return *processes[schedule.m_random.below(processes.size())];
        }
        void note(const std::string& text) const { schedule.m_journal.addNote(text); }
        void operator()(const SlowEngine& slow) const
        {
            note(engine().id() + " slower by " + std::to_string(slow.factor) + " for " + std::to_string(slow.seconds) + " s");
            engine().slowDown(slow.factor, now() + fromSeconds(slow.seconds));
        }
        void operator()(const SilentReports& silent) const
        {
            note(engine().id() + " gives no reports for " + std::to_string(silent.seconds) + " s");
            engine().silenceReports(now() + fromSeconds(silent.seconds));
        }
        void operator()(const EngineCrash& crash) const
        {
            auto& crashing = engine();
            if (crashing.isLeaving())
                return;
            note(crashing.id() + " crashes, back after " + std::to_string(crash.pauseSeconds) + " s");
            crashing.breakOff();
            runAfter(schedule.m_loop, registrationTimeout, [&crashing] { crashing.unregister(); });
            schedule.m_fleet.replaceEngine(engineNumber, fromSeconds(crash.pauseSeconds));
        }
        void operator()(const FreezeProcess& freeze) const
        {
            auto& frozen = process(freeze.isEntry);
            note(frozen.node() + " is suspended for " + std::to_string(freeze.seconds) + " s");
            frozen.freeze(fromSeconds(freeze.seconds));
        }
        void operator()(const KillProcess& kill) const
        {
            auto& killed = process(kill.isEntry);
            note(killed.node() + " is killed");
            killed.signal(SIGKILL, true);
        }
    };
    std::visit(Visitor { *this, m_random.below(m_fleet.engineCount()) }, trouble);
}

}
