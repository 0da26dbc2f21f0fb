#pragma once

#include "ClientConnection.h"
#include "FleetSettings.h"
#include "Journal.h"
#include "ProcessControl.h"
#include "Worker.hpp"

namespace review {

/// A small deployment: the programs of the deploy file as processes, and stand-ins for all others.
class Deployment {
public:
    struct Options {
        unsigned entries = 2;
        unsigned workers = 4;
        double streamsPerSecond = 20;
        double plainPerSecond = 5;
    };

    struct Counts {
        unsigned sent = 0;
        unsigned served = 0;
        unsigned refused = 0;
        unsigned other = 0;
    };

    Deployment(EventLoop& loop, Record& record, const std::string& folder, const Options& options);

    /// Starts the processes, and the callers when all entries are ready.
    void start(std::function<void(bool isReady)> onReady);
    void stopCallers() { m_isCalling = false; }

    void nameVersion(std::uint64_t version);

    std::vector<std::unique_ptr<Worker>>& workers() { return m_workers; }
    std::vector<std::unique_ptr<ProcessControl>>& entries() { return m_entries; }
    std::vector<std::unique_ptr<ProcessControl>>& agents() { return m_agents; }
    /// How late this process, which runs all stand-ins, was with an event.
    Clock::duration largestDelay() const { return m_largestDelay; }
    const Counts& streams() const { return m_streams; }
    const Counts& plain() const { return m_plain; }

private:
    void poll(TimePoint expectedAt);
    void checkReady(unsigned entry, TimePoint giveUpAt, std::function<void(bool)> handler);
    void schedule(bool isStream);
    void call(bool isStream);

    EventLoop& m_loop;
    Record& m_record;
    Options m_options;
    Journal m_journal;
    LoopbackNetwork m_network;
    StoreStandIn m_store;
    Origin m_origin;
    Random m_random { 1 };
    std::vector<std::unique_ptr<Worker>> m_workers;
    std::unique_ptr<HttpServer> m_plainServer;
    std::vector<std::unique_ptr<ProcessControl>> m_entries;
    std::vector<std::unique_ptr<ProcessControl>> m_agents;
    bool m_isCalling = false;
    unsigned m_calls = 0;
    Clock::duration m_largestDelay {};
    Counts m_streams;
    Counts m_plain;
};

/// Runs a case: its number of seconds, and what returns whether the rule held. Exits as run.sh has to.
int runCase(int argc, char** argv, const Deployment::Options& options, double seconds, const std::function<void(EventLoop&, Deployment&, Record&, bool hasTrouble)>& begin, const std::function<bool(Deployment&, Record&)>& holds);

}
