#pragma once

#include "../runtime/ConfigurationHolder.h"
#include "../runtime/MemberHolder.h"

#include <hyssopwick_distribution.h>

namespace hyssopwick {

/// Coordinates the rollouts of the placements that fall to this entry VM by
/// rendezvous order: holds a lease for each in the key-value service and grants
/// activations: the shell of RolloutDecision and LeaseDecision. Thread-safe.
class RolloutCoordinators {
public:
    RolloutCoordinators(NodeContext& context, MemberHolder& members, ConfigurationHolder& configuration, KeyValueLimiter& gate);

    /// Takes the due steps of all leases. Blocks; call from a pool thread.
    void advance();

    /// Records a VM's report of one placement and returns a grant if one is due.
    std::optional<ActivationGrant> receiveReport(const std::string& placement, const ReplicaReport& report);

    /// Gives up all leases, at a planned stop.
    void giveUp();

    /// Returns the state of the rollouts coordinated here.
    std::map<std::string, RolloutStatus> status();

private:
    struct Coordinated {
        Coordinated(const PlacementRecord& placement, const std::string& holder, TimePoint quietUntil)
            : lease(holder)
            , rollout(placement, quietUntil)
        {
        }

        LeaseDecision lease;
        RolloutDecision rollout;
        bool wasHeld = false;
        bool wasCompleteLogged = false;
        bool isHaltLogged = false;
    };

    void refresh();
    void stepLease(const std::string& placement);
    void logProgress(const std::string& placement, Coordinated& coordinated);
    void writeSummary(const std::string& placement, const PlacementRecord& record, const RolloutStatus& status);

    NodeContext& m_context;
    MemberHolder& m_members;
    ConfigurationHolder& m_configuration;
    KeyValueLimiter& m_gate;
    std::mutex m_mutex; // guards all below
    std::map<std::string, Coordinated> m_coordinated;
    std::atomic<bool> m_isStopping { false };
    std::atomic<bool> m_isAdvancing { false };
};

}
