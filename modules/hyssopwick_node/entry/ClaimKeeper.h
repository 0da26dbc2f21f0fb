#pragma once

#include "../runtime/MemberHolder.h"

#include <hyssopwick_requests.h>

namespace hyssopwick {

/// Path of the message that carries claim operations to a shard's writer.
constexpr const char* claimPath = "/claims";

/// Writes claims to the key-value service, many in one write: the shell of
/// ClaimBucket. One entry VM by rendezvous order writes a shard; the others pass
/// operations on to it, and write themselves when it does not answer, which
/// compare-and-swap makes safe. Thread-safe.
class ClaimKeeper {
public:
    /// Receives the result; a failure means that the operation may or may not have
    /// taken effect, so a call without a granted claim must not run.
    using ResultHandler = std::function<void(Outcome<ClaimResult>)>;

    ClaimKeeper(NodeContext& context, MemberHolder& members, KeyValueLimiter& gate);

    /// Submits an operation; \p onResult runs on any thread.
    void submit(const ClaimIdentity& identity, ClaimOperation operation, ResultHandler onResult);

    /// Handles operations passed on by another entry VM.
    void receive(const HttpRequest& request, HttpResponderPointer responder);

private:
    struct Pending {
        ClaimOperation operation;
        ResultHandler onResult;
    };

    struct Shard {
        std::map<std::string, std::vector<Pending>> pending; // by bucket key
        TimePoint flushedAt;
        bool isFlushScheduled = false;
        bool isFlushing = false;
    };

    struct CachedBucket {
        ClaimBucket bucket;
        KeyRevision revision = 0;
        TimePoint usedAt;
    };

    void writeHere(const std::string& bucketKey, Pending pending);
    void scheduleFlush(const std::string& shard, Shard& state);
    void flush(const std::string& shard);
    void commit(const std::string& bucketKey, std::vector<Pending>& batch);
    Outcome<CachedBucket> readBucket(const std::string& bucketKey);
    void forgetOldBuckets(TimePoint now);

    NodeContext& m_context;
    MemberHolder& m_members;
    KeyValueLimiter& m_gate;
    std::mutex m_mutex; // guards all below
    std::map<std::string, Shard> m_shards;
    std::map<std::string, CachedBucket> m_cache;
};

}
