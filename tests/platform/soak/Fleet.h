#pragma once

#include "Caller.h"
#include "EngineStandIn.h"
#include "LoopbackNetwork.h"
#include "Options.h"
#include "OriginStandIn.h"
#include "PlainService.h"
#include "ProcessControl.h"

namespace hyssopwick::soak {

/// The machines of one run: real entries and agents, and stand-ins for all others.
class Fleet {
public:
    /// \param folder  for settings and logs of the processes
    Fleet(EventLoop& loop, Journal& journal, const Options& options, const std::string& folder);

    void start();

    /// Calls \p handler once all entries are ready, or with false at a timeout.
    void waitUntilReady(std::function<void(bool)> handler);

    /// Sends requests at the given rate until stopLoad().
    void startLoad();
    void stopLoad() { m_isLoaded = false; }

    /// Leaves the processes that end from now on ended.
    void disableRestarts();

    std::vector<std::unique_ptr<ProcessControl>>& entries() { return m_entries; }
    std::vector<std::unique_ptr<ProcessControl>>& agents() { return m_agents; }
    EngineStandIn& engine(unsigned number) { return *m_engines[number]; }
    unsigned engineCount() const { return static_cast<unsigned>(m_engines.size()); }

    /// Ends an engine and starts a new one without weights in its place some time later.
    void replaceEngine(unsigned number, Clock::duration pause);

    void publishConfiguration();
    void publishWeights();

    /// Returns the longest time by which the loop of this process was late.
    Clock::duration largestLoopDelay() const { return m_largestLoopDelay; }

private:
    void addCallers();
    void pollProcesses(TimePoint expectedAt);
    void scheduleStream();
    void schedulePlain();
    void checkReady(unsigned entry, TimePoint giveUpAt, std::function<void(bool)> handler);
    std::string engineAddress(unsigned number) const { return m_network.at(LoopbackNetwork::firstEngineHost + number, Port::Engine); }

    EventLoop& m_loop;
    Journal& m_journal;
    const Options& m_options;
    LoopbackNetwork m_network;
    StoreStandIn m_store;
    OriginStandIn m_origin;
    Random m_random;
    std::vector<std::unique_ptr<PlainService>> m_plainServices;
    std::vector<std::unique_ptr<EngineStandIn>> m_engines;
    std::vector<std::unique_ptr<EngineStandIn>> m_formerEngines; // their timers may still run
    std::map<std::string, unsigned> m_entryOfAddress;
    std::vector<std::unique_ptr<Caller>> m_callers;
    std::vector<std::unique_ptr<ProcessControl>> m_entries;
    std::vector<std::unique_ptr<ProcessControl>> m_agents;
    std::uint64_t m_configurationVersion = 1;
    std::uint64_t m_weightsVersion = 1;
    unsigned m_replacements = 0;
    bool m_isLoaded = false;
    Clock::duration m_largestLoopDelay { 0 };
};

}
