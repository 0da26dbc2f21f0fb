#pragma once

#include <cstdint>

namespace hyssopwick {

/// Pseudo-random generator (SplitMix64, Steele, Lea and Flood 2014). Seeded, so that a
/// recorded decision can be reproduced with the same random numbers.
class RandomSource {
public:
    explicit RandomSource(std::uint64_t seed)
        : m_state(seed)
    {
    }

    /// Returns the next 64 random bits.
    std::uint64_t next()
    {
        m_state += 0x9e3779b97f4a7c15ull;
        std::uint64_t z = m_state;
        z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ull;
        z = (z ^ (z >> 27)) * 0x94d049bb133111ebull;
        return z ^ (z >> 31);
    }

    /// Returns a number in [0, bound); 0 when \p bound is 0.
    std::uint64_t below(std::uint64_t bound) { return bound == 0 ? 0 : next() % bound; }

    /// Returns a number in [0, 1).
    double unit() { return static_cast<double>(next() >> 11) / 9007199254740992.0; }

private:
    std::uint64_t m_state;
};

}
