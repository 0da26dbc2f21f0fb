#pragma once

#include <hyssopwick_core.h>

#include <deque>
#include <map>
#include <unordered_map>

namespace hyssopwick {

/// Splits a prompt into blocks and returns the hash of each prefix that ends at a
/// block boundary, shortest first.
std::vector<std::uint64_t> prefixHashes(const std::string& prompt);

/// Tracks which upstream VMs probably hold which prompt prefixes in their caches, from
/// their cache events (late and with gaps) and from this entry's routing. Bounded: the oldest
/// prefixes are dropped. Pure.
class PrefixIndex {
public:
    explicit PrefixIndex(std::size_t maxPrefixes = 20000);

    /// Records that \p vm holds the prefix. Only the latest few holders are stored, so that a
    /// prefix stays on few VMs and the caches together hold more prefixes.
    void add(std::uint64_t prefix, const std::string& vm);

    /// Records that \p vm dropped the prefix.
    void remove(std::uint64_t prefix, const std::string& vm);

    /// Removes a VM from all prefixes, for example after it restarted.
    void forget(const std::string& vm);

    /// Returns how many leading blocks of a prompt each VM probably holds.
    /// \param prefixes  prefixHashes() of the prompt
    std::map<std::string, std::size_t> matches(const std::vector<std::uint64_t>& prefixes) const;

private:
    std::size_t m_maxPrefixes;
    std::unordered_map<std::uint64_t, std::vector<std::string>> m_holders;
    std::deque<std::uint64_t> m_insertionOrder;
};

}
