#pragma once

#include <hyssopwick_core.h>

namespace hyssopwick {

/// Identity of a non-idempotent call: the account, the caller's key and the time at
/// which the caller issued it. Repeats of the call carry the same three.
struct ClaimIdentity {
    std::string account;
    std::string key;
    UnixMilliseconds issuedAt = 0;

    /// Returns the digest that stands for the identity in the key-value service.
    Digest digest() const { return Digest::of(account + "\n" + key + "\n" + std::to_string(issuedAt)); }

    /// Returns the key of the bucket that holds the claim.
    std::string bucketKey() const;

    auto tied() const { return std::tie(account, key, issuedAt); }
    bool operator==(const ClaimIdentity& other) const { return tied() == other.tied(); }
    bool operator!=(const ClaimIdentity& other) const { return !(*this == other); }
};

/// Calls issued longer ago are refused, since their claims may be deleted.
constexpr Milliseconds maxIssueAge { 600'000 };

/// Claims are kept this much longer than maxIssueAge, against clock offsets.
constexpr Milliseconds claimRetention { 900'000 };

/// A call issued this far in the future is refused.
constexpr Milliseconds maxIssueAhead { 30'000 };

/// Shards of the claims; each is written by one entry VM at a time.
constexpr std::uint64_t claimShards = 4;

/// Returns the shard of a bucket key, which names the entry VM that writes it.
std::string claimShardOf(const std::string& bucketKey);

}
