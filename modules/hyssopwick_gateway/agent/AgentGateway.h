#pragma once

#include "../http/HttpListener.h"
#include "../runtime/GatewayProcess.h"
#include "../runtime/PeerSocket.h"
#include "../runtime/RequestBudgetReport.h"
#include "../view/EvacuationRecord.h"
#include "../view/ViewReplicator.h"
#include "EngineActivation.h"
#include "EngineRetirement.h"
#include "EngineUpdates.h"
#include "WeightsTarget.h"

#include <hyssopwick_requests.h>

namespace hyssopwick {

/// The process beside a model engine: reports the engine's load to the entries, fetches
/// weights, serves them to other agents, and orders its own engine, and no other, to load them.
class AgentGateway : public GatewayProcess {
public:
    explicit AgentGateway(GatewayContext& context);

    Outcome<void> start() override;

    /// Stops the event loop; an engine needs no agent to finish what it runs.
    void stop() override;

    void reload(const ProcessDescription& description) override;

private:
    struct KnownVersion {
        TimePoint earliestPublication; ///< the earliest time at which it may have been published
        bool isPublished = false; ///< false for the first version, which has no record in the store
    };

    struct PeerActivation {
        ActivationUpdate update;
        TimePoint receivedAt;
    };

    void serveInternal(const ServerExchangePointer& exchange);
    void serveMetrics(const ServerExchangePointer& exchange);
    void receive(const PeerMessage& message, const std::string& sender);
    void poll();
    void schedulePoll(Milliseconds delay);
    void recordReport(const Outcome<EngineReport>& report);
    void sendUpdate(bool isUrgent);
    std::optional<Milliseconds> readyIn() const;
    void plan();
    void planSwarms();
    void planActivation();
    void planRetirement();
    /// Returns whether a version that is loaded now could serve calls.
    bool isWorthLoading(std::uint64_t version) const;
    void updatePeers();
    void updateActivationGroup();
    void announceActivation();
    void recordPeerActivations();
    bool mayLoad() const;
    /// Returns whether the engine of this VM may get calls. One of an evacuated failure domain gets none.
    bool isServing() const { return loadedVersion() != 0 && !m_eligibility.isEvacuated(m_context.description.failureDomain); }
    TimePoint activationBound(std::uint64_t loaded, std::uint64_t version) const;
    std::uint64_t loadedVersion() const;
    std::shared_ptr<WeightsSwarm> swarmOf(const std::string& model, const std::string& version) const;
    SwarmMember memberFor(const std::string& ip, const std::string& failureDomain, UnixMilliseconds startedAt) const;

    GatewayContext& m_context;
    PeerSocket m_peerSocket;
    ViewReplicator m_view;
    EngineClient m_engine;
    EngineRetirement m_retirement;
    HttpListener m_internal;
    HttpListener m_metrics;
    RequestBudgetReport m_budgetReport;
    EngineUpdates m_updates;
    LoopTimer m_pollTimer;
    LoopTimer m_retirementTimer;
    UpstreamRegistry m_registry;
    UpstreamEligibility m_eligibility;
    std::map<std::string, VmIdentity> m_entries; // registered in the store
    std::optional<ServiceDescription> m_service;
    std::optional<ServiceDescription> m_origin;
    std::map<std::uint64_t, KnownVersion> m_versions; // of the service's first model
    std::map<std::uint64_t, std::shared_ptr<WeightsSwarm>> m_swarms;
    std::shared_ptr<EngineActivation> m_activation;
    std::optional<ActivationSchedule> m_schedule;
    std::uint64_t m_scheduledVersion = 0; // that m_schedule is for
    std::map<std::string, PeerActivation> m_peerActivations; // by node
    std::vector<WeightsSwarm::Peer> m_peers; // engines of the same service
    std::size_t m_servingPeers = 0; // of m_peers, without evacuated ones
    std::vector<std::string> m_groupIds; // of the peers with which loads are arranged
    std::vector<std::string> m_groupAddresses;
    std::uint64_t m_peersRevision = 0; // revision of m_registry from which m_peers was made
    EngineReport m_report;
    PrefillEstimate m_prefillEstimate;
    bool m_hasReport = false;
    bool m_isAnswering = false;
    unsigned m_failedPolls = 0;
    TimePoint m_lastAnnouncementAt;
};

}
