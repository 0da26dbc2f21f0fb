#pragma once

#include "../runtime/ConfigurationHolder.h"
#include "ClaimKeeper.h"
#include "EntryGossip.h"
#include "RequestParser.h"
#include "UpstreamTable.h"

namespace hyssopwick {

/// Serves callers' requests on an entry VM: admission, claims, attempts at
/// upstreams, retries, and the one final answer. Thread-safe.
class EntryRequests {
public:
    EntryRequests(NodeContext& context, MemberHolder& members, ConfigurationHolder& configuration, UpstreamTable& upstreams, ClaimKeeper& claims);

    /// Starts the periodic work.
    void start();

    /// Handles POST /v1/completions and POST /v1/services/SERVICE/METHOD.
    void handle(HttpRequest request, HttpResponderPointer responder);

    /// Answers a request with a refusal.
    void refuse(const RequestFlowPointer& flow, const Refusal& refusal);

    /// Refuses new requests, as not run with other entry VMs to use.
    void close() { m_isClosed = true; }

    /// Returns requests in progress, queued ones included.
    std::size_t inProgress() const;

    /// Returns load and demand for gossip.
    EntryLoad load();

    /// Takes over load and demand of another entry VM.
    void recordLoad(const std::string& entry, const EntryLoad& load);

    /// Returns the entry VMs that a caller should use, best first.
    std::vector<VmIdentity> chooseAddresses(std::size_t count);

private:
    struct OtherEntry {
        EntryLoad load;
        TimePoint at;
    };

    AdmissionDecision& admissionFor(const std::string& workerKind, TimePoint now);
    void enqueue(const RequestFlowPointer& flow);
    void dispatch(const AdmissionChanges& changes);
    void begin(const RequestFlowPointer& flow);
    void claim(const RequestFlowPointer& flow);
    void attempt(const RequestFlowPointer& flow);
    void waitForUpstream(const RequestFlowPointer& flow, const Refusal& refusal, Milliseconds pause);
    void send(const RequestFlowPointer& flow, const Route& route);
    void receive(const RequestFlowPointer& flow, Outcome<HttpClientResponse> answer);
    void retryOrRefuse(const RequestFlowPointer& flow, AttemptFailure failure);
    void refuseFinally(const RequestFlowPointer& flow, Refusal refusal);
    void answer(const RequestFlowPointer& flow, int status, std::string body, bool isReplay);
    void end(const RequestFlowPointer& flow);
    void sweep();
    void refreshLimits();

    NodeContext& m_context;
    MemberHolder& m_members;
    ConfigurationHolder& m_configuration;
    UpstreamTable& m_upstreams;
    ClaimKeeper& m_claims;
    std::atomic<bool> m_isClosed { false };
    mutable std::mutex m_mutex; // guards all below; no call to another part while held
    std::uint64_t m_nextId = 1;
    std::map<std::uint64_t, RequestFlowPointer> m_flows;
    std::map<std::string, AdmissionDecision> m_admissions; // by worker kind
    std::map<std::string, ConcurrencyDecision> m_concurrency; // by worker kind
    RetryBudget m_retryBudget;
    RandomSource m_random;
    RateLimitShareDecision m_shares;
    std::map<std::string, OtherEntry> m_others;
    std::map<std::string, double> m_named; // entry VM to how often it was lately named first
    std::map<std::string, double> m_demand;
    TimePoint m_demandTakenAt;
};

}
