#include "Manifest.h"

#include <nlohmann/json.hpp>
#include <set>

namespace hyssopwick {

namespace {

    constexpr std::int64_t manifestFormat = 1;
    constexpr std::uint64_t maxChunks = 200'000;
    constexpr std::uint64_t maxChunkBytes = std::uint64_t(64) << 20;

    auto invalid(const std::string& message) { return failure(ErrorCode::InvalidInput, "manifest: " + message); }

}

Manifest Manifest::build(const std::string& name, const std::string& version, const std::string& weights, std::size_t chunkBytes)
{
    auto chunks = nlohmann::json::array();
    for (std::size_t offset = 0; offset < weights.size(); offset += chunkBytes)
        chunks.push_back(Digest::of(weights.data() + offset, std::min(chunkBytes, weights.size() - offset)).hex());
    const auto text = nlohmann::json { { "format", manifestFormat }, { "name", name }, { "version", version },
        { "total_bytes", weights.size() }, { "chunk_bytes", chunkBytes }, { "chunks", chunks } }
                          .dump();
    return parse(text, Digest::of(text)).value();
}

Outcome<Manifest> Manifest::parse(const std::string& text, const Digest& pinned)
{
    if (text.size() > maxTextBytes)
        return invalid("is larger than " + std::to_string(maxTextBytes) + " bytes");
    const auto digest = Digest::of(text);
    if (digest != pinned)
        return failure(ErrorCode::Corrupt, "manifest: digest is " + digest.hex() + " but the record pins " + pinned.hex());
    Manifest manifest;
    try {
        const auto json = nlohmann::json::parse(text);
        if (json.at("format").get<std::int64_t>() != manifestFormat)
            return invalid("format is not " + std::to_string(manifestFormat));
        manifest.m_name = json.at("name").get<std::string>();
        manifest.m_version = json.at("version").get<std::string>();
        manifest.m_totalBytes = json.at("total_bytes").get<std::uint64_t>();
        manifest.m_chunkBytes = json.at("chunk_bytes").get<std::uint64_t>();
        for (const auto& item : json.at("chunks")) {
            manifest.m_chunks.push_back(Digest::fromHex(item.get<std::string>()));
            if (manifest.m_chunks.back().isEmpty())
                return invalid("chunk " + std::to_string(manifest.m_chunks.size() - 1) + " has a malformed digest");
            if (manifest.m_chunks.size() > maxChunks)
                return invalid("has more than " + std::to_string(maxChunks) + " chunks");
        }
    } catch (const std::exception& exception) {
        return invalid(exception.what());
    }
    if (manifest.m_chunkBytes == 0 || manifest.m_chunkBytes > maxChunkBytes)
        return invalid("chunk size " + std::to_string(manifest.m_chunkBytes) + " is not in 1.." + std::to_string(maxChunkBytes));
    if (manifest.m_totalBytes == 0 || manifest.m_totalBytes > maxChunks * maxChunkBytes)
        return invalid("total size " + std::to_string(manifest.m_totalBytes) + " is out of range");
    const auto expected = (manifest.m_totalBytes + manifest.m_chunkBytes - 1) / manifest.m_chunkBytes;
    if (expected != manifest.m_chunks.size())
        return invalid("has " + std::to_string(manifest.m_chunks.size()) + " chunks but its sizes require " + std::to_string(expected));
    if (std::set<Digest>(manifest.m_chunks.begin(), manifest.m_chunks.end()).size() != manifest.m_chunks.size())
        return invalid("lists a chunk twice");
    manifest.m_text = text;
    manifest.m_digest = digest;
    return manifest;
}

std::uint64_t Manifest::sizeOf(std::uint32_t chunk) const
{
    const auto offset = m_chunkBytes * chunk;
    return std::min(m_chunkBytes, m_totalBytes - offset);
}

}
