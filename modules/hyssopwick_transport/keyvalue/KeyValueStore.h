#pragma once

#include <hyssopwick_core.h>

#include <optional>

namespace hyssopwick {

/// Revision of a key; 0 means that the key does not exist.
using KeyRevision = std::uint64_t;

/// A key's value and revision.
struct KeyValue {
    std::string value;
    KeyRevision revision = 0;
};

/// Result of a compare-and-swap.
struct SwapResult {
    bool isSwapped = false;
    KeyRevision revision = 0; ///< the new revision, or the current one if it differs from the expected one
};

/// The platform's key-value service. Errors: ErrorCode::Unavailable when the call
/// did not take effect, ErrorCode::UnknownResult when a write may have taken effect.
class KeyValueStore {
public:
    virtual ~KeyValueStore() = default;

    /// Reads a key; an absent one has revision 0.
    virtual Outcome<KeyValue> read(const std::string& key) = 0;

    /// Waits until the revision of \p key exceeds \p after, or until \p deadline.
    virtual Outcome<KeyValue> watch(const std::string& key, KeyRevision after, TimePoint deadline) = 0;

    /// Writes \p value if the key's revision is \p expected.
    /// \param timeToLive  after which the key expires unless written again; zero for never
    virtual Outcome<SwapResult> swap(const std::string& key, KeyRevision expected, const std::string& value, Milliseconds timeToLive) = 0;

    /// Removes the key if its revision is \p expected.
    virtual Outcome<SwapResult> remove(const std::string& key, KeyRevision expected) = 0;

    /// Returns the names of the keys that start with \p prefix.
    virtual Outcome<std::vector<std::string>> list(const std::string& prefix) = 0;
};

}
