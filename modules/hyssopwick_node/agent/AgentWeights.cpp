#include "AgentWeights.h"

#include <algorithm>

namespace hyssopwick {

namespace {

    constexpr Milliseconds advancePeriod { 10 };
    constexpr Milliseconds manifestTimeout { 2000 };
    constexpr Milliseconds manifestRetryDelay { 60 };
    constexpr Milliseconds budgetRetryDelay { 3000 };
    constexpr std::uint64_t messageOverheadBytes = 300; // estimated bytes of HTTP and JSON-RPC around the content
    constexpr unsigned peerManifestAttempts = 60;
    // The answer to a chunk that is sent has at most an error's text.
    constexpr std::size_t maxReceiptBytes = std::size_t(64) << 10;
    constexpr int statusOk = 200;
    constexpr int statusTooManyRequests = 429;
    constexpr int statusConflict = 409;
    constexpr int statusNotFound = 404;
    constexpr int statusBadRequest = 400;

    std::vector<std::string> pathParts(const std::string& path)
    {
        std::vector<std::string> parts;
        std::size_t begin = 1;
        while (begin <= path.size()) {
            const auto end = std::min(path.find('/', begin), path.size());
            parts.push_back(path.substr(begin, end - begin));
            begin = end + 1;
        }
        return parts;
    }

    std::optional<std::uint32_t> parseChunkNumber(const std::string& text, std::uint32_t below)
    {
        if (text.empty() || text.size() > 9 || text.find_first_not_of("0123456789") != std::string::npos)
            return std::nullopt;
        const auto number = static_cast<std::uint32_t>(std::stoul(text));
        return number < below ? std::optional<std::uint32_t>(number) : std::nullopt;
    }

    Milliseconds retryAfterOf(const HttpClientResponse& response)
    {
        const auto found = response.headers.find("x-retry-after-ms");
        if (found == response.headers.end())
            return Milliseconds(100);
        return Milliseconds(std::clamp(std::atol(found->second.c_str()), 1l, 60000l));
    }

}

struct AgentWeights::Transfer {
    WantedWeights wanted;
    TimePoint startedAt;
    std::optional<Manifest> manifest;
    std::unique_ptr<PushDecision> decision;
    std::map<std::string, std::string> addresses; // member to "ip:port"
    TimePoint nextAdvanceAt;
    bool isStaged = false;
    bool isCancelled = false;
};

AgentWeights::AgentWeights(NodeContext& context)
    : m_context(context)
    , m_store(static_cast<std::uint64_t>(context.settings.weightBudgetBytes))
    , m_random(stableHash(context.settings.vm.id) ^ context.incarnation())
{
    context.scheduler.every(advancePeriod, [this] { advanceAll(); });
}

AgentWeights::~AgentWeights() = default;

void AgentWeights::registerMethods()
{
    m_context.endpoint.add("offer", [this](const nlohmann::json& parameters) { return answerOffer(parameters); });
}

void AgentWeights::onStaged(std::function<void()> handler) { m_onStaged = std::move(handler); }

AgentWeights::TransferPointer AgentWeights::find(const Digest& manifest) const
{
    const auto found = m_transfers.find(manifest);
    return found == m_transfers.end() ? nullptr : found->second;
}

void AgentWeights::setWanted(const std::vector<WantedWeights>& wanted)
{
    std::vector<TransferPointer> started;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        std::map<Digest, TransferPointer> transfers;
        for (const auto& item : wanted) {
            auto transfer = find(item.placement.manifest);
            if (!transfer) {
                transfer = std::make_shared<Transfer>();
                transfer->startedAt = monotonicNow();
                started.push_back(transfer);
                m_context.log.write("weights.wanted", { { "placement", item.placement.name }, { "version", item.placement.version }, { "manifest", item.placement.manifest.hex() } });
            }
            transfer->wanted = item;
            transfer->addresses.clear();
            std::vector<SwarmMember> members;
            for (const auto& peer : item.peers) {
                transfer->addresses[peer.member.id] = peer.address;
                members.push_back(peer.member);
            }
            if (transfer->decision)
                transfer->decision->setMembers(members);
            transfers[item.placement.manifest] = transfer;
        }
        for (const auto& [digest, transfer] : m_transfers) {
            if (transfers.count(digest) != 0)
                continue;
            transfer->isCancelled = true;
            m_context.log.write("weights.dropped", { { "manifest", digest.hex() } });
        }
        m_transfers = std::move(transfers);
    }
    releaseUnused();
    for (const auto& transfer : started)
        startManifestFetch(transfer, 0);
}

void AgentWeights::setRetained(const std::set<Digest>& manifests)
{
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        if (m_retained == manifests)
            return;
        m_retained = manifests;
    }
    releaseUnused();
}

void AgentWeights::releaseUnused()
{
    std::vector<Manifest> used;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        for (auto known = m_knownManifests.begin(); known != m_knownManifests.end();) {
            if (m_transfers.count(known->first) == 0 && m_retained.count(known->first) == 0) {
                known = m_knownManifests.erase(known);
                continue;
            }
            used.push_back(known->second);
            ++known;
        }
        // A transfer that has no manifest yet may need chunks that are stored now.
        for (const auto& [digest, transfer] : m_transfers) {
            if (!transfer->manifest)
                return;
        }
    }
    const auto freed = m_store.retainOnly(used);
    if (freed > 0)
        m_context.log.write("chunks.released", { { "bytes", std::to_string(freed) } });
    m_context.metrics.gauge("weight_bytes", static_cast<double>(m_store.usedBytes()));
}

// To limit load on the origin, one VM of its region, chosen by rendezvous hashing, fetches the
// manifest from there. The others ask peers, mostly of their own region, and the origin only
// without peers or after peerManifestAttempts.
void AgentWeights::startManifestFetch(const TransferPointer& transfer, unsigned attempt)
{
    std::string url;
    std::string from; // peer, or empty for the origin
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        if (transfer->isCancelled || transfer->manifest)
            return;
        const auto& digest = transfer->wanted.placement.manifest;
        const auto known = m_knownManifests.find(digest);
        if (known != m_knownManifests.end()) {
            transfer->manifest = known->second;
        } else {
            std::vector<std::string> peersInRegion;
            std::vector<std::string> candidates { m_context.settings.vm.id };
            for (const auto& peer : transfer->wanted.peers) {
                if (peer.member.region == m_context.settings.vm.region)
                    peersInRegion.push_back(peer.member.id);
                if (peer.member.region == m_context.settings.originRegion)
                    candidates.push_back(peer.member.id);
            }
            const bool isInOriginRegion = m_context.settings.vm.region == m_context.settings.originRegion;
            const bool asksOrigin = isInOriginRegion && rendezvousFirst(digest.hex(), candidates) == m_context.settings.vm.id;
            const auto& peers = transfer->wanted.peers;
            if (asksOrigin || peers.empty() || attempt >= peerManifestAttempts) {
                url = "http://" + m_context.settings.originAddress + "/manifests/" + digest.hex();
            } else {
                const bool asksOwnRegion = !peersInRegion.empty() && attempt % 3 != 2;
                from = asksOwnRegion ? peersInRegion[m_random.below(peersInRegion.size())] : peers[m_random.below(peers.size())].member.id;
                url = "http://" + transfer->addresses[from] + "/manifests/" + digest.hex();
            }
        }
    }
    if (url.empty()) {
        acceptManifest(transfer, transfer->manifest->text(), "", attempt);
        return;
    }
    HttpClientRequest request;
    request.method = "GET";
    request.url = url;
    request.deadline = monotonicNow() + manifestTimeout;
    request.maxResponseBytes = Manifest::maxTextBytes;
    m_context.client.start(std::move(request), [this, transfer, attempt, from](Outcome<HttpClientResponse> answer) {
        if (answer && answer.value().status == statusOk) {
            if (from.empty())
                m_context.metrics.count("origin_bytes_total", "", answer.value().body.size());
            acceptManifest(transfer, answer.value().body, from, attempt);
            return;
        }
        const auto delay = manifestRetryDelay * (1 + std::min(attempt, 5u));
        m_context.scheduler.at(monotonicNow() + delay, [this, transfer, attempt] { startManifestFetch(transfer, attempt + 1); });
    });
}

void AgentWeights::acceptManifest(const TransferPointer& transfer, const std::string& text, const std::string& from, unsigned attempt)
{
    auto manifest = Manifest::parse(text, transfer->wanted.placement.manifest);
    if (!manifest) {
        m_context.metrics.count("manifest_refusals_total", errorCodeName(manifest.error().code));
        m_context.log.write("manifest.refused", { { "manifest", transfer->wanted.placement.manifest.hex() }, { "from", from.empty() ? "origin" : from }, { "detail", manifest.error().message } });
        m_context.scheduler.at(monotonicNow() + manifestRetryDelay * 10, [this, transfer, attempt] { startManifestFetch(transfer, attempt + 1); });
        return;
    }
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        if (transfer->isCancelled)
            return;
        const auto& settings = m_context.settings;
        if (m_store.usedBytes() + m_store.missingBytes(manifest.value()) > m_store.budgetBytes()) {
            m_context.log.write("weights.refused", { { "manifest", manifest.value().digest().hex() }, { "reason", "budget" }, { "bytes", std::to_string(manifest.value().totalBytes()) } });
            m_context.metrics.count("weight_refusals_total", "budget");
            m_context.scheduler.at(monotonicNow() + budgetRetryDelay, [this, transfer, attempt] { startManifestFetch(transfer, attempt); });
            return;
        }
        PushSettings pushSettings;
        pushSettings.self = { settings.vm.id, settings.vm.region, settings.vm.failureDomain, m_context.incarnation() };
        pushSettings.originRegion = settings.originRegion;
        pushSettings.objective = transfer->wanted.placement.objective;
        pushSettings.uplinkBytesPerSecond = static_cast<double>(settings.uplinkBytesPerSecond);
        pushSettings.downlinkBytesPerSecond = static_cast<double>(settings.downlinkBytesPerSecond);
        pushSettings.regionLinkBytesPerSecond = static_cast<double>(settings.regionLinkBytesPerSecond);
        std::vector<std::uint64_t> sizes;
        for (std::uint32_t chunk = 0; chunk < manifest.value().chunkCount(); ++chunk)
            sizes.push_back(manifest.value().sizeOf(chunk));
        const auto now = monotonicNow();
        transfer->decision = std::make_unique<PushDecision>(pushSettings, manifest.value().digest().hex(), sizes, m_random.next(), now);
        std::vector<SwarmMember> members;
        for (const auto& peer : transfer->wanted.peers)
            members.push_back(peer.member);
        transfer->decision->setMembers(members);
        for (std::uint32_t chunk = 0; chunk < manifest.value().chunkCount(); ++chunk) {
            if (m_store.find(manifest.value().chunks()[chunk]))
                transfer->decision->recordChunkStored(chunk, now);
        }
        m_knownManifests.emplace(manifest.value().digest(), manifest.value());
        transfer->manifest = std::move(manifest.value());
    }
    checkStaged(transfer);
}

void AgentWeights::advanceAll()
{
    std::vector<std::pair<TransferPointer, std::vector<PushAction>>> work;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        const auto now = monotonicNow();
        for (const auto& [digest, transfer] : m_transfers) {
            if (!transfer->decision || now < transfer->nextAdvanceAt)
                continue;
            auto actions = transfer->decision->advance(now);
            transfer->nextAdvanceAt = transfer->decision->nextWake(now);
            if (!actions.empty())
                work.emplace_back(transfer, std::move(actions));
        }
    }
    for (const auto& [transfer, actions] : work)
        perform(transfer, actions);
}

void AgentWeights::perform(const TransferPointer& transfer, const std::vector<PushAction>& actions)
{
    for (const auto& action : actions)
        std::visit([&](const auto& value) { perform(transfer, value); }, action);
}

void AgentWeights::perform(const TransferPointer& transfer, const FetchFromOrigin& action)
{
    HttpClientRequest request;
    request.method = "GET";
    request.url = "http://" + m_context.settings.originAddress + "/chunks/" + transfer->manifest->chunks()[action.chunk].hex();
    request.headers.emplace_back("X-Vm", m_context.settings.vm.id);
    request.deadline = action.deadline;
    request.maxResponseBytes = transfer->manifest->sizeOf(action.chunk) + 1;
    m_context.client.start(std::move(request), [this, transfer, chunk = action.chunk](Outcome<HttpClientResponse> answer) {
        if (answer && answer.value().status == statusOk) {
            m_context.metrics.count("origin_bytes_total", "", answer.value().body.size());
            auto bytes = std::make_shared<const std::string>(std::move(answer.value().body));
            m_context.pool.submit([this, transfer, chunk, bytes] { storeChunk(transfer, chunk, bytes, ""); });
            return;
        }
        const bool isRateLimited = answer && answer.value().status == statusTooManyRequests;
        m_context.metrics.count("origin_failures_total", isRateLimited ? "rate-limited" : answer ? "status"
                                                                                                 : errorCodeName(answer.error().code));
        std::lock_guard<std::mutex> lock(m_mutex);
        transfer->decision->recordOriginFailure(chunk, isRateLimited ? retryAfterOf(answer.value()) : Milliseconds(0), monotonicNow());
    });
}

void AgentWeights::perform(const TransferPointer& transfer, const SendOffer& action)
{
    nlohmann::json parameters;
    std::string address;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        address = transfer->addresses[action.member];
        parameters = { { "manifest", transfer->manifest->digest().hex() }, { "from", m_context.settings.vm.id }, { "offered", action.offered.hex() },
            { "held", transfer->decision->held().hex() }, { "across", action.isAcrossRegions } };
    }
    m_context.metrics.count("offers_total");
    m_context.metrics.count("offer_bytes_total", "", parameters.dump().size() + messageOverheadBytes);
    m_context.rpc.call(address, "offer", parameters, action.deadline, [this, transfer, action](Outcome<nlohmann::json> answer) {
        std::vector<PushAction> next;
        if (answer)
            m_context.metrics.count("offer_bytes_total", "", answer.value().dump().size() + messageOverheadBytes);
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            if (transfer->isCancelled)
                return;
            const auto now = monotonicNow();
            if (!answer || !answer.value().value("known", false)) {
                transfer->decision->recordOfferFailure(action.member, action.isAcrossRegions, now);
                return;
            }
            const auto count = transfer->manifest->chunkCount();
            const auto& json = answer.value();
            OfferAnswer parsed { std::nullopt, ChunkSet::fromHex(json.value("held", ""), count), ChunkSet::fromHex(json.value("reserved", ""), count), Milliseconds(json.value("busy_ms", 0)) };
            const auto accepted = json.value("accepted", std::int64_t { -1 });
            if (accepted >= 0 && accepted < count)
                parsed.accepted = static_cast<std::uint32_t>(accepted);
            next = transfer->decision->recordOfferAnswer(action.member, action.isAcrossRegions, parsed, now);
        }
        perform(transfer, next);
    });
}

void AgentWeights::perform(const TransferPointer& transfer, const SendChunk& action)
{
    std::string address;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        address = transfer->addresses[action.member];
    }
    ++m_sendsInProgress;
    m_context.scheduler.at(action.notBefore, [this, transfer, action, address] { sendChunkNow(transfer, action, address); });
}

void AgentWeights::sendChunkNow(const TransferPointer& transfer, const SendChunk& action, const std::string& address)
{
    const auto& digest = transfer->manifest->chunks()[action.chunk];
    const auto path = "/chunks/" + transfer->manifest->digest().hex() + "/" + std::to_string(action.chunk);
    HttpClientRequest request;
    request.method = "PUT";
    request.url = "http://" + address + path;
    request.body = m_store.find(digest);
    request.deadline = action.deadline;
    request.maxResponseBytes = maxReceiptBytes;
    request.headers.emplace_back("X-From", m_context.settings.vm.id);
    request.headers.emplace_back(PeerAuthenticator::headerName, m_context.authenticator.sign(path, digest, unixNow()));
    if (!request.body) {
        --m_sendsInProgress;
        return;
    }
    m_context.metrics.count(action.isAcrossRegions ? "region_link_bytes_total" : "peer_bytes_total", "", request.body->size());
    m_context.client.start(std::move(request), [this, transfer, action](const Outcome<HttpClientResponse>& answer) {
        --m_sendsInProgress;
        const bool isSuccess = answer && (answer.value().status == statusOk || answer.value().status == statusConflict);
        if (!isSuccess)
            m_context.metrics.count("chunk_send_failures_total", answer ? "status" : errorCodeName(answer.error().code));
        std::lock_guard<std::mutex> lock(m_mutex);
        transfer->decision->recordChunkSent(action.member, action.chunk, isSuccess, monotonicNow());
    });
}

nlohmann::json AgentWeights::answerOffer(const nlohmann::json& parameters)
{
    const auto digest = Digest::fromHex(parameters.value("manifest", ""));
    OfferAnswer answer;
    std::lock_guard<std::mutex> lock(m_mutex);
    const auto transfer = find(digest);
    if (!transfer || !transfer->decision)
        return { { "known", false } };
    const auto count = transfer->manifest->chunkCount();
    answer = transfer->decision->answerOffer(parameters.value("from", ""), ChunkSet::fromHex(parameters.value("offered", ""), count),
        ChunkSet::fromHex(parameters.value("held", ""), count), parameters.value("across", false), monotonicNow());
    return { { "known", true }, { "accepted", answer.accepted ? static_cast<std::int64_t>(*answer.accepted) : -1 }, { "held", answer.held.hex() },
        { "reserved", answer.reserved.hex() }, { "busy_ms", answer.busyFor.count() } };
}

void AgentWeights::receiveChunk(const HttpRequest& request, HttpResponder& responder)
{
    const auto parts = pathParts(request.path);
    TransferPointer transfer;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        transfer = parts.size() == 3 ? find(Digest::fromHex(parts[1])) : nullptr;
        if (transfer && !transfer->decision)
            transfer = nullptr;
    }
    if (!transfer) {
        m_context.metrics.count("chunk_refusals_total", "not-wanted");
        responder.send(statusNotFound, "manifest is not wanted here");
        return;
    }
    const auto chunk = parseChunkNumber(parts[2], transfer->manifest->chunkCount());
    if (!chunk) {
        m_context.metrics.count("chunk_refusals_total", "malformed");
        responder.send(statusBadRequest, "chunk number is malformed");
        return;
    }
    const auto& digest = transfer->manifest->chunks()[*chunk];
    const auto verified = m_context.authenticator.verify(request.header(PeerAuthenticator::headerName), request.path, digest, unixNow());
    if (!verified) {
        m_context.metrics.count("peer_refusals_total", "unauthenticated");
        responder.send(401, verified.error().message);
        return;
    }
    if (m_store.find(digest)) {
        m_context.metrics.count("duplicate_chunks_total");
        responder.send(statusConflict, "chunk is held");
        return;
    }
    storeChunk(transfer, *chunk, std::make_shared<const std::string>(request.body), request.header("x-from"));
    responder.send(m_store.find(digest) ? statusOk : statusBadRequest, "");
}

void AgentWeights::storeChunk(const TransferPointer& transfer, std::uint32_t chunk, ChunkStore::Bytes bytes, const std::string& from)
{
    const auto& digest = transfer->manifest->chunks()[chunk];
    const auto stored = m_store.insert(digest, transfer->manifest->sizeOf(chunk), std::move(bytes));
    const auto now = monotonicNow();
    if (!stored) {
        m_context.metrics.count("chunk_refusals_total", errorCodeName(stored.error().code));
        m_context.log.write("chunk.refused", { { "manifest", transfer->manifest->digest().hex() }, { "chunk", std::to_string(chunk) }, { "digest", digest.hex() }, { "from", from.empty() ? "origin" : from }, { "detail", stored.error().message } });
        std::lock_guard<std::mutex> lock(m_mutex);
        transfer->decision->recordCorruptChunk(chunk, from, now);
        return;
    }
    m_context.metrics.count("chunks_kept_total", from.empty() ? "origin" : "peer");
    std::vector<PushAction> next;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        transfer->decision->recordChunkStored(chunk, now);
        if (!transfer->isCancelled)
            next = transfer->decision->advance(now);
    }
    perform(transfer, next);
    checkStaged(transfer);
}

void AgentWeights::checkStaged(const TransferPointer& transfer)
{
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        if (transfer->isStaged || transfer->isCancelled || !transfer->decision->isComplete() || !m_store.holdsAll(*transfer->manifest))
            return;
        transfer->isStaged = true;
    }
    const auto elapsed = millisecondsBetween(transfer->startedAt, monotonicNow());
    m_context.log.write("weights.staged", { { "placement", transfer->wanted.placement.name }, { "version", transfer->wanted.placement.version }, { "manifest", transfer->manifest->digest().hex() }, { "bytes", std::to_string(transfer->manifest->totalBytes()) }, { "took_ms", std::to_string(elapsed) } });
    m_context.metrics.observe("staging", static_cast<double>(elapsed));
    if (m_onStaged)
        m_onStaged();
}

bool AgentWeights::isStaged(const Digest& manifest) const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    const auto transfer = find(manifest);
    return transfer && transfer->isStaged;
}

std::optional<Manifest> AgentWeights::stagedManifest(const Digest& manifest) const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    const auto transfer = find(manifest);
    return transfer && transfer->isStaged ? transfer->manifest : std::nullopt;
}

void AgentWeights::serveManifest(const HttpRequest& request, HttpResponder& responder)
{
    const auto parts = pathParts(request.path);
    std::string text;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        const auto known = parts.size() == 2 ? m_knownManifests.find(Digest::fromHex(parts[1])) : m_knownManifests.end();
        if (known != m_knownManifests.end())
            text = known->second.text();
    }
    if (text.empty())
        responder.send(statusNotFound, "manifest is not known here");
    else
        responder.send(statusOk, text, { { "Content-Type", "application/json" } });
}

void AgentWeights::serveWeights(const HttpRequest& request, HttpResponder& responder)
{
    const auto parts = pathParts(request.path);
    const auto manifest = parts.size() >= 2 ? stagedManifest(Digest::fromHex(parts[1])) : std::nullopt;
    if (!manifest) {
        responder.send(statusNotFound, "weights are not whole here");
        return;
    }
    if (parts.size() == 2) {
        responder.send(statusOk, manifest->text(), { { "Content-Type", "application/json" } });
        return;
    }
    const auto chunk = parseChunkNumber(parts[2], manifest->chunkCount());
    const auto bytes = chunk ? m_store.find(manifest->chunks()[*chunk]) : nullptr;
    if (bytes)
        responder.send(statusOk, *bytes);
    else
        responder.send(statusNotFound, "chunk is not in the manifest");
}

std::pair<std::uint64_t, std::uint64_t> AgentWeights::progress() const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    std::uint64_t held = 0;
    std::uint64_t wanted = 0;
    for (const auto& [digest, transfer] : m_transfers) {
        if (!transfer->decision)
            continue;
        held += transfer->decision->held().size();
        wanted += transfer->manifest->chunkCount();
    }
    return { held, wanted };
}

}
