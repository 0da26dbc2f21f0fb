#pragma once

#include "../http/ServerExchange.h"
#include "../runtime/PeerSocket.h"
#include "EngineClient.h"

#include <hyssopwick_distribution.h>
#include <list>

namespace hyssopwick {

/// Brings one version of a model's weights to this VM and passes it on to others: carries
/// out what PullDecision decides. Chunks are checked against the manifest when they
/// arrive and again when they are read from the staging area.
class WeightsSwarm : public std::enable_shared_from_this<WeightsSwarm> {
public:
    /// Another agent that takes part.
    struct Peer {
        SwarmMember member;
        std::string address;

        bool operator==(const Peer& other) const { return member == other.member && address == other.address; }
        bool operator!=(const Peer& other) const { return !(*this == other); }
    };

    WeightsSwarm(GatewayContext& context, PeerSocket& hub, EngineClient& engine, WeightsVersion weights, ServiceDescription service, SwarmMember self);
    ~WeightsSwarm();

    /// Fetches the manifest and begins. \param mayBeStaged  look for chunks in the staging area first
    void start(bool mayBeStaged);

    /// Stops all work for this version.
    void stop();

    void setPeers(const std::vector<Peer>& peers);

    /// Sets whether the engine of this VM serves calls, which need a part of the link.
    void setEngineServing(bool isServing) { m_isEngineServing = isServing; }

    /// Called when the last chunk has arrived.
    void onComplete(std::function<void()> handler) { m_onComplete = std::move(handler); }

    /// Estimates how long it takes until all chunks are here.
    Milliseconds timeToComplete() const;

    /// Returns whether no chunk has come for a while though some are missing.
    bool isStuck() const;

    bool isComplete() const { return m_swarm && m_swarm->isComplete(); }
    const WeightsVersion& weights() const { return m_weights; }
    const std::optional<WeightsManifest>& manifest() const { return m_manifest; }

    /// Reads a chunk and checks it. Fails with ErrorCode::Corrupt when it is spoilt.
    void readChunk(unsigned chunk, std::function<void(Outcome<std::string>)> handler);

    /// Tells that all chunks lie in the staging area, so that memory may be freed.
    void recordStaged();

    /// Forgets that chunks lie in the staging area, because they turned out to be spoilt or overwritten.
    void recordSpoilt();

    /// Answers a peer's request for this version.
    void serveManifest(const ServerExchangePointer& exchange);
    void serveChunk(const ServerExchangePointer& exchange, unsigned chunk);

    /// Takes over what a peer says it holds.
    void receive(const ChunksUpdate& news);

    /// Returns the path that names this version in requests between agents.
    static std::string pathOf(const WeightsVersion& weights) { return weights.model + "/" + std::to_string(weights.version); }

private:
    void fetchManifest();
    void useManifest(WeightsManifest manifest);
    void scanStaged(unsigned chunk);
    void beginSwarm();
    void advance();
    void advanceLater();
    void perform(const FetchFromOrigin& action);
    void perform(const PullChunk& action);
    void perform(const AnnounceHeldChunks& action);
    void uploadNext();
    void sendPaced(const ServerExchangePointer& exchange, const std::shared_ptr<const std::string>& bytes, std::size_t from, TimePoint sentUntil);
    ChunksUpdate heldNews(bool wantsAnswer) const;
    bool keepChunk(unsigned chunk, std::string bytes, const std::string& from);
    std::vector<SwarmMember> members() const;
    std::string addressOf(const std::string& member) const;

    GatewayContext& m_context;
    PeerSocket& m_hub;
    EngineClient& m_engine;
    WeightsVersion m_weights;
    ServiceDescription m_service;
    SwarmMember m_self;
    LoopTimer m_timer;
    std::vector<Peer> m_peers;
    std::optional<WeightsManifest> m_manifest;
    std::unique_ptr<PullDecision> m_swarm;
    std::map<unsigned, std::string> m_bytes; // chunks held in memory
    std::vector<unsigned> m_stagedAtStart;
    std::function<void()> m_onComplete;
    TimePoint m_startedAt;
    TimePoint m_progressAt;
    unsigned m_manifestAttempts = 0;
    unsigned m_uploads = 0;
    std::list<std::pair<ServerExchangePointer, unsigned>> m_uploadQueue;
    bool m_mayBeStaged = false;
    bool m_isStopped = false;
    bool m_isEngineServing = false;
    bool m_wasComplete = false;
};

}
