#include "ChunkSet.h"

#include <bitset>

namespace hyssopwick {

namespace {
    constexpr std::uint32_t bitsPerWord = 64;
    constexpr std::size_t digitsPerWord = 16;
}

ChunkSet::ChunkSet(std::uint32_t count)
    : m_count(count)
    , m_words((count + bitsPerWord - 1) / bitsPerWord)
{
}

ChunkSet ChunkSet::fromHex(const std::string& hex, std::uint32_t count)
{
    ChunkSet set(count);
    if (hex.size() != set.m_words.size() * digitsPerWord || hex.find_first_not_of("0123456789abcdef") != std::string::npos)
        return set;
    for (std::size_t i = 0; i < set.m_words.size(); ++i)
        set.m_words[i] = std::stoull(hex.substr(i * digitsPerWord, digitsPerWord), nullptr, 16);
    if (count % bitsPerWord != 0)
        set.m_words.back() &= (std::uint64_t(1) << (count % bitsPerWord)) - 1;
    return set;
}

std::string ChunkSet::hex() const
{
    static const char digits[] = "0123456789abcdef";
    std::string text;
    text.reserve(m_words.size() * digitsPerWord);
    for (const auto word : m_words) {
        for (int shift = bitsPerWord - 4; shift >= 0; shift -= 4)
            text += digits[(word >> shift) & 15];
    }
    return text;
}

std::uint32_t ChunkSet::size() const
{
    std::size_t total = 0;
    for (const auto word : m_words)
        total += std::bitset<bitsPerWord>(word).count();
    return static_cast<std::uint32_t>(total);
}

void ChunkSet::add(const ChunkSet& other)
{
    for (std::size_t i = 0; i < m_words.size(); ++i)
        m_words[i] |= other.m_words[i];
}

ChunkSet ChunkSet::without(const ChunkSet& other) const
{
    ChunkSet rest(*this);
    for (std::size_t i = 0; i < m_words.size(); ++i)
        rest.m_words[i] &= ~other.m_words[i];
    return rest;
}

}
