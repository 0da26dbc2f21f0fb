#pragma once

#include "../runtime/ActiveConfiguration.h"
#include "ClaimWriter.h"
#include "EntryGossip.h"
#include "RequestParser.h"
#include "UpstreamTable.h"

namespace hyssopwick {

/// Serves callers' requests on an entry VM: admits them, claims non-idempotent ones, sends
/// attempts to upstreams, retries, and gives each request one final answer. Thread-safe.
class EntryRequests {
public:
    EntryRequests(NodeContext& context, SharedMemberTable& members, ActiveConfiguration& configuration, UpstreamTable& upstreams, ClaimWriter& claims);

    void start();

    /// Handles POST /v1/completions and POST /v1/services/SERVICE/METHOD.
    void handle(HttpRequest request, HttpResponderPointer responder);

    void refuse(const RequestFlowPointer& flow, const Refusal& refusal);

    /// Accepts only the requests that \p stop allows from now on. Others are refused as not run;
    /// the refusals name other entry VMs.
    void beginStop(const PlannedStop& stop);

    /// Ends the requests in progress with a final answer that says whether they ran. Call it again
    /// while inProgress(): a request may be between two steps.
    void abort();

    /// Returns the number of requests in progress, including queued ones.
    std::size_t inProgress() const;

    EntryLoad load();

    /// Records the load and demand of another entry VM, received by gossip.
    void recordLoad(const std::string& entry, const EntryLoad& load);

    /// Returns the entry VMs that a caller should use, best first.
    std::vector<VmIdentity> chooseAddresses(std::size_t count);

private:
    struct OtherEntryLoad {
        EntryLoad load;
        TimePoint receivedAt;
    };

    AdmissionDecision& admissionFor(const std::string& workerKind, TimePoint now);
    void enqueue(const RequestFlowPointer& flow);
    void dispatch(const AdmissionChanges& changes);
    void startAdmitted(const RequestFlowPointer& flow);
    void claim(const RequestFlowPointer& flow);
    void startAttempt(const RequestFlowPointer& flow);
    void waitForUpstream(const RequestFlowPointer& flow, const Refusal& refusal, Milliseconds delay);
    void send(const RequestFlowPointer& flow, const Route& route);
    void receive(const RequestFlowPointer& flow, Outcome<HttpClientResponse> answer);
    void retryOrRefuse(const RequestFlowPointer& flow, AttemptFailure failure);
    void refuseFinally(const RequestFlowPointer& flow, Refusal refusal);
    void answer(const RequestFlowPointer& flow, int status, std::string body, bool isReplay);
    void end(const RequestFlowPointer& flow);
    void sweep();
    void refreshLimits();

    NodeContext& m_context;
    SharedMemberTable& m_members;
    ActiveConfiguration& m_configuration;
    UpstreamTable& m_upstreams;
    ClaimWriter& m_claims;
    std::atomic<bool> m_isAborting { false };
    mutable std::mutex m_mutex; // guards the members below; not held while calling m_members, m_configuration, m_upstreams or m_claims
    std::optional<PlannedStop> m_stop;
    std::uint64_t m_nextId = 1;
    std::map<std::uint64_t, RequestFlowPointer> m_flows;
    std::map<std::string, AdmissionDecision> m_admissions; // by worker kind
    std::map<std::string, ConcurrencyDecision> m_concurrency; // by worker kind
    RetryBudget m_retryBudget;
    RandomSource m_random;
    RateLimitShareDecision m_shares;
    std::map<std::string, OtherEntryLoad> m_otherEntries;
    std::map<std::string, double> m_recentSelections; // by entry VM; decaying count of address answers that list it first
    std::map<std::string, double> m_demand;
    TimePoint m_demandTakenAt;
};

}
