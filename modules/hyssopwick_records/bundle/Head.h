#pragma once

#include "../model/Record.h"

namespace hyssopwick {

/// Revision of the accepted configuration; 0 means none.
using ConfigurationRevision = std::uint64_t;

/// Identifies the accepted configuration. Stored under one key of the platform's
/// key-value service and replaced only by compare-and-swap.
struct Head {
    ConfigurationRevision revision = 0;
    Digest bundle;
    std::int64_t parts = 1; ///< number of key-value entries that store the bundle's text
    std::int64_t schema = 0;
    std::string nonce; ///< unique to one attempt to apply a configuration
    std::string author;
    UnixMilliseconds acceptedAt = 0;

    auto tied() const { return std::tie(revision, bundle, parts, schema, nonce, author, acceptedAt); }
    bool operator==(const Head& other) const { return tied() == other.tied(); }
    bool operator!=(const Head& other) const { return !(*this == other); }
};

/// Returns the stored form of a head.
std::string headToText(const Head& head);

/// Parses headToText() output. Fails with ErrorCode::InvalidInput.
Outcome<Head> headFromText(const std::string& text);

constexpr const char* headKey = "hyssopwick/head";

/// Returns the key-value key of one part of a bundle.
std::string bundlePartKey(const Digest& bundle, std::int64_t part);

}
