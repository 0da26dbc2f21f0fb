#pragma once

#include "Manifest.h"

#include <map>
#include <memory>
#include <mutex>
#include <set>

namespace hyssopwick {

/// Stores the verified chunks of a VM by digest, in memory and within a byte budget.
/// Chunks are verified before they are stored. Thread-safe.
class ChunkStore {
public:
    using Bytes = std::shared_ptr<const std::string>;

    explicit ChunkStore(std::uint64_t budgetBytes);

    /// Verifies and stores a chunk. Storing a chunk twice changes nothing.
    /// Fails with ErrorCode::Corrupt when \p bytes have another digest or size, and
    /// with ErrorCode::RateLimited when the budget is exhausted.
    Outcome<void> insert(const Digest& digest, std::uint64_t expectedBytes, Bytes bytes);

    /// Returns a chunk, or nullptr.
    Bytes find(const Digest& digest) const;

    /// Returns whether every chunk of \p manifest is stored.
    bool holdsAll(const Manifest& manifest) const;

    /// Releases every chunk that none of \p manifests lists; returns the bytes freed.
    std::uint64_t retainOnly(const std::vector<Manifest>& manifests);

    std::uint64_t usedBytes() const;

    /// Returns the bytes that storing the rest of \p manifest would add.
    std::uint64_t missingBytes(const Manifest& manifest) const;

    std::uint64_t budgetBytes() const { return m_budgetBytes; }

private:
    const std::uint64_t m_budgetBytes;
    mutable std::mutex m_mutex; // guards all below
    std::map<Digest, Bytes> m_chunks;
    std::uint64_t m_usedBytes = 0;
};

}
