#pragma once

#include <hyssopwick_core.h>

namespace hyssopwick {

/// Identity of a non-idempotent call: the account, the caller's idempotency key and the
/// time at which the caller issued the call. Retries carry the same three values.
struct ClaimIdentity {
    std::string account;
    std::string key;
    UnixMilliseconds issuedAt = 0;

    /// Returns the digest that identifies the call in the key-value service.
    Digest digest() const { return Digest::of(account + "\n" + key + "\n" + std::to_string(issuedAt)); }

    /// Returns the key of the bucket that holds the claim.
    std::string bucketKey() const;

    auto tied() const { return std::tie(account, key, issuedAt); }
    bool operator==(const ClaimIdentity& other) const { return tied() == other.tied(); }
    bool operator!=(const ClaimIdentity& other) const { return !(*this == other); }
};

/// Calls issued longer ago are refused, since their claims may have been deleted.
constexpr Milliseconds maxIssueAge { 600'000 };

/// How long claims are stored: longer than maxIssueAge, to allow for clock offsets.
constexpr Milliseconds claimRetention { 900'000 };

/// A call issued further in the future is refused.
constexpr Milliseconds maxIssueAhead { 30'000 };

/// Number of shards of the claims. Each is written by one entry VM at a time.
constexpr std::uint64_t claimShardCount = 4;

/// Returns the shard of a bucket key. It determines which entry VM writes the bucket.
std::string claimShardOf(const std::string& bucketKey);

}
