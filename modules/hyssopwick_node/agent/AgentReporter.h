#pragma once

#include "../runtime/ActiveConfiguration.h"
#include "../runtime/SharedMemberTable.h"
#include "AgentActivation.h"

namespace hyssopwick {

/// Sends status reports of this upstream VM to entry VMs and processes what their answers
/// carry: newer configuration revisions, member changes and grants. Thread-safe.
class AgentReporter {
public:
    AgentReporter(NodeContext& context, SharedMemberTable& members, ActiveConfiguration& configuration, AgentActivation& activation, UpstreamProxy& proxy,
        AgentWeights& weights);

    void start();

    /// Reports to all targets at once. Call it after a change that entry VMs should learn of before
    /// their next periodic report.
    void reportNow();

    /// Sets whether this VM is ready for calls, which the reports state.
    void setReady(bool isReady) { m_isReady = isReady; }

    /// Queues cache events for the next reports.
    void addCacheEvents(const std::vector<CacheEvent>& events);

    TimePoint lastAnswerAt() const;

private:
    std::vector<VmIdentity> targets();
    nlohmann::json makeReport(std::size_t targetCount);
    void reportTo(const VmIdentity& entry, std::size_t targetCount);
    void receive(const VmIdentity& entry, const Outcome<nlohmann::json>& answer, TimePoint sentAt);
    void reportNext();
    void readVmList();

    NodeContext& m_context;
    SharedMemberTable& m_members;
    ActiveConfiguration& m_configuration;
    AgentActivation& m_activation;
    UpstreamProxy& m_proxy;
    AgentWeights& m_weights;
    VmListClient m_vmList;
    std::atomic<bool> m_isReady { false };
    mutable std::mutex m_mutex; // guards the members below
    std::size_t m_nextTarget = 0;
    std::vector<CacheEvent> m_cacheEvents;
    TimePoint m_lastAnswerAt;
    TimePoint m_synchronisedAt;
};

}
