#pragma once

#include "../http/ServerExchange.h"
#include "../runtime/PeerSocket.h"
#include "EngineClient.h"

#include <hyssopwick_distribution.h>
#include <list>

namespace hyssopwick {

/// Fetches one version of a model's weights and serves it to other agents: performs the
/// actions of PullDecision. Chunks are verified against the manifest when they arrive and
/// again when they are read from the staging area.
class WeightsSwarm : public std::enable_shared_from_this<WeightsSwarm> {
public:
    /// Another agent that fetches and serves weights.
    struct Peer {
        SwarmMember member;
        std::string address;

        bool operator==(const Peer& other) const { return member == other.member && address == other.address; }
        bool operator!=(const Peer& other) const { return !(*this == other); }
    };

    WeightsSwarm(GatewayContext& context, PeerSocket& peerSocket, EngineClient& engine, WeightsVersion weights, ServiceDescription service, SwarmMember self);
    ~WeightsSwarm();

    /// Fetches the manifest and then the chunks.
    /// \param mayBeStaged  whether to look for chunks in the staging area first
    void start(bool mayBeStaged);

    void stop();

    void setPeers(const std::vector<Peer>& peers);

    /// Sets whether the engine of this VM serves calls, for which part of the link is reserved.
    void setEngineServing(bool isServing) { m_isEngineServing = isServing; }

    /// Called when the last chunk has arrived.
    void onComplete(std::function<void()> handler) { m_onComplete = std::move(handler); }

    /// Estimates how long it takes until all chunks have arrived.
    Milliseconds timeToComplete() const;

    /// Returns whether chunks are missing and none has arrived for a while.
    bool isStalled() const;

    bool isComplete() const { return m_decision && m_decision->isComplete(); }
    const WeightsVersion& weights() const { return m_weights; }
    const std::optional<WeightsManifest>& manifest() const { return m_manifest; }

    /// Reads a chunk and verifies it. Fails with ErrorCode::Corrupt when its digest differs.
    void readChunk(unsigned chunk, std::function<void(Outcome<std::string>)> handler);

    /// Records that all chunks are in the staging area, and frees those in memory.
    void recordStaged();

    /// Records that staged chunks are corrupt or overwritten, and fetches again all chunks that are not in memory.
    void recordStagingCorrupt();

    /// Answers a peer's request for the manifest or a chunk of this version.
    void serveManifest(const ServerExchangePointer& exchange);
    void serveChunk(const ServerExchangePointer& exchange, unsigned chunk);

    /// Records which chunks a peer holds.
    void receive(const ChunksUpdate& update);

    /// Returns the path of this version in requests between agents.
    static std::string pathOf(const WeightsVersion& weights) { return weights.model + "/" + std::to_string(weights.version); }

private:
    void fetchManifest();
    void useManifest(WeightsManifest manifest);
    void scanStaged(unsigned chunk);
    void startFetching();
    void advance();
    void scheduleAdvance();
    void perform(const FetchFromOrigin& action);
    void perform(const PullChunk& action);
    void perform(const AnnounceHeldChunks& action);
    void uploadNext();
    void sendPaced(const ServerExchangePointer& exchange, const std::shared_ptr<const std::string>& bytes, std::size_t from, TimePoint sentUntil);
    ChunksUpdate chunksUpdate(bool wantsAnswer) const;
    bool storeChunk(unsigned chunk, std::string bytes, const std::string& from);
    std::vector<SwarmMember> members() const;
    std::string addressOf(const std::string& member) const;

    GatewayContext& m_context;
    PeerSocket& m_peerSocket;
    EngineClient& m_engine;
    WeightsVersion m_weights;
    ServiceDescription m_service;
    SwarmMember m_self;
    ManifestRequests m_manifestRequests;
    LoopTimer m_timer;
    std::vector<Peer> m_peers;
    std::optional<WeightsManifest> m_manifest;
    std::unique_ptr<PullDecision> m_decision;
    std::map<unsigned, std::string> m_chunksInMemory;
    std::vector<unsigned> m_stagedAtStart;
    std::function<void()> m_onComplete;
    TimePoint m_startedAt;
    TimePoint m_lastProgressAt;
    TimePoint m_originFailingSince;
    unsigned m_originFailures = 0; // since its last answer
    unsigned m_uploads = 0;
    std::list<std::pair<ServerExchangePointer, unsigned>> m_uploadQueue;
    bool m_mayBeStaged = false;
    bool m_isStopped = false;
    bool m_isEngineServing = false;
    bool m_wasComplete = false;
};

}
