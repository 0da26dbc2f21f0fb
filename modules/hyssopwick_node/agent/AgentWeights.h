#pragma once

#include "../runtime/NodeContext.h"
#include "WantedWeights.h"

namespace hyssopwick {

/// Downloads wanted weights to this VM and sends their chunks to peers over HTTP, as
/// PushDecision decides. Serves manifests and answers offers of peers, and serves complete
/// verified weights, chunk by chunk, to the local engine. Thread-safe.
class AgentWeights {
public:
    explicit AgentWeights(NodeContext& context);
    ~AgentWeights();

    void registerMethods();

    /// Replaces the wanted weights. Transfers of weights that are no longer wanted are cancelled.
    void setWanted(const std::vector<WantedWeights>& wanted);

    /// Replaces the manifests whose chunks stay stored although no longer wanted, because the
    /// engine serves them.
    void setRetained(const std::set<Digest>& manifests);

    /// Returns whether all chunks are stored and verified.
    bool isStaged(const Digest& manifest) const;

    /// Returns the manifest if its weights are staged.
    std::optional<Manifest> stagedManifest(const Digest& manifest) const;

    /// Receives a chunk from a peer: PUT /chunks/MANIFEST/NUMBER.
    void receiveChunk(const HttpRequest& request, HttpResponder& responder);

    /// Serves a manifest to a peer: GET /manifests/DIGEST.
    void serveManifest(const HttpRequest& request, HttpResponder& responder);

    /// Serves staged weights to the local engine: GET /weights/MANIFEST[/NUMBER].
    void serveWeights(const HttpRequest& request, HttpResponder& responder);

    /// Sets the handler that is called, on any thread, each time weights have been staged.
    void onStaged(std::function<void()> handler);

    /// Returns the numbers of chunks held and wanted, over all transfers.
    std::pair<std::uint64_t, std::uint64_t> progress() const;

    bool isSending() const { return m_sendsInProgress > 0; }

private:
    struct Transfer;
    using TransferPointer = std::shared_ptr<Transfer>;

    TransferPointer find(const Digest& manifest) const;
    void startManifestFetch(const TransferPointer& transfer, unsigned attempt);
    void acceptManifest(const TransferPointer& transfer, const std::string& text, const std::string& from, unsigned attempt);
    void advanceAll();
    void perform(const TransferPointer& transfer, const std::vector<PushAction>& actions);
    void perform(const TransferPointer& transfer, const FetchFromOrigin& action);
    void perform(const TransferPointer& transfer, const SendOffer& action);
    void perform(const TransferPointer& transfer, const SendChunk& action);
    void sendChunkNow(const TransferPointer& transfer, const SendChunk& action, const std::string& address);
    void storeChunk(const TransferPointer& transfer, std::uint32_t chunk, ChunkStore::Bytes bytes, const std::string& from);
    void checkStaged(const TransferPointer& transfer);
    void releaseUnused();
    nlohmann::json answerOffer(const nlohmann::json& parameters);

    NodeContext& m_context;
    ChunkStore m_store;
    mutable std::mutex m_mutex; // guards the members below and every Transfer
    std::map<Digest, TransferPointer> m_transfers;
    std::set<Digest> m_retained;
    std::map<Digest, Manifest> m_knownManifests;
    std::function<void()> m_onStaged;
    RandomSource m_random;
    std::atomic<int> m_sendsInProgress { 0 };
};

}
