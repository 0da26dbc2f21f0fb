#include "FakeOrigin.h"

namespace hyssopwick {

namespace {
    constexpr int statusOk = 200;
    constexpr int statusNotFound = 404;
    constexpr int statusUnavailable = 503;
    constexpr int statusTooManyRequests = 429;
    constexpr double defaultQueue = 24;
}

std::string makeWeights(const FakeWeights& weights)
{
    std::string bytes;
    bytes.reserve(weights.chunkCount * weights.chunkBytes);
    for (std::size_t chunk = 0; chunk < weights.chunkCount; ++chunk) {
        const bool isChanged = weights.changedSeed != 0 && chunk >= weights.changedFrom;
        RandomSource random((isChanged ? weights.changedSeed : weights.seed) * 1'000'003 + chunk);
        for (std::size_t i = 0; i < weights.chunkBytes; i += sizeof(std::uint64_t)) {
            const auto word = random.next();
            bytes.append(reinterpret_cast<const char*>(&word), std::min(sizeof word, weights.chunkBytes - i));
        }
    }
    return bytes;
}

FakeOrigin::FakeOrigin(std::string address)
    : FakeServer(std::move(address), 3)
{
}

Manifest FakeOrigin::add(const FakeWeights& weights)
{
    const auto bytes = makeWeights(weights);
    auto manifest = Manifest::build(weights.name, weights.version, bytes, weights.chunkBytes);
    std::lock_guard<std::mutex> lock(m_mutex);
    m_manifests[manifest.digest().hex()] = manifest.text();
    for (std::uint32_t chunk = 0; chunk < manifest.chunkCount(); ++chunk)
        m_chunks[manifest.chunks()[chunk].hex()] = std::make_shared<const std::string>(bytes.substr(chunk * weights.chunkBytes, weights.chunkBytes));
    return manifest;
}

void FakeOrigin::handle(HttpRequest request, HttpResponderPointer responder)
{
    if (request.path == "/stats") {
        responder->send(statusOk, nlohmann::json { { "bytes_sent", m_bytesSent.load() } }.dump());
        return;
    }
    if (fault("outage") > 0) {
        responder->send(statusUnavailable, "outage");
        return;
    }
    const auto slash = request.path.rfind('/');
    const auto digestHex = request.path.substr(slash + 1);
    if (request.path.rfind("/chunks/", 0) == 0) {
        sendChunk(digestHex, responder);
        return;
    }
    std::lock_guard<std::mutex> lock(m_mutex);
    const auto manifest = m_manifests.find(digestHex);
    if (manifest == m_manifests.end())
        responder->send(statusNotFound, "not found");
    else
        responder->send(statusOk, manifest->second);
}

// The link sends one chunk after the other; a chunk is answered once its last byte has been sent.
void FakeOrigin::sendChunk(const std::string& digestHex, const HttpResponderPointer& responder)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    const auto chunk = m_chunks.find(digestHex);
    if (chunk == m_chunks.end()) {
        responder->send(statusNotFound, "not found");
        return;
    }
    if (m_random.unit() < fault("stall"))
        return;
    auto bytes = chunk->second;
    if (m_random.unit() < fault("corrupt")) {
        auto corrupted = *bytes;
        corrupted[corrupted.size() / 2] = static_cast<char>(corrupted[corrupted.size() / 2] ^ 1);
        bytes = std::make_shared<const std::string>(std::move(corrupted));
    }
    const auto rate = fault("bytes_per_second");
    const auto now = monotonicNow();
    const auto duration = rate > 0 ? std::chrono::microseconds(static_cast<std::int64_t>(1e6 * static_cast<double>(bytes->size()) / rate)) : std::chrono::microseconds(0);
    const auto queueLimit = fault("queue") > 0 ? fault("queue") : defaultQueue;
    if (rate > 0 && m_linkFreeAt > now + std::chrono::microseconds(static_cast<std::int64_t>(queueLimit * static_cast<double>(duration.count())))) {
        const auto wait = millisecondsBetween(now, m_linkFreeAt) / 2;
        responder->send(statusTooManyRequests, "over the limit", { { "X-Retry-After-Ms", std::to_string(std::max<std::int64_t>(1, wait)) } });
        return;
    }
    m_linkFreeAt = std::max(now, m_linkFreeAt) + duration;
    m_bytesSent += bytes->size();
    scheduler().at(m_linkFreeAt, [responder, bytes] { responder->send(statusOk, *bytes); });
}

}
