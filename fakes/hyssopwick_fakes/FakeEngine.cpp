#include "FakeEngine.h"

#include <algorithm>
#include <cstdlib>
#include <hyssopwick_requests.h>

namespace hyssopwick {

namespace {
    constexpr std::size_t maxChunkBytes = std::size_t(64) << 20;
    constexpr int statusOk = 200;
    constexpr int statusConflict = 409;
    constexpr int statusUnprocessable = 422;
    constexpr int statusNotFound = 404;
    constexpr int statusUnavailable = 503;
    constexpr std::size_t maxCacheChanges = 4000;
    constexpr Milliseconds fetchTimeout { 10'000 };
}

std::string fakeToken(const std::string& prompt, const std::string& version, std::uint64_t index)
{
    char text[8];
    std::snprintf(text, sizeof text, "%05llx", static_cast<unsigned long long>(stableHash(prompt + "\n" + version + "\n" + std::to_string(index)) & 0xfffff));
    return text;
}

FakeEngine::FakeEngine(FakeEngineOptions options, EventLog* log)
    : FakeServer(options.address)
    , m_options(options)
    , m_log(log)
    , m_onCrash([] { std::_Exit(1); })
    , m_pool(2, 100)
{
    scheduler().every(m_options.tokenPeriod, [this] { tick(); });
    scheduler().every(m_options.statusLag, [this] {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_reportedRunning = static_cast<std::int64_t>(m_running.size());
    });
}

FakeEngine::~FakeEngine()
{
    stop();
    m_client.stop();
    m_pool.stop();
}

void FakeEngine::log(const std::string& event, EventFields fields)
{
    if (m_log)
        m_log->write(event, std::move(fields));
}

std::int64_t FakeEngine::running()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return static_cast<std::int64_t>(m_running.size());
}

void FakeEngine::handle(HttpRequest request, HttpResponderPointer responder)
{
    if (request.path == "/v1/completions") {
        startStream(request, std::move(responder));
        return;
    }
    if (request.path == "/v1/load" || request.path == "/v1/role") {
        const auto body = nlohmann::json::parse(request.body, nullptr, false);
        if (request.path == "/v1/load")
            load(body, std::move(responder));
        else {
            std::lock_guard<std::mutex> lock(m_mutex);
            m_role = body.value("role", "mixed");
            responder->send(statusOk, "{}");
        }
        return;
    }
    std::lock_guard<std::mutex> lock(m_mutex);
    if (request.path == "/v1/models") {
        auto models = nlohmann::json::array();
        for (const auto& [name, loaded] : m_models)
            models.push_back({ { "name", name }, { "version", loaded.version }, { "manifest", loaded.manifest } });
        responder->send(statusOk, nlohmann::json { { "models", models }, { "role", m_role } }.dump());
    } else if (request.path == "/v1/status") {
        responder->send(statusOk, nlohmann::json { { "running", m_reportedRunning }, { "capacity", m_options.capacity } }.dump());
    } else if (request.path == "/v1/cache-events") {
        responder->send(statusOk, cacheEvents(std::strtoull(request.parameter("after", "0").c_str(), nullptr, 10)).dump());
    } else {
        responder->send(statusNotFound, "not found");
    }
}

void FakeEngine::startStream(const HttpRequest& request, HttpResponderPointer responder)
{
    const auto body = nlohmann::json::parse(request.body, nullptr, false);
    Stream stream;
    stream.id = request.header("x-request-id");
    stream.model = body.value("model", "");
    stream.prompt = body.value("prompt", "");
    stream.nextToken = body.value("resume_from", std::uint64_t { 0 });
    stream.endToken = body.value("max_tokens", std::uint64_t { 1 });
    stream.priority = body.value("priority", std::int64_t { 0 });
    stream.responder = std::move(responder);
    if (stream.prompt.find("CRASH") != std::string::npos) {
        log("engine.crashed", { { "attempt", stream.id } });
        m_onCrash();
        return;
    }
    std::lock_guard<std::mutex> lock(m_mutex);
    const auto model = m_models.find(stream.model);
    if (model == m_models.end()) {
        stream.responder->send(statusUnavailable, "model is not loaded", { { "X-Request-Id", stream.id } });
        return;
    }
    stream.version = model->second.version;
    log("engine.run", { { "attempt", stream.id }, { "request", request.header("x-request") }, { "version", stream.version } });
    const auto position = std::find_if(m_waiting.begin(), m_waiting.end(), [&](const Stream& other) { return other.priority < stream.priority; });
    m_waiting.insert(position, std::move(stream));
}

// Returns how many blocks of the prompt were not cached, and caches them.
std::size_t FakeEngine::cachePrompt(const std::string& prompt)
{
    std::size_t missing = 0;
    for (const auto prefix : prefixHashes(prompt)) {
        if (!m_cached.insert(prefix).second)
            continue;
        ++missing;
        m_cacheOrder.push_back(prefix);
        addCacheChange(prefix, true);
        if (m_cacheOrder.size() > m_options.cacheBlocks) {
            m_cached.erase(m_cacheOrder.front());
            addCacheChange(m_cacheOrder.front(), false);
            m_cacheOrder.pop_front();
        }
    }
    return missing;
}

void FakeEngine::addCacheChange(std::uint64_t prefix, bool isCached)
{
    const auto sequence = m_nextSequence++;
    if (m_random.unit() < fault("event_gap"))
        return;
    m_cacheChanges.push_back({ sequence, prefix, isCached });
    if (m_cacheChanges.size() > maxCacheChanges)
        m_cacheChanges.pop_front();
}

nlohmann::json FakeEngine::cacheEvents(std::uint64_t after)
{
    auto events = nlohmann::json::array();
    for (const auto& change : m_cacheChanges) {
        if (change.sequence > after)
            events.push_back({ { "seq", change.sequence }, { "prefix", change.prefix }, { "cached", change.isCached } });
    }
    return { { "events", events } };
}

void FakeEngine::tick()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    const auto now = monotonicNow();
    while (!m_waiting.empty() && static_cast<std::int64_t>(m_running.size()) < m_options.capacity) {
        auto stream = std::move(m_waiting.front());
        m_waiting.pop_front();
        stream.prefillEndsAt = now + m_options.prefillPerBlock * static_cast<std::int64_t>(cachePrompt(stream.prompt));
        stream.responder->startStream(statusOk, { { "X-Request-Id", stream.id }, { "Content-Type", "text/event-stream" } });
        m_running.push_back(std::move(stream));
    }
    if (fault("stall") > 0)
        return;
    for (auto stream = m_running.begin(); stream != m_running.end();) {
        if (now < stream->prefillEndsAt && stream->responder->isConnected()) {
            ++stream;
            continue;
        }
        const bool isDone = stream->nextToken >= stream->endToken;
        const auto message = isDone ? std::string("data: [DONE]\n\n")
                                    : "data: " + nlohmann::json { { "index", stream->nextToken }, { "token", fakeToken(stream->prompt, stream->version, stream->nextToken) }, { "version", stream->version } }.dump() + "\n\n";
        const bool isConnected = stream->responder->write(message);
        ++stream->nextToken;
        if (isDone)
            stream->responder->finish();
        if (!isConnected)
            log("engine.cancelled", { { "attempt", stream->id } });
        stream = isDone || !isConnected ? m_running.erase(stream) : std::next(stream);
    }
}

void FakeEngine::load(const nlohmann::json& loadRequest, HttpResponderPointer responder)
{
    const auto fencingToken = loadRequest.value("fence", std::uint64_t { 0 });
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        if (m_options.checksFencingToken && fencingToken < m_highestFencingToken) {
            responder->send(statusConflict, "fencing number " + std::to_string(fencingToken) + " is older than " + std::to_string(m_highestFencingToken));
            return;
        }
        m_highestFencingToken = std::max(m_highestFencingToken, fencingToken);
    }
    m_pool.submit([this, loadRequest, responder] { fetchAndLoad(loadRequest, responder); });
}

void FakeEngine::fetchAndLoad(const nlohmann::json& loadRequest, const HttpResponderPointer& responder)
{
    const auto fetched = fetchWeights(loadRequest);
    if (!fetched || fault("fail_load") > 0) {
        responder->send(statusUnprocessable, fetched ? "weights cannot be loaded" : fetched.error().message);
        return;
    }
    scheduler().at(monotonicNow() + m_options.loadTime, [this, loadRequest, responder] {
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            m_models[loadRequest.value("name", "")] = { loadRequest.value("version", ""), loadRequest.value("manifest", "") };
            m_cached.clear();
            m_cacheOrder.clear();
        }
        ++m_loads;
        log("engine.has-loaded", { { "model", loadRequest.value("name", "") }, { "version", loadRequest.value("version", "") }, { "manifest", loadRequest.value("manifest", "") }, { "fence", std::to_string(loadRequest.value("fence", std::uint64_t { 0 })) } });
        responder->send(statusOk, "{}");
    });
}

Outcome<void> FakeEngine::fetchWeights(const nlohmann::json& loadRequest)
{
    const auto get = [this](const std::string& url) {
        HttpClientRequest request;
        request.method = "GET";
        request.url = url;
        request.deadline = monotonicNow() + fetchTimeout;
        request.maxResponseBytes = maxChunkBytes;
        return m_client.send(std::move(request));
    };
    const auto url = loadRequest.value("weights", "");
    const auto manifestAnswer = get(url);
    if (!manifestAnswer || manifestAnswer.value().status != statusOk)
        return failure(ErrorCode::NotFound, "manifest cannot be read");
    const auto manifest = Manifest::parse(manifestAnswer.value().body, Digest::fromHex(loadRequest.value("manifest", "")));
    if (!manifest)
        return boost::outcome_v2::failure(manifest.error());
    for (std::uint32_t chunk = 0; chunk < manifest.value().chunkCount(); ++chunk) {
        const auto chunkAnswer = get(url + "/" + std::to_string(chunk));
        if (!chunkAnswer || Digest::of(chunkAnswer.value().body) != manifest.value().chunks()[chunk])
            return failure(ErrorCode::Corrupt, "chunk " + std::to_string(chunk) + " is damaged");
    }
    return success();
}

}
