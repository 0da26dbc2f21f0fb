#include "WeightsSwarm.h"

namespace hyssopwick {

namespace {
    constexpr Milliseconds connectTimeout { 400 };
    // Ratio of the time to fetch a copy to the time of its bytes on the VM's link (docs/RESULTS.md).
    constexpr double transferOverhead = 1.6;
    // Without a new chunk for this long, the version's source is taken for unreachable.
    constexpr Milliseconds stallTimeout { 1500 };
    // Failures of the origin in a row that are logged one by one.
    constexpr unsigned maxLoggedFailures = 4;
    // Share of a VM's link for weights; the rest is left to calls and streams.
    constexpr double weightsShareOfLink = 0.85;
    // Share for weights while the engine serves nothing.
    constexpr double idleShareOfLink = 1;
    constexpr Milliseconds pacePeriod { 10 };
    // Chunks that are sent to peers at a time, each at its share of the link; further peers
    // get 503 and ask elsewhere. More at once would only slow each of them down.
    constexpr unsigned maxUploads = 4;
}

WeightsSwarm::WeightsSwarm(GatewayContext& context, PeerSocket& peerSocket, EngineClient& engine, WeightsVersion weights, ServiceDescription service, SwarmMember self)
    : m_context(context)
    , m_peerSocket(peerSocket)
    , m_engine(engine)
    , m_weights(std::move(weights))
    , m_service(std::move(service))
    , m_self(std::move(self))
    , m_manifestRequests(pathOf(m_weights), m_self.id)
    , m_timer(context.loop)
    , m_startedAt(monotonicNow())
    , m_lastProgressAt(m_startedAt)
{
}

WeightsSwarm::~WeightsSwarm() = default;

void WeightsSwarm::start(bool mayBeStaged)
{
    m_mayBeStaged = mayBeStaged;
    m_context.log.write("weights.wanted", { { "model", m_weights.model }, { "version", std::to_string(m_weights.version) }, { "peers", std::to_string(m_peers.size()) } });
    fetchManifest();
}

void WeightsSwarm::stop()
{
    m_isStopped = true;
    m_timer.cancel();
    m_chunksInMemory.clear();
}

std::vector<SwarmMember> WeightsSwarm::members() const
{
    std::vector<SwarmMember> members;
    for (const auto& peer : m_peers)
        members.push_back(peer.member);
    return members;
}

std::string WeightsSwarm::addressOf(const std::string& member) const
{
    for (const auto& peer : m_peers) {
        if (peer.member.id == member)
            return peer.address;
    }
    return "";
}

void WeightsSwarm::setPeers(const std::vector<Peer>& peers)
{
    if (m_peers == peers)
        return;
    m_peers = peers;
    if (!m_decision)
        return;
    m_decision->setMembers(members());
    advance();
}

void WeightsSwarm::fetchManifest()
{
    if (m_isStopped)
        return;
    std::vector<std::string> others;
    for (const auto& peer : m_peers)
        others.push_back(peer.member.id);
    const auto request = m_manifestRequests.next(std::move(others), monotonicNow());
    const bool asksOrigin = request.member.empty();
    const auto address = asksOrigin ? m_service.originAddress : addressOf(request.member);
    auto call = asksOrigin ? m_context.ports.engines->encodeManifestCall(m_weights) : HttpCall { "GET", "/weights/manifest/" + pathOf(m_weights), {}, "" };
    fetchWhole(m_context.loop, address, std::move(call), TransferLimits { request.connectBy, request.beginBy, request.stallTimeout, request.deadline }, [self = shared_from_this(), asksOrigin](const WholeResponse& response) {
        if (self->m_isStopped)
            return;
        auto manifest = response.isComplete() && response.status == statusOk ? self->m_context.ports.engines->decodeManifest(response.body) : Outcome<WeightsManifest>(failure(ErrorCode::Unavailable, exchangeEndName(response.end)));
        const bool isUsable = manifest && manifest.value().weights == self->m_weights && !manifest.value().chunks.empty() && manifest.value().chunkBytes > 0;
        if (isUsable)
            return self->useManifest(std::move(manifest.value()));
        self->m_context.metrics.count("manifest_failures_total", asksOrigin ? "origin" : "peer");
        if (asksOrigin)
            self->m_context.log.write("manifest.failed", { { "model", self->m_weights.model }, { "version", std::to_string(self->m_weights.version) }, { "status", std::to_string(response.status) }, { "problem", manifest ? "for other weights" : manifest.error().message } });
        self->m_timer.expires_at(ManifestRequests::retryAt(monotonicNow()));
        self->m_timer.async_wait([self](boost::system::error_code error) {
            if (!error)
                self->fetchManifest();
        });
    });
}

void WeightsSwarm::useManifest(WeightsManifest manifest)
{
    m_manifest = std::move(manifest);
    if (m_mayBeStaged)
        scanStaged(0);
    else
        startFetching();
}

void WeightsSwarm::scanStaged(unsigned chunk)
{
    if (m_isStopped)
        return;
    if (chunk >= m_manifest->chunks.size())
        return startFetching();
    m_engine.readStaged(m_weights.model, chunk, [self = shared_from_this(), chunk](const Outcome<std::string>& bytes) {
        if (bytes && Digest::of(bytes.value()) == self->m_manifest->chunks[chunk])
            self->m_stagedAtStart.push_back(chunk);
        self->scanStaged(chunk + 1);
    });
}

void WeightsSwarm::startFetching()
{
    PullSettings settings;
    settings.self = m_self;
    settings.linkBytesPerSecond = m_context.description.linkBytesPerSecond;
    settings.originBytesPerSecond = std::max(1.0, m_service.originBytesPerSecond);
    const auto count = static_cast<std::uint32_t>(m_manifest->chunks.size());
    const auto now = monotonicNow();
    m_decision = std::make_unique<PullDecision>(settings, pathOf(m_weights), count, m_manifest->chunkBytes, stableHash(m_self.id) ^ m_context.incarnation, now);
    m_decision->setMembers(members());
    for (const auto chunk : m_stagedAtStart)
        m_decision->recordChunkStored(chunk, now);
    m_context.log.write("weights.begun", { { "model", m_weights.model }, { "version", std::to_string(m_weights.version) }, { "staged", std::to_string(m_stagedAtStart.size()) }, { "chunks", std::to_string(count) } });
    advance();
}

void WeightsSwarm::advance()
{
    if (!m_decision || m_isStopped)
        return;
    const auto now = monotonicNow();
    if (m_decision->isComplete() && !m_wasComplete) {
        m_wasComplete = true;
        m_context.log.write("weights.complete", { { "model", m_weights.model }, { "version", std::to_string(m_weights.version) }, { "took_ms", std::to_string(millisecondsBetween(m_startedAt, now)) }, { "pulled", std::to_string(m_context.metrics.counter("chunks_kept_total", "peer")) }, { "from_origin", std::to_string(m_context.metrics.counter("chunks_kept_total", "origin")) }, { "busy", std::to_string(m_context.metrics.counter("chunk_pull_failures_total", "busy")) }, { "not_sent", std::to_string(m_context.metrics.counter("chunk_pull_failures_total", "not-sent")) }, { "timeouts", std::to_string(m_context.metrics.counter("chunk_pull_failures_total", "timeout")) }, { "lost", std::to_string(m_context.metrics.counter("chunk_pull_failures_total", "lost") + m_context.metrics.counter("chunk_pull_failures_total", "complete")) } });
        if (m_onComplete)
            m_onComplete();
    }
    for (const auto& action : m_decision->advance(now))
        std::visit([this](const auto& value) { perform(value); }, action);
    scheduleAdvance();
}

void WeightsSwarm::scheduleAdvance()
{
    m_timer.expires_at(m_decision->nextWake(monotonicNow()));
    m_timer.async_wait([weak = weak_from_this()](boost::system::error_code error) {
        const auto self = weak.lock();
        if (!error && self)
            self->advance();
    });
}

void WeightsSwarm::perform(const FetchFromOrigin& action)
{
    fetchWhole(m_context.loop, m_service.originAddress, m_context.ports.engines->encodeChunkCall(m_weights, action.chunk), TransferLimits { action.beginBy, action.beginBy, action.stallTimeout, action.deadline, m_manifest->chunkBytes }, [self = shared_from_this(), chunk = action.chunk](WholeResponse response) {
        if (self->m_isStopped)
            return;
        if (response.isComplete() && response.status == statusOk) {
            self->m_context.metrics.count("origin_bytes_total", "", response.body.size());
            if (self->m_originFailures > 0)
                self->m_context.log.write("origin.resumed", { { "version", std::to_string(self->m_weights.version) }, { "chunk", std::to_string(chunk) }, { "failures", std::to_string(self->m_originFailures) }, { "failing_ms", std::to_string(millisecondsBetween(self->m_originFailingSince, monotonicNow())) } });
            self->m_originFailures = 0;
            self->storeChunk(chunk, std::move(response.body), "");
            return self->advance();
        }
        self->m_context.metrics.count("origin_failures_total", exchangeEndName(response.end));
        if (self->m_originFailures++ == 0)
            self->m_originFailingSince = monotonicNow();
        if (self->m_originFailures <= maxLoggedFailures)
            self->m_context.log.write("origin.failed", { { "version", std::to_string(self->m_weights.version) }, { "chunk", std::to_string(chunk) }, { "problem", exchangeEndName(response.end) }, { "status", std::to_string(response.status) } });
        self->m_decision->recordOriginFailure(chunk, monotonicNow());
        self->advance();
    });
}

void WeightsSwarm::perform(const PullChunk& action)
{
    HttpCall call { "GET", "/weights/chunk/" + pathOf(m_weights) + "/" + std::to_string(action.chunk), {}, "" };
    const auto now = monotonicNow();
    fetchWhole(m_context.loop, addressOf(action.member), std::move(call), TransferLimits { now + connectTimeout, action.deadline, Milliseconds(0), action.deadline, m_manifest->chunkBytes }, [self = shared_from_this(), action](WholeResponse response) {
        if (self->m_isStopped)
            return;
        if (response.isComplete() && response.status == statusOk) {
            self->m_context.metrics.count(action.isAcrossRegions ? "region_link_bytes_total" : "peer_bytes_total", "", response.body.size());
            self->storeChunk(action.chunk, std::move(response.body), action.member);
            return self->advance();
        }
        const bool isBusy = response.isComplete() && response.status == statusUnavailable;
        self->m_context.metrics.count("chunk_pull_failures_total", isBusy ? "busy" : exchangeEndName(response.end));
        self->m_decision->recordPullFailure(action.member, action.chunk, isBusy, monotonicNow());
        self->advance();
    });
}

ChunksUpdate WeightsSwarm::chunksUpdate(bool wantsAnswer) const { return { m_self.id, m_weights.model, m_weights.version, m_decision->held().hex(), wantsAnswer }; }

void WeightsSwarm::perform(const AnnounceHeldChunks& action)
{
    std::vector<std::string> addresses;
    for (const auto& member : action.members)
        addresses.push_back(addressOf(member));
    m_peerSocket.sendToAll(addresses, chunksUpdate(action.wantsAnswer));
}

void WeightsSwarm::receive(const ChunksUpdate& update)
{
    if (!m_decision || m_isStopped)
        return;
    m_decision->recordHeld(update.node, ChunkSet::fromHex(update.held, static_cast<std::uint32_t>(m_manifest->chunks.size())));
    const auto address = addressOf(update.node);
    if (update.wantsAnswer && !address.empty())
        m_peerSocket.send(address, chunksUpdate(false));
    if (!m_decision->isComplete() && m_decision->hasFreeFetch())
        advance();
}

void WeightsSwarm::readChunk(unsigned chunk, std::function<void(Outcome<std::string>)> handler)
{
    const auto held = m_chunksInMemory.find(chunk);
    if (held != m_chunksInMemory.end())
        return handler(held->second);
    m_engine.readStaged(m_weights.model, chunk, [self = shared_from_this(), chunk, handler = std::move(handler)](Outcome<std::string> bytes) {
        if (bytes && Digest::of(bytes.value()) != self->m_manifest->chunks[chunk])
            return handler(failure(ErrorCode::Corrupt, "staged chunk " + std::to_string(chunk) + " has another digest than the manifest"));
        handler(std::move(bytes));
    });
}

bool WeightsSwarm::storeChunk(unsigned chunk, std::string bytes, const std::string& from)
{
    if (m_decision->held().contains(chunk))
        return true;
    const auto now = monotonicNow();
    if (bytes.size() != m_manifest->chunkBytes || Digest::of(bytes) != m_manifest->chunks[chunk]) {
        m_context.metrics.count("chunk_refusals_total", from.empty() ? "origin" : "peer");
        m_context.log.write("chunk.refused", { { "version", std::to_string(m_weights.version) }, { "chunk", std::to_string(chunk) }, { "from", from.empty() ? "origin" : from }, { "bytes", std::to_string(bytes.size()) } });
        m_decision->recordCorruptChunk(chunk, from, now);
        return false;
    }
    m_context.metrics.count("chunks_kept_total", from.empty() ? "origin" : "peer");
    m_lastProgressAt = now;
    m_chunksInMemory[chunk] = std::move(bytes);
    m_decision->recordChunkStored(chunk, now);
    return true;
}

Milliseconds WeightsSwarm::timeToComplete() const
{
    const double chunks = m_decision ? double(m_decision->held().capacity() - m_decision->held().size()) : double(m_service.chunkCount);
    const double bytes = chunks * double(m_service.chunkBytes);
    return Milliseconds(static_cast<std::int64_t>(1000 * bytes / m_context.description.linkBytesPerSecond * transferOverhead));
}

bool WeightsSwarm::isStalled() const { return !isComplete() && monotonicNow() > m_lastProgressAt + stallTimeout; }

void WeightsSwarm::recordStaged() { m_chunksInMemory.clear(); }

void WeightsSwarm::recordStagingCorrupt()
{
    // Chunks in memory were verified; the others have to be fetched again.
    m_stagedAtStart.clear();
    m_wasComplete = false;
    startFetching();
    const auto now = monotonicNow();
    for (const auto& [chunk, bytes] : m_chunksInMemory)
        m_decision->recordChunkStored(chunk, now);
    advance();
}

void WeightsSwarm::serveManifest(const ServerExchangePointer& exchange)
{
    if (!m_manifest)
        return exchange->respond(statusNotFound, {}, "");
    exchange->respond(statusOk, {}, m_context.ports.engines->encodeManifest(*m_manifest));
}

void WeightsSwarm::serveChunk(const ServerExchangePointer& exchange, unsigned chunk)
{
    if (!m_decision || chunk >= m_manifest->chunks.size() || !m_decision->held().contains(chunk))
        return exchange->respond(statusNotFound, {}, "");
    if (m_uploads + m_uploadQueue.size() >= maxUploads)
        return exchange->respond(statusUnavailable, {}, "");
    exchange->onCallerLeft([weak = weak_from_this(), raw = exchange.get()] {
        if (const auto self = weak.lock())
            self->m_uploadQueue.remove_if([raw](const auto& upload) { return upload.first.get() == raw; });
    });
    m_uploadQueue.emplace_back(exchange, chunk);
    uploadNext();
}

// The link also carries calls and streams of the engine, which would wait behind whole
// chunks, so the uploads share the part for weights in small pieces. Each piece covers the
// time from the end of the last one, so that late timers do not slow the upload.
void WeightsSwarm::sendPaced(const ServerExchangePointer& exchange, const std::shared_ptr<const std::string>& bytes, std::size_t from, TimePoint sentUntil)
{
    const double share = m_isEngineServing ? weightsShareOfLink : idleShareOfLink;
    const double bytesPerSecond = m_context.description.linkBytesPerSecond * share / std::max(1u, m_uploads);
    const auto sendUntil = std::max(sentUntil, monotonicNow()) + pacePeriod;
    const double span = double(millisecondsBetween(sentUntil, sendUntil));
    const auto size = std::max<std::size_t>(1, static_cast<std::size_t>(bytesPerSecond * span / 1000));
    exchange->write(bytes->substr(from, size));
    if (from + size >= bytes->size())
        return exchange->finish();
    const auto timer = std::make_shared<LoopTimer>(m_context.loop, sendUntil);
    timer->async_wait([self = shared_from_this(), exchange, bytes, next = from + size, sendUntil, timer](boost::system::error_code) {
        if (!self->m_isStopped)
            self->sendPaced(exchange, bytes, next, sendUntil);
        else
            exchange->abort();
    });
}

void WeightsSwarm::uploadNext()
{
    if (m_uploads >= maxUploads || m_uploadQueue.empty())
        return;
    const auto [exchange, chunk] = m_uploadQueue.front();
    m_uploadQueue.pop_front();
    ++m_uploads;
    exchange->onDone([self = shared_from_this()] {
        --self->m_uploads;
        asio::post(self->m_context.loop, [self] { self->uploadNext(); });
    });
    readChunk(chunk, [self = shared_from_this(), exchange = exchange, chunk = chunk](Outcome<std::string> bytes) {
        if (bytes) {
            exchange->startStream(statusOk, {});
            return self->sendPaced(exchange, std::make_shared<const std::string>(std::move(bytes.value())), 0, monotonicNow());
        }
        self->m_context.log.write("chunk.unreadable", { { "version", std::to_string(self->m_weights.version) }, { "chunk", std::to_string(chunk) }, { "problem", bytes.error().message } });
        exchange->respond(statusNotFound, {}, "");
    });
}

}
