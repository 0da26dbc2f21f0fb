#include "ClaimKeeper.h"

#include <thread>

namespace hyssopwick {

namespace {

    constexpr Milliseconds flushPeriod { 80 };
    constexpr Milliseconds passOnTimeout { 2500 };
    constexpr Milliseconds cacheRetention { 60'000 };
    constexpr Milliseconds retryPause { 60 };
    constexpr int maxCommitAttempts = 8;
    constexpr int statusOk = 200;
    constexpr int statusBadRequest = 400;

    struct OperationWriter {
        nlohmann::json operator()(const ClaimRequest& request) const
        {
            return { { "op", "claim" }, { "identity", request.identity.hex() }, { "holder", request.holder }, { "body", request.body.hex() } };
        }

        nlohmann::json operator()(const ClaimRelease& release) const
        {
            return { { "op", "release" }, { "identity", release.identity.hex() }, { "holder", release.holder } };
        }

        nlohmann::json operator()(const ClaimCompletion& completion) const
        {
            return { { "op", "complete" }, { "identity", completion.identity.hex() }, { "holder", completion.holder },
                { "status", completion.outcome.status }, { "outcome", completion.outcome.body } };
        }
    };

    std::optional<ClaimOperation> parseOperation(const nlohmann::json& json)
    {
        const auto kind = json.value("op", "");
        const auto identity = Digest::fromHex(json.value("identity", ""));
        const auto holder = json.value("holder", "");
        if (identity.isEmpty() || holder.empty())
            return std::nullopt;
        if (kind == "claim")
            return ClaimRequest { identity, holder, Digest::fromHex(json.value("body", "")) };
        if (kind == "release")
            return ClaimRelease { identity, holder };
        if (kind == "complete")
            return ClaimCompletion { identity, holder, { json.value("status", 0), json.value("outcome", "") } };
        return std::nullopt;
    }

    nlohmann::json resultToJson(const ClaimResult& result)
    {
        nlohmann::json json { { "answer", static_cast<int>(result.answer) } };
        if (result.outcome) {
            json["status"] = result.outcome->status;
            json["outcome"] = result.outcome->body;
        }
        return json;
    }

    ClaimResult resultFromJson(const nlohmann::json& json)
    {
        ClaimResult result { static_cast<ClaimAnswer>(json.value("answer", static_cast<int>(ClaimAnswer::Refused))), std::nullopt };
        if (json.contains("outcome"))
            result.outcome = ClaimOutcome { json.value("status", 0), json.value("outcome", "") };
        return result;
    }

}

ClaimKeeper::ClaimKeeper(NodeContext& context, MemberHolder& members, KeyValueLimiter& gate)
    : m_context(context)
    , m_members(members)
    , m_gate(gate)
{
}

void ClaimKeeper::submit(const ClaimIdentity& identity, ClaimOperation operation, ResultHandler onResult)
{
    const auto bucketKey = identity.bucketKey();
    const auto entries = m_members.with([](const MemberTable& table) { return table.liveEntries(false); });
    const auto writer = rendezvousFirst(claimShardOf(bucketKey), entries);
    if (writer.empty() || writer == m_context.settings.vm.id) {
        writeHere(bucketKey, { std::move(operation), std::move(onResult) });
        return;
    }
    const auto address = m_members.with([&](const MemberTable& table) { return table.find(writer)->vm.address; });
    auto body = std::visit(OperationWriter(), operation);
    body["bucket"] = bucketKey;
    m_context.rpc.post(address, claimPath, body, monotonicNow() + passOnTimeout,
        [this, bucketKey, operation = std::move(operation), onResult = std::move(onResult)](Outcome<nlohmann::json> answer) mutable {
            if (answer && answer.value().contains("answer")) {
                onResult(resultFromJson(answer.value()));
                return;
            }
            // The writer may have applied the operation; applying it again gives the
            // same answer.
            m_context.metrics.count("claims_passed_over_total", answer ? "refused" : errorCodeName(answer.error().code));
            writeHere(bucketKey, { std::move(operation), std::move(onResult) });
        });
}

void ClaimKeeper::receive(const HttpRequest& request, HttpResponderPointer responder)
{
    if (!m_context.endpoint.verify(request, *responder))
        return;
    const auto json = nlohmann::json::parse(request.body, nullptr, false);
    const auto operation = json.is_object() ? parseOperation(json) : std::nullopt;
    if (!operation) {
        m_context.metrics.count("peer_refusals_total", "malformed-claim");
        responder->send(statusBadRequest, "claim operation is malformed");
        return;
    }
    writeHere(json.value("bucket", ""), { *operation, [responder](Outcome<ClaimResult> result) {
                                             responder->send(statusOk, result ? resultToJson(result.value()).dump() : nlohmann::json { { "error", result.error().message } }.dump());
                                         } });
}

void ClaimKeeper::writeHere(const std::string& bucketKey, Pending pending)
{
    const auto shard = claimShardOf(bucketKey);
    std::lock_guard<std::mutex> lock(m_mutex);
    auto& state = m_shards[shard];
    state.pending[bucketKey].push_back(std::move(pending));
    scheduleFlush(shard, state);
}

// The first operation after a quiet time is written at once; under load operations
// gather for a period, so that writes do not grow with the calls.
void ClaimKeeper::scheduleFlush(const std::string& shard, Shard& state)
{
    if (state.isFlushScheduled || state.isFlushing || state.pending.empty())
        return;
    state.isFlushScheduled = true;
    const auto when = std::max(monotonicNow(), state.flushedAt + flushPeriod);
    m_context.scheduler.at(when, [this, shard] { m_context.pool.submit([this, shard] { flush(shard); }); });
}

void ClaimKeeper::flush(const std::string& shard)
{
    std::map<std::string, std::vector<Pending>> batches;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        auto& state = m_shards[shard];
        state.isFlushScheduled = false;
        state.isFlushing = true;
        state.flushedAt = monotonicNow();
        batches.swap(state.pending);
        forgetOldBuckets(state.flushedAt);
    }
    for (auto& [bucketKey, batch] : batches)
        commit(bucketKey, batch);
    std::lock_guard<std::mutex> lock(m_mutex);
    auto& state = m_shards[shard];
    state.isFlushing = false;
    scheduleFlush(shard, state);
}

Outcome<ClaimKeeper::CachedBucket> ClaimKeeper::readBucket(const std::string& bucketKey)
{
    const auto read = m_gate.read(bucketKey, KeyValuePriority::Claim);
    if (!read)
        return boost::outcome_v2::failure(read.error());
    auto bucket = ClaimBucket::parse(read.value().value);
    if (!bucket)
        return boost::outcome_v2::failure(bucket.error());
    return CachedBucket { std::move(bucket.value()), read.value().revision, monotonicNow() };
}

void ClaimKeeper::commit(const std::string& bucketKey, std::vector<Pending>& batch)
{
    std::optional<CachedBucket> known;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        const auto found = m_cache.find(bucketKey);
        if (found != m_cache.end())
            known = found->second;
    }
    Error lastError { ErrorCode::Unavailable, "claims could not be written" };
    for (int attempt = 0; attempt < maxCommitAttempts; ++attempt) {
        if (attempt > 0)
            std::this_thread::sleep_for(retryPause * attempt);
        if (!known) {
            auto read = readBucket(bucketKey);
            if (!read) {
                lastError = read.error();
                continue;
            }
            known = std::move(read.value());
        }
        auto changed = *known;
        std::vector<ClaimResult> results;
        for (const auto& pending : batch)
            results.push_back(changed.bucket.apply(pending.operation));
        const auto text = changed.bucket.text();
        // After a lost answer the bucket read back may hold the batch already.
        if (known->revision == 0 || text != known->bucket.text()) {
            const auto swapped = m_gate.swap(bucketKey, known->revision, text, claimRetention, KeyValuePriority::Claim);
            if (!swapped || !swapped.value().isSwapped) {
                if (!swapped)
                    lastError = swapped.error();
                m_context.metrics.count("claim_retries_total", swapped ? "conflict" : errorCodeName(swapped.error().code));
                known.reset();
                continue;
            }
            changed.revision = swapped.value().revision;
        }
        changed.usedAt = monotonicNow();
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            m_cache[bucketKey] = std::move(changed);
        }
        m_context.metrics.count("claims_written_total", "", batch.size());
        for (std::size_t i = 0; i < batch.size(); ++i)
            batch[i].onResult(results[i]);
        return;
    }
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_cache.erase(bucketKey);
    }
    for (auto& pending : batch)
        pending.onResult(boost::outcome_v2::failure(lastError));
}

void ClaimKeeper::forgetOldBuckets(TimePoint now)
{
    for (auto cached = m_cache.begin(); cached != m_cache.end();)
        cached = now > cached->second.usedAt + cacheRetention ? m_cache.erase(cached) : std::next(cached);
}

}
