#pragma once

#include "EntryFleet.h"

namespace hyssopwick {

/// Size and speed of a SystemFleet.
struct SystemFleetOptions {
    std::size_t entries = 4;
    std::size_t modelVms = 6;
    std::size_t serviceVms = 3;
    unsigned port = 25000;
    std::int64_t engineCapacity = 8;
    Milliseconds tokenPeriod { 20 };
    std::vector<AccountRecord> accounts;
    std::uint64_t seed = 1;
};

/// Entry nodes, agents, and fakes of engines, services and the platform in one process,
/// over real sockets, serving one small model.
class SystemFleet {
public:
    explicit SystemFleet(SystemFleetOptions options);
    ~SystemFleet();

    /// Starts everything and waits until every model VM serves the model.
    /// \returns "", or an error message
    std::string start();

    EntryFleet& entries() { return m_entries; }
    FakeKeyValue& keyValue() { return m_entries.keyValue(); }
    FakeEngine& engine(std::size_t index) { return *m_engines[index]; }
    FakeService& service(std::size_t index) { return *m_services[index]; }
    AgentNode& agent(std::size_t index) { return *m_agents[index]; }
    std::size_t services() const { return m_services.size(); }
    std::vector<std::string> entryAddresses() const;

    /// Returns the requests of \p tokens that the engines complete per second at full load.
    double engineCapacityPerSecond(unsigned tokens) const;

    FakeCallerOptions callerOptions(const std::string& account, std::uint64_t seed) const;

    static std::string secretOf(const std::string& account) { return "secret-" + account; }

    /// Stops an agent abruptly, as if its process were killed.
    void killAgent(std::size_t index) { m_agents[index].reset(); }

    /// Restarts a killed agent.
    void restartAgent(std::size_t index);

private:
    std::unique_ptr<AgentNode> makeAgent(std::size_t index);
    VmIdentity agentVm(std::size_t index) const;
    std::string upstreamAddress(std::size_t index) const;
    std::size_t servingModelVms();

    SystemFleetOptions m_options;
    EntryFleet m_entries;
    FakeOrigin m_origin;
    std::vector<std::unique_ptr<FakeEngine>> m_engines;
    std::vector<std::unique_ptr<FakeService>> m_services;
    std::vector<std::unique_ptr<AgentNode>> m_agents;
};

}
