#pragma once

#include "PrefixIndex.h"

#include <optional>
#include <set>

namespace hyssopwick {

/// A placement that an upstream VM serves, with its version and manifest.
struct ServedVersion {
    std::string placement;
    std::string version;
    Digest manifest;

    auto tied() const { return std::tie(placement, version, manifest); }
    bool operator==(const ServedVersion& other) const { return tied() == other.tied(); }
    bool operator!=(const ServedVersion& other) const { return !(*this == other); }
};

/// What an upstream VM reports about itself.
struct UpstreamReport {
    VmIdentity vm;
    std::uint64_t incarnation = 0;
    bool isLeaving = false;
    bool isReady = true; ///< the engine or service answers
    std::int64_t inFlight = 0;
    std::int64_t capacity = 1;
    std::vector<ServedVersion> serving;
};

/// What a request requires of its upstream.
struct RouteQuery {
    std::string workerKind;
    std::string placement; ///< "" for a plain service
    std::string pinnedVersion; ///< "" until the first upstream is chosen
    std::vector<std::uint64_t> prefixes; ///< prefixHashes() of the prompt
    std::set<std::string> excluded; ///< upstreams that were already tried
};

/// How an upstream is chosen. All but Affinity are baselines for comparison.
enum class RoutePolicy {
    Affinity, ///< longest cached prefix within a load bound, else the least loaded of a few
    Random,
    RoundRobin,
    TwoChoices,
};

/// The chosen upstream.
struct Route {
    std::string vm;
    std::string address;
    std::string version; ///< "" for a plain service
    Digest manifest;
};

/// Decides which upstream VM runs a request. Load is the number of this entry's own
/// requests in progress, which is exact, plus those of other entry VMs as last reported.
/// As a report ages, the mean over the upstreams replaces it, since otherwise all entry
/// VMs would send to the upstream with the lowest report. Affinity follows "consistent
/// hashing with bounded loads" (Mirrokni, Thorup and Zadimoghaddam 2016): a cached prefix
/// attracts a request only while the VM's load is within a factor of the mean. Pure.
class RouteDecision {
public:
    explicit RouteDecision(RoutePolicy policy = RoutePolicy::Affinity);

    /// Records a report. Reports of an older incarnation are ignored.
    void recordReport(const UpstreamReport& report, TimePoint now);

    /// Records the load that an upstream stated in an answer.
    void recordLoad(const std::string& vm, std::int64_t inFlight, TimePoint now);

    /// Stops routing to \p vm until it reports a newer incarnation.
    void recordLeaving(const std::string& vm);

    /// Stops routing to \p vm for a short time, at most until its next report.
    void recordFailure(const std::string& vm, TimePoint now);

    /// Removes an upstream, for example when it is dead.
    void remove(const std::string& vm);

    /// Chooses an upstream and counts the request as started there.
    std::optional<Route> choose(const RouteQuery& query, RandomSource& random, TimePoint now);

    /// Counts a request as finished.
    void recordFinished(const std::string& vm);

    /// Records that a VM cached or dropped a prefix.
    void recordCacheEvent(const std::string& vm, std::uint64_t prefix, bool isCached);

    /// Returns the capacity of all usable upstreams that serve \p placement, or
    /// of the kind \p workerKind when \p placement is "".
    std::int64_t capacityFor(const std::string& workerKind, const std::string& placement, TimePoint now) const;

    /// Returns whether any known upstream, usable or not, serves \p placement.
    bool servesAnywhere(const std::string& placement) const;

    /// Returns the ids of all upstreams with a fresh report.
    std::vector<std::string> freshUpstreams(TimePoint now) const;

private:
    struct Upstream {
        UpstreamReport report;
        TimePoint reportedAt;
        TimePoint failedUntil;
        std::int64_t ownInFlight = 0; ///< requests of this entry VM in progress
        std::int64_t othersInFlight = 0; ///< requests of other entry VMs, as of its last report
        std::uint64_t lastChosen = 0; ///< value of m_choiceCount when it was last chosen; breaks ties
        bool isLeaving = false;
    };

    double loadOf(const Upstream& upstream, TimePoint now) const;
    void recordInFlight(Upstream& upstream, std::int64_t inFlight, TimePoint now);
    static const ServedVersion* findServedVersion(const Upstream& upstream, const RouteQuery& query);
    bool isUsable(const Upstream& upstream, const RouteQuery& query, TimePoint now) const;
    const Upstream* chooseFromPool(const RouteQuery& query, const std::vector<const std::string*>& pool, RandomSource& random, TimePoint now);
    const Upstream* chooseCached(const RouteQuery& query, const std::vector<const std::string*>& pool, TimePoint now);
    void updateGroups(const std::string& vm);

    RoutePolicy m_policy;
    std::unordered_map<std::string, Upstream> m_upstreams;
    std::map<std::string, std::vector<std::string>> m_byGroup; // VMs by placement or worker kind
    PrefixIndex m_prefixes;
    double m_meanOthersInFlight = 0; // requests of other entry VMs per upstream, smoothed
    std::uint64_t m_choiceCount = 0;
    std::size_t m_nextRoundRobin = 0;
};

}
