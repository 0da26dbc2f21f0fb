#pragma once

#include "../runtime/NodeContext.h"
#include "WantedWeights.h"

namespace hyssopwick {

/// Brings wanted weights onto this VM and passes their chunks on: the shell of
/// PushDecision over HTTP. Serves manifests, chunks and offers to peers, and whole
/// verified weights, chunk by chunk, to the local engine. Thread-safe.
class AgentWeights {
public:
    explicit AgentWeights(NodeContext& context);
    ~AgentWeights();

    /// Registers the JSON-RPC methods.
    void registerMethods();

    /// Replaces the wanted weights. Transfers of weights no longer wanted end at once.
    void setWanted(const std::vector<WantedWeights>& wanted);

    /// Keeps the chunks of \p manifest although it is no longer wanted, because the
    /// engine serves it; replaces the previous list.
    void setRetained(const std::set<Digest>& manifests);

    /// Returns whether the weights are whole and verified.
    bool isStaged(const Digest& manifest) const;

    /// Returns the manifest of staged weights.
    std::optional<Manifest> stagedManifest(const Digest& manifest) const;

    /// Receives a chunk from a peer: PUT /chunks/MANIFEST/NUMBER.
    void receiveChunk(const HttpRequest& request, HttpResponder& responder);

    /// Serves a manifest to a peer: GET /manifests/DIGEST.
    void serveManifest(const HttpRequest& request, HttpResponder& responder);

    /// Serves staged weights to the local engine: GET /weights/MANIFEST[/NUMBER].
    void serveWeights(const HttpRequest& request, HttpResponder& responder);

    /// Calls \p handler, on any thread, each time weights have been staged.
    void onStaged(std::function<void()> handler);

    /// Returns chunks held and wanted over all transfers, for status reports.
    std::pair<std::uint64_t, std::uint64_t> progress() const;

    /// Returns whether chunks are being sent to peers.
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
    void keepChunk(const TransferPointer& transfer, std::uint32_t chunk, ChunkStore::Bytes bytes, const std::string& from);
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
