#pragma once

#include "Fleet.h"

#include <variant>

namespace hyssopwick::soak {

struct SlowEngine {
    double factor = 1;
    double seconds = 0;
};

struct SilentReports {
    double seconds = 0;
};

struct EngineCrash {
    double pauseSeconds = 0;
};

struct FreezeProcess {
    bool isEntry = false;
    double seconds = 0;
};

struct KillProcess {
    bool isEntry = false;
};

/// An unplanned fault.
using Trouble = std::variant<SlowEngine, SilentReports, EngineCrash, FreezeProcess, KillProcess>;

/// Planned stops and other events, drawn from the seed.
class Schedule {
public:
    Schedule(EventLoop& loop, Journal& journal, Fleet& fleet, const Options& options);

    /// Plays events until \p endsAt.
    void start(TimePoint endsAt);

private:
    /// Repeats an event with random pauses in seconds.
    void repeat(double least, double most, std::function<void()> event);

    void stopEntries();
    void stopEntry(unsigned entry, TimePoint giveUpAt, bool waitsForStream);
    void signalSettings();
    void signalAfterStart(ProcessControl& process);
    void drainEngine();
    void strike(const Trouble& trouble);
    Trouble drawTrouble(const std::string& kind);

    std::vector<unsigned> stoppableEntries();
    ProcessControl& anyProcess();

    EventLoop& m_loop;
    Journal& m_journal;
    Fleet& m_fleet;
    const Options& m_options;
    Random m_random;
    TimePoint m_endsAt;
};

}
