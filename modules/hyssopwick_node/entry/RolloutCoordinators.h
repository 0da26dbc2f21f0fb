#pragma once

#include "../runtime/ActiveConfiguration.h"
#include "../runtime/SharedMemberTable.h"

#include <hyssopwick_distribution.h>

namespace hyssopwick {

/// Coordinates the rollouts of those placements whose rendezvous order puts this entry VM
/// first: holds a lease for each in the key-value service, as LeaseDecision decides, and grants
/// activations, as RolloutDecision decides. Thread-safe.
class RolloutCoordinators {
public:
    RolloutCoordinators(NodeContext& context, SharedMemberTable& members, ActiveConfiguration& configuration, KeyValueLimiter& keyValue);

    /// Acquires, renews and releases leases as due. Blocks; call it from a pool thread.
    void advance();

    /// Records a VM's report of one placement and returns a grant if one is due.
    std::optional<ActivationGrant> receiveReport(const std::string& placement, const ReplicaReport& report);

    /// Releases all leases, for a planned stop.
    void releaseLeases();

    /// Returns the state of the rollouts coordinated here.
    std::map<std::string, RolloutStatus> status();

private:
    struct CoordinatedRollout {
        CoordinatedRollout(const PlacementRecord& placement, const std::string& holder, TimePoint earlierGrantsValidUntil)
            : lease(holder)
            , decision(placement, earlierGrantsValidUntil)
        {
        }

        LeaseDecision lease;
        RolloutDecision decision;
        bool wasHeld = false;
        bool isCompletionLogged = false;
        bool isHaltLogged = false;
    };

    void refresh();
    void stepLease(const std::string& placement);
    void logProgress(const std::string& placement, CoordinatedRollout& rollout);
    void writeSummary(const std::string& placement, const PlacementRecord& record, const RolloutStatus& status);

    NodeContext& m_context;
    SharedMemberTable& m_members;
    ActiveConfiguration& m_configuration;
    KeyValueLimiter& m_keyValue;
    std::mutex m_mutex; // guards the members below
    std::map<std::string, CoordinatedRollout> m_rollouts;
    std::atomic<bool> m_isStopping { false };
    std::atomic<bool> m_isAdvancing { false };
};

}
