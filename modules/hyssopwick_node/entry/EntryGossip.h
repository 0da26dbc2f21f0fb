#pragma once

#include "../runtime/ActiveConfiguration.h"
#include "../runtime/SharedMemberTable.h"

#include <hyssopwick_requests.h>

namespace hyssopwick {

/// Load and demand of an entry VM, as spread by gossip.
struct EntryLoad {
    double requestsInProgress = 0;
    std::map<std::string, double> demand; ///< requests per second by account
    std::map<Digest, Milliseconds> refusedRequests; ///< that crash upstreams, by digest, with the remaining time
};

/// Probes the other entry VMs as ProbeDecision decides and spreads member updates,
/// configuration revisions and load with the probes. Thread-safe.
class EntryGossip {
public:
    using LoadSource = std::function<EntryLoad()>;
    using LoadSink = std::function<void(const std::string& entry, const EntryLoad& load)>;

    EntryGossip(NodeContext& context, SharedMemberTable& members, ActiveConfiguration& configuration);

    void registerMethods();

    /// \param source  returns the load of this VM
    /// \param sink    receives the loads of others
    void setLoadHandlers(LoadSource source, LoadSink sink);

    void start();

    /// Notifies a few entry VMs of a new revision without waiting for the next probe.
    void announceRevision(ConfigurationRevision revision);

    /// Notifies a few entry VMs that this one has left.
    void announceDeparture();

private:
    void sendToRandomEntries(const std::string& method, const nlohmann::json& message);
    void runRound();
    nlohmann::json makePing();
    void receivePing(const nlohmann::json& message);
    void confirmConfiguration(const nlohmann::json& answer, TimePoint sentAt);
    void perform(const ProbeAction& action);
    void ping(const SendPing& action);
    void pingIndirectly(const SendIndirectPing& action);
    void suspect(const std::string& vm);
    std::optional<VmIdentity> identityOf(const std::string& vm);

    NodeContext& m_context;
    SharedMemberTable& m_members;
    ActiveConfiguration& m_configuration;
    LoadSource m_loadSource;
    LoadSink m_loadSink;
    std::mutex m_mutex; // guards the members below; locked after the member table's mutex
    ProbeDecision m_probes;
    RandomSource m_random;
    unsigned m_rounds = 0;
};

}
