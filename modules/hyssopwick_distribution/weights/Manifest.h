#pragma once

#include <hyssopwick_core.h>

namespace hyssopwick {

/// The chunks of one version of a model or adapter. Its digest is pinned by the
/// operators' record, so that only the operators decide what is loaded.
class Manifest {
public:
    /// Largest manifest text that is accepted, in bytes.
    static constexpr std::size_t maxTextBytes = std::size_t(16) << 20;

    /// Builds the manifest of \p weights, split into chunks of \p chunkBytes.
    static Manifest build(const std::string& name, const std::string& version, const std::string& weights, std::size_t chunkBytes);

    /// Parses a manifest and checks it against the pinned digest. Fails with
    /// ErrorCode::Corrupt for another digest and ErrorCode::InvalidInput for sizes
    /// that do not add up, repeated or missing chunks, or counts out of range.
    static Outcome<Manifest> parse(const std::string& text, const Digest& pinned);

    const std::string& text() const { return m_text; }
    const Digest& digest() const { return m_digest; }
    const std::string& name() const { return m_name; }
    const std::string& version() const { return m_version; }
    std::uint64_t totalBytes() const { return m_totalBytes; }
    std::uint64_t chunkBytes() const { return m_chunkBytes; }
    std::uint32_t chunkCount() const { return static_cast<std::uint32_t>(m_chunks.size()); }
    const std::vector<Digest>& chunks() const { return m_chunks; }

    /// Returns the size of a chunk in bytes; the last one may be shorter.
    std::uint64_t sizeOf(std::uint32_t chunk) const;

    bool operator==(const Manifest& other) const { return m_digest == other.m_digest; }
    bool operator!=(const Manifest& other) const { return m_digest != other.m_digest; }

private:
    Manifest() = default;

    std::string m_text;
    Digest m_digest;
    std::string m_name;
    std::string m_version;
    std::uint64_t m_totalBytes = 0;
    std::uint64_t m_chunkBytes = 0;
    std::vector<Digest> m_chunks;
};

}
