#include "ClaimIdentity.h"

namespace hyssopwick {

namespace {
    constexpr UnixMilliseconds bucketMilliseconds = 10'000;
    constexpr const char* claimKeyPrefix = "hyssopwick/claims/";
}

std::string ClaimIdentity::bucketKey() const
{
    const auto shard = stableHash(digest().hex()) % claimShardCount;
    return claimKeyPrefix + std::to_string(shard) + "/" + std::to_string(issuedAt / bucketMilliseconds);
}

std::string claimShardOf(const std::string& bucketKey) { return bucketKey.substr(0, bucketKey.rfind('/')); }

}
