#pragma once

#include "AgentWeights.h"
#include "UpstreamClient.h"
#include "UpstreamProxy.h"

namespace hyssopwick {

/// Puts staged weights into service on the local engine, placement by placement: waits for the
/// coordinator's grant, drains the calls in progress, orders the engine to load, and announces
/// the version as serving only after the engine confirms it. Thread-safe.
class AgentActivation {
public:
    AgentActivation(NodeContext& context, AgentWeights& weights, UpstreamProxy& proxy);

    /// Replaces the placements that this VM should serve.
    void setWanted(const std::vector<PlacementRecord>& wanted);

    void receiveGrant(const ActivationGrant& grant);

    /// Takes the next step of each placement where one is due, unless another thread does so.
    /// Blocks; call it periodically from a pool thread.
    void advance();

    /// Returns the report for the coordinator of each placement.
    std::map<std::string, ReplicaReport> reports() const;

    std::vector<ServedVersion> serving() const;

    /// Returns the manifests of the weights that the engine has in service.
    std::set<Digest> manifestsInService() const;

private:
    struct PlacementState {
        PlacementRecord wanted;
        bool isWanted = false;
        ServedVersion serving; // confirmed by the engine; empty manifest for none
        Digest failed;
        std::optional<ActivationGrant> grant;
        bool isDraining = false; // refuses new calls while running ones end and the engine loads
    };

    void confirmServing();
    void orderLoad(const std::string& placement);
    void publishServing();

    NodeContext& m_context;
    AgentWeights& m_weights;
    UpstreamProxy& m_proxy;
    UpstreamClient m_upstream;
    std::mutex m_advanceMutex; // allows one advance() at a time; locked before m_mutex
    mutable std::mutex m_mutex; // guards the members below
    std::map<std::string, PlacementState> m_placements;
    std::uint64_t m_highestFencingToken = 0;
};

}
