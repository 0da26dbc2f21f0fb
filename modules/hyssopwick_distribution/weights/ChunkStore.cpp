#include "ChunkStore.h"

namespace hyssopwick {

ChunkStore::ChunkStore(std::uint64_t budgetBytes)
    : m_budgetBytes(budgetBytes)
{
}

Outcome<void> ChunkStore::insert(const Digest& digest, std::uint64_t expectedBytes, Bytes bytes)
{
    if (bytes->size() != expectedBytes)
        return failure(ErrorCode::Corrupt, "chunk " + digest.shortHex() + " has " + std::to_string(bytes->size()) + " bytes instead of " + std::to_string(expectedBytes));
    const auto actual = Digest::of(*bytes);
    if (actual != digest)
        return failure(ErrorCode::Corrupt, "chunk " + digest.shortHex() + " has digest " + actual.shortHex());
    std::lock_guard<std::mutex> lock(m_mutex);
    if (m_chunks.count(digest) != 0)
        return success();
    if (m_usedBytes + expectedBytes > m_budgetBytes)
        return failure(ErrorCode::RateLimited, "weight budget of " + std::to_string(m_budgetBytes) + " bytes is exhausted");
    m_usedBytes += expectedBytes;
    m_chunks.emplace(digest, std::move(bytes));
    return success();
}

ChunkStore::Bytes ChunkStore::find(const Digest& digest) const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_chunks.find(digest);
    return found == m_chunks.end() ? nullptr : found->second;
}

bool ChunkStore::holdsAll(const Manifest& manifest) const { return missingBytes(manifest) == 0; }

std::uint64_t ChunkStore::retainOnly(const std::vector<Manifest>& manifests)
{
    std::set<Digest> retained;
    for (const auto& manifest : manifests)
        retained.insert(manifest.chunks().begin(), manifest.chunks().end());
    std::lock_guard<std::mutex> lock(m_mutex);
    std::uint64_t freed = 0;
    for (auto chunk = m_chunks.begin(); chunk != m_chunks.end();) {
        if (retained.count(chunk->first) != 0) {
            ++chunk;
            continue;
        }
        freed += chunk->second->size();
        chunk = m_chunks.erase(chunk);
    }
    m_usedBytes -= freed;
    return freed;
}

std::uint64_t ChunkStore::usedBytes() const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_usedBytes;
}

std::uint64_t ChunkStore::missingBytes(const Manifest& manifest) const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    std::uint64_t missing = 0;
    for (std::uint32_t chunk = 0; chunk < manifest.chunkCount(); ++chunk) {
        if (m_chunks.count(manifest.chunks()[chunk]) == 0)
            missing += manifest.sizeOf(chunk);
    }
    return missing;
}

}
