#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace hyssopwick {

/// SHA-256 digest, stored as 64 lower-case hexadecimal digits.
class Digest {
public:
    /// Creates the empty digest, which differs from every digest of data.
    Digest() = default;

    /// Computes the digest of \p size bytes at \p data.
    static Digest of(const void* data, std::size_t size);

    /// Computes the digest of \p text.
    static Digest of(std::string_view text) { return of(text.data(), text.size()); }

    /// Parses 64 lower-case hexadecimal digits; returns the empty digest for anything else.
    static Digest fromHex(std::string_view hex);

    /// Returns the 64 hexadecimal digits, or "" for the empty digest.
    const std::string& hex() const { return m_hex; }

    /// Returns the first 12 digits, for log lines.
    std::string shortHex() const { return m_hex.substr(0, 12); }

    bool isEmpty() const { return m_hex.empty(); }
    bool operator==(const Digest& other) const { return m_hex == other.m_hex; }
    bool operator!=(const Digest& other) const { return m_hex != other.m_hex; }
    bool operator<(const Digest& other) const { return m_hex < other.m_hex; }

private:
    std::string m_hex;
};

/// Computes HMAC-SHA-256 of \p text under \p key, as 64 hexadecimal digits.
std::string hmacHex(std::string_view key, std::string_view text);

/// Compares in a time that depends only on the lengths, not on the contents.
bool constantTimeEquals(std::string_view left, std::string_view right);

}
