#pragma once

#include "FakeServer.h"

#include <hyssopwick_distribution.h>

namespace hyssopwick {

/// Weights that a FakeOrigin generates from seeds.
struct FakeWeights {
    std::string name;
    std::string version;
    std::size_t chunkCount = 0;
    std::size_t chunkBytes = 0;
    std::uint64_t seed = 0; ///< chunks with the same seed and number are identical
    std::size_t changedFrom = 0; ///< first chunk that is generated from changedSeed
    std::uint64_t changedSeed = 0;
};

/// Generates the bytes of \p weights.
std::string makeWeights(const FakeWeights& weights);

/// Fake of the origin and its rate-limited store: all transfers share one link. Fault
/// switches: "outage", "corrupt" and "stall" (share of chunks),
/// "bytes_per_second" (link; 0 for no limit), "queue" (requests that may wait;
/// further ones are answered 429).
class FakeOrigin : public FakeServer {
public:
    explicit FakeOrigin(std::string address);

    /// Adds weights and returns their manifest.
    Manifest add(const FakeWeights& weights);

    /// Returns the bytes of chunks sent.
    std::uint64_t bytesSent() const { return m_bytesSent; }

protected:
    void handle(HttpRequest request, HttpResponderPointer responder) override;

private:
    void sendChunk(const std::string& digestHex, const HttpResponderPointer& responder);

    std::mutex m_mutex; // guards all below but the counter
    std::map<std::string, std::string> m_manifests;
    std::map<std::string, std::shared_ptr<const std::string>> m_chunks;
    TimePoint m_linkFreeAt;
    RandomSource m_random { 11 };
    std::atomic<std::uint64_t> m_bytesSent { 0 };
};

}
