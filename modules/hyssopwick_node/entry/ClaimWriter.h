#pragma once

#include "../runtime/SharedMemberTable.h"

#include <hyssopwick_requests.h>

namespace hyssopwick {

/// HTTP path on which a shard's writer receives claim operations.
constexpr const char* claimPath = "/claims";

/// Writes claims to the key-value service in batches, one ClaimBucket per key. The first entry
/// VM of a shard's rendezvous order is its writer; the others forward operations to it and
/// write themselves when it does not answer, which compare-and-swap makes safe. Thread-safe.
class ClaimWriter {
public:
    /// Receives the result. After a failure the operation may or may not have taken effect, so
    /// a call without a granted claim must not run.
    using ResultHandler = std::function<void(Outcome<ClaimResult>)>;

    ClaimWriter(NodeContext& context, SharedMemberTable& members, KeyValueLimiter& keyValue);

    /// Submits an operation; \p onResult is called on any thread.
    void submit(const ClaimIdentity& identity, ClaimOperation operation, ResultHandler onResult);

    /// Returns the number of submitted operations without a result.
    std::size_t inProgress() const { return m_inProgress; }

    /// Handles an operation that another entry VM forwarded.
    void receive(const HttpRequest& request, HttpResponderPointer responder);

private:
    struct PendingOperation {
        ClaimOperation operation;
        ResultHandler onResult;
    };

    struct Shard {
        std::map<std::string, std::vector<PendingOperation>> pending; // by bucket key
        TimePoint flushedAt;
        bool isFlushScheduled = false;
        bool isFlushing = false;
    };

    struct CachedBucket {
        ClaimBucket bucket;
        KeyRevision revision = 0;
        TimePoint usedAt;
    };

    void forward(const ClaimIdentity& identity, ClaimOperation operation, ResultHandler onResult);
    void writeLocally(const std::string& bucketKey, PendingOperation pending);
    void scheduleFlush(const std::string& shard, Shard& state);
    void flush(const std::string& shard);
    void commit(const std::string& bucketKey, std::vector<PendingOperation>& batch);
    Outcome<CachedBucket> readBucket(const std::string& bucketKey);
    void evictOldBuckets(TimePoint now);

    NodeContext& m_context;
    SharedMemberTable& m_members;
    KeyValueLimiter& m_keyValue;
    std::atomic<std::size_t> m_inProgress { 0 };
    std::mutex m_mutex; // guards the members below
    std::map<std::string, Shard> m_shards;
    std::map<std::string, CachedBucket> m_cache;
};

}
