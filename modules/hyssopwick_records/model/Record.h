#pragma once

#include <hyssopwick_core.h>

#include <variant>

namespace hyssopwick {

/// What a rollout minimises.
enum class RolloutObjective {
    Time,
    OriginBytes,
};

/// Placement of a version of a model's weights on upstream VMs.
struct PlacementRecord {
    std::string name; ///< model or adapter name that callers ask for
    std::string version;
    Digest manifest; ///< digest of the manifest of the weights
    std::string base; ///< for an adapter, the placement it extends; "" for a model
    std::string workerKind; ///< kind of the upstream VMs that may serve it
    std::int64_t replicas = 1;
    std::int64_t minServing = 0; ///< replicas that must keep serving during a rollout
    RolloutObjective objective = RolloutObjective::Time;

    auto tied() const { return std::tie(name, version, manifest, base, workerKind, replicas, minServing, objective); }
    bool operator==(const PlacementRecord& other) const { return tied() == other.tied(); }
    bool operator!=(const PlacementRecord& other) const { return !(*this == other); }
};

/// A kind of upstream: its name in request paths and the methods that may be retried.
struct ServiceRecord {
    std::string name; ///< name in request paths; for model workers, their kind
    std::string workerKind;
    bool isModel = false;
    bool checksFencingToken = false; ///< the engine refuses orders with an old fencing token
    std::vector<std::string> idempotentMethods;
    std::vector<std::string> nonIdempotentMethods;

    auto tied() const { return std::tie(name, workerKind, isModel, checksFencingToken, idempotentMethods, nonIdempotentMethods); }
    bool operator==(const ServiceRecord& other) const { return tied() == other.tied(); }
    bool operator!=(const ServiceRecord& other) const { return !(*this == other); }
};

/// A client account: credential, share and limits.
struct AccountRecord {
    std::string name;
    Digest credential; ///< SHA-256 of the secret; the secret itself is never in a record
    std::int64_t weight = 1; ///< share under overload, relative to the other accounts
    std::int64_t priority = 5; ///< 0 (lowest) to 9 (highest)
    std::int64_t requestsPerSecond = 0; ///< 0 for no limit

    auto tied() const { return std::tie(name, credential, weight, priority, requestsPerSecond); }
    bool operator==(const AccountRecord& other) const { return tied() == other.tied(); }
    bool operator!=(const AccountRecord& other) const { return !(*this == other); }
};

/// Orders an entry or upstream VM to serve or to leave.
struct VmStateRecord {
    std::string name; ///< VM id
    bool isLeaving = false;

    auto tied() const { return std::tie(name, isLeaving); }
    bool operator==(const VmStateRecord& other) const { return tied() == other.tied(); }
    bool operator!=(const VmStateRecord& other) const { return !(*this == other); }
};

/// The engine role of an upstream VM, ordered with a fencing token.
struct RoleRecord {
    std::string name; ///< VM id
    std::string role; ///< "mixed", "prompt" or "generation"

    auto tied() const { return std::tie(name, role); }
    bool operator==(const RoleRecord& other) const { return tied() == other.tied(); }
    bool operator!=(const RoleRecord& other) const { return !(*this == other); }
};

/// Any record of the operators' configuration.
using Record = std::variant<PlacementRecord, ServiceRecord, AccountRecord, VmStateRecord, RoleRecord>;

/// Returns the kind of \p record as written in files, for example "placement".
std::string recordKind(const Record& record);

std::string recordName(const Record& record);

/// Returns "kind/name", which is unique in a bundle.
std::string recordKey(const Record& record);

}
