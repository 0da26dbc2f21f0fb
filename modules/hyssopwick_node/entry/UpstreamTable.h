#pragma once

#include "../runtime/SharedMemberTable.h"

#include <hyssopwick_requests.h>

namespace hyssopwick {

/// Total capacity of the upstreams of one worker kind that report to this entry VM.
struct UpstreamCapacity {
    double evenShare = 0; ///< each upstream's capacity divided by the entry VMs that it reports to
    double total = 0;
};

/// The upstream VMs that report to this entry VM and the requests that run on each. Feeds
/// RouteDecision and CrashSuspicion. Thread-safe.
class UpstreamTable {
public:
    UpstreamTable(NodeContext& context, SharedMemberTable& members);

    void receiveReport(const nlohmann::json& report);

    /// Chooses an upstream and records the request as running there.
    std::optional<Route> choose(const RouteQuery& query, const Digest& request);

    /// Records the end of an attempt.
    /// \param inFlight  load that the answer stated; negative if it stated none
    void recordFinished(const std::string& vm, const Digest& request, std::int64_t inFlight);

    /// Records a failed attempt.
    /// \param mayHaveCrashed  the request may have crashed the upstream
    void recordFailure(const std::string& vm, const Digest& request, bool wasAlone, bool mayHaveCrashed);

    void recordSuccess(const Digest& request);

    /// Records that an upstream refused a request because it is leaving.
    void recordLeaving(const std::string& vm);

    /// Returns whether the request may run, has to run alone, or is refused, since it may have
    /// crashed upstreams.
    CrashVerdict verdict(const Digest& request);

    /// Returns the digests that are refused now, with the remaining time, for gossip.
    std::map<Digest, Milliseconds> refusedRequests();

    /// Records digests that another entry VM refuses.
    void mergeRefused(const std::map<Digest, Milliseconds>& refused);

    /// Returns the capacity of the upstreams of a worker kind that are not leaving and have reported
    /// within maxReportAge.
    UpstreamCapacity capacityOf(const std::string& workerKind);

    /// Removes upstreams that are dead or have not reported for removalAge, and probes those that
    /// missed reports.
    void advance();

    /// Returns the configuration revision that each known upstream reported.
    std::map<std::string, ConfigurationRevision> revisions();

    /// Returns a summary of each upstream for operators.
    nlohmann::json describe();

    /// Returns whether any known upstream, usable or not, serves \p placement.
    bool servesAnywhere(const std::string& placement);

private:
    struct KnownUpstream {
        nlohmann::json summary;
        ConfigurationRevision revision = 0;
        std::size_t reportTargets = 1; // number of entry VMs that it reports to
        std::int64_t capacity = 0;
        std::string kind;
        TimePoint reportedAt;
        bool isLeaving = false;
        bool isProbed = false;
    };

    void probe(const std::string& vm);

    NodeContext& m_context;
    SharedMemberTable& m_members;
    std::mutex m_mutex; // guards the members below; never held while calling SharedMemberTable
    RouteDecision m_routes;
    CrashSuspicion m_suspicion;
    RandomSource m_random;
    std::map<std::string, KnownUpstream> m_upstreams;
    std::map<std::string, std::multiset<Digest>> m_runningRequests;
};

}
