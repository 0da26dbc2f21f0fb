#pragma once

#include "Manifest.h"

#include <map>
#include <memory>
#include <mutex>
#include <set>

namespace hyssopwick {

/// Verified chunks of a VM, by digest, in memory under a stated budget. A chunk is
/// checked before it is kept. Thread-safe.
class ChunkStore {
public:
    using Bytes = std::shared_ptr<const std::string>;

    explicit ChunkStore(std::uint64_t budgetBytes);

    /// Verifies and keeps a chunk. Keeping a chunk twice changes nothing.
    /// Fails with ErrorCode::Corrupt when \p bytes have another digest or size, and
    /// with ErrorCode::RateLimited when the budget is spent.
    Outcome<void> insert(const Digest& digest, std::uint64_t expectedBytes, Bytes bytes);

    /// Returns a chunk, or nullptr.
    Bytes find(const Digest& digest) const;

    /// Returns whether every chunk of \p manifest is kept.
    bool holdsAll(const Manifest& manifest) const;

    /// Releases every chunk that none of \p manifests names; returns the bytes freed.
    std::uint64_t retainOnly(const std::vector<Manifest>& manifests);

    /// Returns the bytes kept.
    std::uint64_t usedBytes() const;

    /// Returns the bytes that keeping all of \p manifest would add.
    std::uint64_t missingBytes(const Manifest& manifest) const;

    std::uint64_t budgetBytes() const { return m_budgetBytes; }

private:
    const std::uint64_t m_budgetBytes;
    mutable std::mutex m_mutex; // guards all below
    std::map<Digest, Bytes> m_chunks;
    std::uint64_t m_usedBytes = 0;
};

}
