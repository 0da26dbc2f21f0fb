#include "ClaimWriter.h"

#include <thread>

namespace hyssopwick {

namespace {

    constexpr Milliseconds flushPeriod { 80 };
    constexpr Milliseconds forwardTimeout { 2500 };
    constexpr Milliseconds cacheRetention { 60'000 };
    constexpr Milliseconds retryDelay { 60 };
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

ClaimWriter::ClaimWriter(NodeContext& context, SharedMemberTable& members, KeyValueLimiter& keyValue)
    : m_context(context)
    , m_members(members)
    , m_keyValue(keyValue)
{
}

void ClaimWriter::submit(const ClaimIdentity& identity, ClaimOperation operation, ResultHandler onResult)
{
    ++m_inProgress;
    forward(identity, std::move(operation), [this, onResult = std::move(onResult)](Outcome<ClaimResult> result) {
        onResult(std::move(result));
        --m_inProgress;
    });
}

void ClaimWriter::forward(const ClaimIdentity& identity, ClaimOperation operation, ResultHandler onResult)
{
    const auto bucketKey = identity.bucketKey();
    const auto entries = m_members.with([](const MemberTable& table) { return table.liveEntries(false); });
    const auto writer = rendezvousFirst(claimShardOf(bucketKey), entries);
    if (writer.empty() || writer == m_context.settings.vm.id) {
        writeLocally(bucketKey, { std::move(operation), std::move(onResult) });
        return;
    }
    const auto address = m_members.with([&](const MemberTable& table) { return table.find(writer)->vm.address; });
    auto body = std::visit(OperationWriter(), operation);
    body["bucket"] = bucketKey;
    m_context.rpc.post(address, claimPath, body, monotonicNow() + forwardTimeout,
        [this, bucketKey, operation = std::move(operation), onResult = std::move(onResult)](Outcome<nlohmann::json> answer) mutable {
            if (answer && answer.value().contains("answer")) {
                onResult(resultFromJson(answer.value()));
                return;
            }
            // The writer may have applied the operation, but applying it again gives the same answer.
            m_context.metrics.count("claims_passed_over_total", answer ? "refused" : errorCodeName(answer.error().code));
            writeLocally(bucketKey, { std::move(operation), std::move(onResult) });
        });
}

void ClaimWriter::receive(const HttpRequest& request, HttpResponderPointer responder)
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
    writeLocally(json.value("bucket", ""), { *operation, [responder](Outcome<ClaimResult> result) {
                                                responder->send(statusOk, result ? resultToJson(result.value()).dump() : nlohmann::json { { "error", result.error().message } }.dump());
                                            } });
}

void ClaimWriter::writeLocally(const std::string& bucketKey, PendingOperation pending)
{
    const auto shard = claimShardOf(bucketKey);
    std::lock_guard<std::mutex> lock(m_mutex);
    auto& state = m_shards[shard];
    state.pending[bucketKey].push_back(std::move(pending));
    scheduleFlush(shard, state);
}

// The first operation after an idle period is written at once. Under load, operations are
// batched for flushPeriod, so that the number of writes does not grow with the calls.
void ClaimWriter::scheduleFlush(const std::string& shard, Shard& state)
{
    if (state.isFlushScheduled || state.isFlushing || state.pending.empty())
        return;
    state.isFlushScheduled = true;
    const auto when = std::max(monotonicNow(), state.flushedAt + flushPeriod);
    m_context.scheduler.at(when, [this, shard] { m_context.pool.submit([this, shard] { flush(shard); }); });
}

void ClaimWriter::flush(const std::string& shard)
{
    std::map<std::string, std::vector<PendingOperation>> batches;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        auto& state = m_shards[shard];
        state.isFlushScheduled = false;
        state.isFlushing = true;
        state.flushedAt = monotonicNow();
        batches.swap(state.pending);
        evictOldBuckets(state.flushedAt);
    }
    for (auto& [bucketKey, batch] : batches)
        commit(bucketKey, batch);
    std::lock_guard<std::mutex> lock(m_mutex);
    auto& state = m_shards[shard];
    state.isFlushing = false;
    scheduleFlush(shard, state);
}

Outcome<ClaimWriter::CachedBucket> ClaimWriter::readBucket(const std::string& bucketKey)
{
    const auto read = m_keyValue.read(bucketKey, KeyValuePriority::Claim);
    if (!read)
        return boost::outcome_v2::failure(read.error());
    auto bucket = ClaimBucket::parse(read.value().value);
    if (!bucket)
        return boost::outcome_v2::failure(bucket.error());
    return CachedBucket { std::move(bucket.value()), read.value().revision, monotonicNow() };
}

void ClaimWriter::commit(const std::string& bucketKey, std::vector<PendingOperation>& batch)
{
    std::optional<CachedBucket> cached;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        const auto found = m_cache.find(bucketKey);
        if (found != m_cache.end())
            cached = found->second;
    }
    Error lastError { ErrorCode::Unavailable, "claims could not be written" };
    for (int attempt = 0; attempt < maxCommitAttempts; ++attempt) {
        if (attempt > 0)
            std::this_thread::sleep_for(retryDelay * attempt);
        if (!cached) {
            auto read = readBucket(bucketKey);
            if (!read) {
                lastError = read.error();
                continue;
            }
            cached = std::move(read.value());
        }
        auto updated = *cached;
        std::vector<ClaimResult> results;
        for (const auto& pending : batch)
            results.push_back(updated.bucket.apply(pending.operation));
        const auto text = updated.bucket.text();
        // If the answer to an earlier swap was lost, the bucket may contain the batch already.
        if (cached->revision == 0 || text != cached->bucket.text()) {
            const auto swapped = m_keyValue.swap(bucketKey, cached->revision, text, claimRetention, KeyValuePriority::Claim);
            if (!swapped || !swapped.value().isSwapped) {
                if (!swapped)
                    lastError = swapped.error();
                m_context.metrics.count("claim_retries_total", swapped ? "conflict" : errorCodeName(swapped.error().code));
                cached.reset();
                continue;
            }
            updated.revision = swapped.value().revision;
        }
        updated.usedAt = monotonicNow();
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            m_cache[bucketKey] = std::move(updated);
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

void ClaimWriter::evictOldBuckets(TimePoint now)
{
    for (auto entry = m_cache.begin(); entry != m_cache.end();)
        entry = now > entry->second.usedAt + cacheRetention ? m_cache.erase(entry) : std::next(entry);
}

}
