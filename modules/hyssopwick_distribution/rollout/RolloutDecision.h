#pragma once

#include <hyssopwick_records.h>

namespace hyssopwick {

/// One VM's report about one placement.
struct ReplicaReport {
    std::string vm;
    Digest serving; ///< manifest in service; empty for none
    Digest staged; ///< manifest stored completely and verified, ready to load; empty for none
    Digest failed; ///< manifest that the engine refused to load; empty for none

    auto tied() const { return std::tie(vm, serving, staged, failed); }
    bool operator==(const ReplicaReport& other) const { return tied() == other.tied(); }
    bool operator!=(const ReplicaReport& other) const { return !(*this == other); }
};

/// Allows one VM to order its engine to load a manifest.
struct ActivationGrant {
    std::string placement;
    Digest manifest;
    std::string vm;
    std::uint64_t fencingToken = 0; ///< revision of the coordinator's lease
    TimePoint validUntil; ///< the order must be given before this instant
};

/// State of a rollout, shown to operators.
struct RolloutStatus {
    std::size_t wanted = 0; ///< replicas that should serve
    std::size_t serving = 0; ///< replicas that serve the wanted manifest
    std::size_t servingOther = 0; ///< replicas that still serve another manifest
    std::size_t failed = 0; ///< VMs whose engine failed to load the wanted manifest
    bool isHalted = false; ///< two of them failed, or all; nothing more is granted
};

/// Decides, on the entry VM that holds a placement's coordinator lease, which VM
/// may load the new manifest now. A VM that serves nothing may load at once; one
/// that serves another manifest only while enough others serve. Grants of an
/// earlier coordinator expire before this one issues any. Pure.
class RolloutDecision {
public:
    /// \param earlierGrantsUntil  until when grants of an earlier coordinator may be valid
    RolloutDecision(PlacementRecord placement, TimePoint earlierGrantsUntil);

    /// Replaces the placement when the configuration changes.
    void setPlacement(const PlacementRecord& placement);

    /// Replaces the live VMs that should serve the placement.
    void setReplicas(const std::vector<std::string>& replicas);

    void recordReport(const ReplicaReport& report, TimePoint now);

    /// Decides on a grant for \p vm.
    /// \param fencingToken  the coordinator's current fencing token
    /// \param validUntil    end of the coordinator's lease less its safety margin
    /// \returns the grant, or nothing when the VM has to wait
    std::optional<ActivationGrant> decide(const std::string& vm, std::uint64_t fencingToken, TimePoint validUntil, TimePoint now);

    RolloutStatus status() const;

    const PlacementRecord& placement() const { return m_placement; }

private:
    struct Replica {
        ReplicaReport report;
        TimePoint reportedAt;
    };

    std::size_t countServingNotLoading(TimePoint now) const;

    PlacementRecord m_placement;
    TimePoint m_earlierGrantsUntil;
    std::vector<std::string> m_replicas;
    std::map<std::string, Replica> m_reports;
    std::map<std::string, TimePoint> m_loadingUntil; // of VMs with a grant
    std::map<std::string, Digest> m_failedManifests; // VM to the manifest it failed to load
};

}
