#pragma once

#include "../http/HttpListener.h"
#include "../members/MemberGossip.h"
#include "../runtime/GatewayProcess.h"
#include "../runtime/PeerSocket.h"
#include "../runtime/RequestBudgetReport.h"
#include "../view/ViewReplicator.h"
#include "AddressAnswers.h"
#include "CallFlow.h"
#include "EngineSubscriptions.h"
#include "EntryServices.h"
#include "PromptBlockRecords.h"

namespace hyssopwick {

/// The process on an entry VM: serves callers, their requests for entry addresses and the
/// platform's readiness checks, and passes its view of the store on to other processes.
class EntryGateway : public GatewayProcess {
public:
    explicit EntryGateway(GatewayContext& context);

    /// Starts to listen on all addresses in the settings.
    Outcome<void> start() override;

    /// Stops accepting callers, finishes the calls that run, then stops the event loop.
    void stop() override;

    void reload(const ProcessDescription& description) override;

private:
    void serveCaller(const ServerExchangePointer& exchange);
    void advanceQueue(const std::string& service);
    void scheduleQueueAdvance(const std::string& service);
    void serveDirectory(const ServerExchangePointer& exchange);
    void serveReadiness(const ServerExchangePointer& exchange);
    void serveInternal(const ServerExchangePointer& exchange);
    void serveMetrics(const ServerExchangePointer& exchange);
    void receive(const PeerMessage& message, const std::string& sender);
    void sendToEntries(const PeerMessage& message);
    void repeatToPeer();
    void membersChanged();
    void updateReadiness();
    void maintain();
    void recordLoopDelay(TimePoint expectedAt);
    void reconsiderCalls();
    void registerInStore();
    void renewRegistration();
    void scheduleRegistration(Milliseconds delay);
    void restoreRegistration(std::uint64_t era);
    void finishStopping();
    std::vector<std::string> callerAddresses(const AddressQuery& query);

    GatewayContext& m_context;
    PeerSocket m_peerSocket;
    MemberGossip m_gossip;
    AddressAnswers m_addresses;
    EntryServices m_services;
    EngineSubscriptions m_subscriptions;
    ViewReplicator m_view;
    PromptBlockRecords m_blockRecords;
    HttpListener m_callers;
    HttpListener m_directory;
    HttpListener m_readiness;
    HttpListener m_internal;
    HttpListener m_metrics;
    RequestBudgetReport m_budgetReport;
    LoopTimer m_maintenanceTimer;
    LoopTimer m_registrationTimer;
    LoopTimer m_stopTimer;
    std::map<std::string, LoopTimer> m_queueTimers; // by service
    std::set<std::string> m_queuesToAdvance;
    std::map<std::uint64_t, std::shared_ptr<CallFlow>> m_calls;
    std::uint64_t m_lease = 0;
    std::optional<std::uint64_t> m_leaseEra; // of the store when it granted the lease
    TimePoint m_repeatAt;
    bool m_isReady = false;
    bool m_isStopping = false;
    TimePoint m_stopBy;
    TimePoint m_listenUntil;
};

}
