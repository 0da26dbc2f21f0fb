#pragma once

#include <hyssopwick_records.h>
#include <hyssopwick_transport.h>

namespace hyssopwick {

enum class ApplyVerdict {
    Accepted, ///< the swap succeeded: the configuration is active
    Unchanged, ///< the records are active already
    Conflict, ///< the active revision was not the expected one, or another operator's swap came first; nothing was changed
    Failed, ///< the key-value service did not answer or did not accept the change; nothing was changed
    Unknown, ///< the swap's answer was lost, and the head cannot be read or has a later revision
};

struct ApplyResult {
    ApplyVerdict verdict = ApplyVerdict::Failed;
    Head head; ///< the active head, as far as it is known
    std::vector<std::string> changes; ///< from the bundle read before the swap to the active one, also by another operator
    std::string detail;
};

/// Accepts configurations: writes the immutable bundle in parts, then replaces the single
/// head by compare-and-swap. When the answer to the swap is lost, the head is read back and
/// its nonce shows whether the swap was this one.
class Applier {
public:
    /// \param author  name of the operator, stored in the head
    /// \param nonce   unique to this run of the program; identifies its heads
    Applier(KeyValueStore& store, std::string author, std::string nonce);

    /// Reads the active head and bundle; revision 0 when there is none.
    Outcome<std::pair<KeyRevision, std::pair<Head, Bundle>>> readCurrent();

    /// Replaces the active bundle by \p bundle.
    /// \param expected  revision that must be active; nothing for any
    ApplyResult apply(const Bundle& bundle, std::optional<ConfigurationRevision> expected);

    /// Removes bundle parts that the head does not reference, left by former heads or
    /// interrupted applies, once two calls have found them so. Returns how many keys
    /// were removed.
    Outcome<std::size_t> removeUnreferencedParts();

    static constexpr std::size_t maxPartBytes = 900'000;

private:
    Outcome<void> writeParts(const Bundle& bundle, std::int64_t parts);
    ApplyResult resolveLostAnswer(const Head& head, const Bundle& before);

    KeyValueStore& m_store;
    std::string m_author;
    std::string m_nonce;
};

}
