#include "Fleet.h"

#include "FleetSettings.h"

namespace hyssopwick::soak {

namespace {
    constexpr unsigned plainServiceCount = 3;
    constexpr unsigned callerCount = 48;
    // Plain requests for each stream.
    constexpr double plainRatio = 0.4;
    constexpr Milliseconds processPollPeriod { 10 };
    constexpr Milliseconds readinessPeriod { 100 };
    constexpr Milliseconds startTimeout { 20000 };
}

Fleet::Fleet(EventLoop& loop, Journal& journal, const Options& options, const std::string& folder)
    : m_loop(loop)
    , m_journal(journal)
    , m_options(options)
    , m_store(loop, m_network.at(LoopbackNetwork::storeHost, Port::Store))
    , m_origin(loop, m_network.at(LoopbackNetwork::originHost, Port::Origin))
    , m_random(options.seed * 2 + 1)
{
    m_store.set("op/config", configuration(m_configurationVersion, EnginePace().slots, m_origin.address()));
    m_store.set(std::string("op/version/") + modelName, { { "model", modelName }, { "version", m_weightsVersion } });
    for (unsigned number = 0; number < plainServiceCount; ++number)
        m_plainServices.push_back(std::make_unique<PlainService>(loop, m_store, journal, "p-" + std::to_string(number + 1), m_network.at(LoopbackNetwork::firstPlainHost + number, Port::Engine)));
    for (unsigned number = 0; number < options.engines; ++number) {
        m_engines.push_back(std::make_unique<EngineStandIn>(loop, m_store, journal, "i-" + std::to_string(number + 1), engineAddress(number), m_weightsVersion, options.engineTimeFactor));
        m_agents.push_back(std::make_unique<ProcessControl>(loop, journal, agentName(number), options.programFolder + "/hyssopwick-platform-agent", folder, agentSettings(m_network, number, options.entries)));
    }
    for (unsigned number = 0; number < options.entries; ++number) {
        m_entryOfAddress[m_network.at(LoopbackNetwork::firstEntryHost + number, Port::Callers)] = number;
        m_entries.push_back(std::make_unique<ProcessControl>(loop, journal, entryName(number), options.programFolder + "/hyssopwick-platform-entry", folder, entrySettings(m_network, number, options.entries)));
    }
    addCallers();
}

void Fleet::addCallers()
{
    for (unsigned number = 0; number < callerCount; ++number) {
        std::vector<std::string> directories;
        for (unsigned entry = 0; entry < m_options.entries; ++entry)
            directories.push_back(m_network.at(LoopbackNetwork::firstEntryHost + (number + entry) % m_options.entries, Port::Directory));
        Caller::Traits traits;
        traits.lifetimeFactor = number % 3 == 0 ? 3 : 1;
        traits.readsSlowly = number < m_options.slowReaderShare * callerCount;
        m_callers.push_back(std::make_unique<Caller>(m_loop, m_journal, m_random, std::move(directories), m_entryOfAddress, traits));
    }
}

void Fleet::start()
{
    for (const auto& entry : m_entries)
        entry->start();
    for (const auto& agent : m_agents)
        agent->start();
    pollProcesses(now());
}

void Fleet::pollProcesses(TimePoint expectedAt)
{
    m_largestLoopDelay = std::max(m_largestLoopDelay, now() - expectedAt);
    for (const auto& entry : m_entries)
        entry->poll();
    for (const auto& agent : m_agents)
        agent->poll();
    const auto next = now() + processPollPeriod;
    runAfter(m_loop, processPollPeriod, [this, next] { pollProcesses(next); });
}

void Fleet::waitUntilReady(std::function<void(bool)> handler) { checkReady(0, now() + startTimeout, std::move(handler)); }

void Fleet::checkReady(unsigned entry, TimePoint giveUpAt, std::function<void(bool)> handler)
{
    if (entry >= m_entries.size() || now() >= giveUpAt)
        return handler(entry >= m_entries.size());
    const auto connection = std::make_shared<ClientConnection>(m_loop, m_network.at(LoopbackNetwork::firstEntryHost + entry, Port::Ready));
    connection->exchange(requestText("GET", "/-/ready", { { "Host", connection->address() }, { "Connection", "close" } }, ""), { nullptr, nullptr, [this, connection, entry, giveUpAt, handler = std::move(handler)](ExchangeEnd end) {
                                                                                                                                    const bool isReady = end == ExchangeEnd::Complete && connection->response().status() == 200;
                                                                                                                                    connection->close();
                                                                                                                                    runAfter(m_loop, isReady ? Milliseconds(0) : readinessPeriod, [this, next = entry + (isReady ? 1 : 0), giveUpAt, handler] { checkReady(next, giveUpAt, handler); });
                                                                                                                                } });
}

void Fleet::startLoad()
{
    m_isLoaded = true;
    for (const auto& caller : m_callers)
        caller->refreshAddresses();
    scheduleStream();
    schedulePlain();
}

void Fleet::scheduleStream()
{
    runAfter(m_loop, fromSeconds(m_random.exponential(1 / m_options.streamsPerSecond)), [this] {
        if (!m_isLoaded)
            return;
        m_callers[m_random.below(m_callers.size())]->send(CallPlan::stream(m_random));
        scheduleStream();
    });
}

void Fleet::schedulePlain()
{
    runAfter(m_loop, fromSeconds(m_random.exponential(1 / (plainRatio * m_options.streamsPerSecond))), [this] {
        if (!m_isLoaded)
            return;
        m_callers[m_random.below(m_callers.size())]->send(CallPlan::plain(m_random));
        schedulePlain();
    });
}

void Fleet::disableRestarts()
{
    for (const auto& entry : m_entries)
        entry->disableRestart();
    for (const auto& agent : m_agents)
        agent->disableRestart();
}

void Fleet::replaceEngine(unsigned number, Clock::duration pause)
{
    runAfter(m_loop, pause, [this, number] {
        auto id = "i-" + std::to_string(number + 1) + "-" + std::to_string(++m_replacements);
        m_formerEngines.push_back(std::move(m_engines[number]));
        m_engines[number] = std::make_unique<EngineStandIn>(m_loop, m_store, m_journal, std::move(id), engineAddress(number), 0, m_options.engineTimeFactor);
    });
}

void Fleet::publishConfiguration()
{
    m_configurationVersion += 1 + m_random.below(3);
    m_store.set("op/config", configuration(m_configurationVersion, EnginePace().slots, m_origin.address()));
}

void Fleet::publishWeights() { m_store.set(std::string("op/version/") + modelName, { { "model", modelName }, { "version", ++m_weightsVersion } }); }

}
