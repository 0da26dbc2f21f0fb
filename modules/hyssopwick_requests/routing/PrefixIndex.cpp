#include "PrefixIndex.h"

#include <algorithm>

namespace hyssopwick {

namespace {
    constexpr std::size_t blockBytes = 64;
    constexpr std::size_t maxBlocks = 64;
    constexpr std::size_t maxHoldersPerPrefix = 3;
}

std::vector<std::uint64_t> prefixHashes(const std::string& prompt)
{
    std::vector<std::uint64_t> hashes;
    std::uint64_t hash = 0;
    for (std::size_t end = blockBytes; end <= prompt.size() && hashes.size() < maxBlocks; end += blockBytes) {
        hash = RandomSource(hash ^ stableHash(std::string_view(prompt).substr(end - blockBytes, blockBytes))).next();
        hashes.push_back(hash);
    }
    return hashes;
}

PrefixIndex::PrefixIndex(std::size_t maxPrefixes)
    : m_maxPrefixes(maxPrefixes)
{
}

void PrefixIndex::add(std::uint64_t prefix, const std::string& vm)
{
    const auto [found, isNew] = m_holders.try_emplace(prefix);
    auto& holders = found->second;
    if (isNew)
        m_insertionOrder.push_back(prefix);
    holders.erase(std::remove(holders.begin(), holders.end(), vm), holders.end());
    if (holders.size() >= maxHoldersPerPrefix)
        holders.erase(holders.begin());
    holders.push_back(vm);
    while (m_holders.size() > m_maxPrefixes && !m_insertionOrder.empty()) {
        m_holders.erase(m_insertionOrder.front());
        m_insertionOrder.pop_front();
    }
}

void PrefixIndex::remove(std::uint64_t prefix, const std::string& vm)
{
    const auto found = m_holders.find(prefix);
    if (found == m_holders.end())
        return;
    auto& holders = found->second;
    holders.erase(std::remove(holders.begin(), holders.end(), vm), holders.end());
}

void PrefixIndex::forget(const std::string& vm)
{
    for (auto& [prefix, holders] : m_holders)
        holders.erase(std::remove(holders.begin(), holders.end(), vm), holders.end());
}

std::map<std::string, std::size_t> PrefixIndex::matches(const std::vector<std::uint64_t>& prefixes) const
{
    std::map<std::string, std::size_t> lengths;
    for (std::size_t i = 0; i < prefixes.size(); ++i) {
        const auto found = m_holders.find(prefixes[i]);
        if (found == m_holders.end() || found->second.empty())
            break;
        for (const auto& vm : found->second)
            lengths[vm] = i + 1;
    }
    return lengths;
}

}
