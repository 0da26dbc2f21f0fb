#pragma once

#include <hyssopwick_core.h>

namespace hyssopwick {

/// A set of chunk numbers below a fixed count.
class ChunkSet {
public:
    /// Creates the empty set for \p count chunks.
    explicit ChunkSet(std::uint32_t count = 0);

    /// Parses the output of hex(). Returns the empty set when the text does not fit \p count.
    static ChunkSet fromHex(const std::string& hex, std::uint32_t count);

    /// Returns the set as hexadecimal digits, 16 for each 64 chunks.
    std::string hex() const;

    void insert(std::uint32_t chunk) { m_words[chunk / 64] |= std::uint64_t(1) << (chunk % 64); }
    void erase(std::uint32_t chunk) { m_words[chunk / 64] &= ~(std::uint64_t(1) << (chunk % 64)); }
    bool contains(std::uint32_t chunk) const { return (m_words[chunk / 64] >> (chunk % 64)) & 1; }

    std::uint32_t size() const;

    /// Returns the number of chunks that the set can hold.
    std::uint32_t capacity() const { return m_count; }

    bool isFull() const { return size() == m_count; }

    /// Adds every chunk of \p other, which must have the same capacity.
    void add(const ChunkSet& other);

    /// Returns the chunks of this set that \p other lacks.
    ChunkSet without(const ChunkSet& other) const;

    bool isEmpty() const { return size() == 0; }

    bool operator==(const ChunkSet& other) const { return m_count == other.m_count && m_words == other.m_words; }
    bool operator!=(const ChunkSet& other) const { return !(*this == other); }

private:
    std::uint32_t m_count;
    std::vector<std::uint64_t> m_words;
};

}
