#pragma once

#include <hyssopwick_records.h>
#include <hyssopwick_transport.h>

namespace hyssopwick {

/// What became of an apply.
enum class ApplyVerdict {
    Accepted, ///< the swap took effect: the configuration is in force from now on
    Unchanged, ///< the records are in force already
    Conflict, ///< another operator was faster; nothing was changed
    Failed, ///< the key-value service did not answer; nothing was accepted
    Unknown, ///< the swap's answer was lost and the head cannot be read back
};

/// Result of an apply.
struct ApplyResult {
    ApplyVerdict verdict = ApplyVerdict::Failed;
    Head head; ///< the head in force, as far as it is known
    std::vector<std::string> changes; ///< what changed, or what changed under a conflict
    std::string detail;
};

/// Accepts configurations: writes the immutable bundle in parts, then swaps the one
/// head by compare-and-swap. A lost answer is read back and told apart by its nonce.
class Applier {
public:
    /// \param author  who applies, for the history
    /// \param nonce   unique to this run of the program
    Applier(KeyValueStore& store, std::string author, std::string nonce);

    /// Reads the head and bundle in force; revision 0 when there is none.
    Outcome<std::pair<KeyRevision, std::pair<Head, Bundle>>> readCurrent();

    /// Applies \p bundle on top of what is in force.
    /// \param expected  revision that the operator planned against; nothing for any
    ApplyResult apply(const Bundle& bundle, std::optional<ConfigurationRevision> expected);

    /// Removes bundles that no head names, left by applies that ended half-way, once
    /// they have been seen unnamed by two calls. Returns how many keys were removed.
    Outcome<std::size_t> removeLeftovers();

    /// Largest part of a bundle in bytes.
    static constexpr std::size_t maxPartBytes = 900'000;

private:
    Outcome<void> writeParts(const Bundle& bundle, std::int64_t parts);
    ApplyResult resolveLostAnswer(const Head& head, const Bundle& before);

    KeyValueStore& m_store;
    std::string m_author;
    std::string m_nonce;
};

}
