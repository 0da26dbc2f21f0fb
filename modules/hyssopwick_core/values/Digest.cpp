#include "Digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>

namespace hyssopwick {

namespace {

    constexpr std::size_t digestHexLength = 2 * SHA256_DIGEST_LENGTH;

    std::string toHex(const unsigned char* bytes, std::size_t size)
    {
        static const char digits[] = "0123456789abcdef";
        std::string hex;
        hex.reserve(2 * size);
        for (std::size_t i = 0; i < size; ++i) {
            hex += digits[bytes[i] >> 4];
            hex += digits[bytes[i] & 15];
        }
        return hex;
    }

}

Digest Digest::of(const void* data, std::size_t size)
{
    unsigned char bytes[SHA256_DIGEST_LENGTH];
    SHA256(static_cast<const unsigned char*>(data), size, bytes);
    Digest digest;
    digest.m_hex = toHex(bytes, sizeof bytes);
    return digest;
}

Digest Digest::fromHex(std::string_view hex)
{
    Digest digest;
    if (hex.size() != digestHexLength)
        return digest;
    if (hex.find_first_not_of("0123456789abcdef") != std::string_view::npos)
        return digest;
    digest.m_hex = hex;
    return digest;
}

std::string hmacHex(std::string_view key, std::string_view text)
{
    unsigned char bytes[EVP_MAX_MD_SIZE];
    unsigned size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
        reinterpret_cast<const unsigned char*>(text.data()), text.size(), bytes, &size);
    return toHex(bytes, size);
}

bool constantTimeEquals(std::string_view left, std::string_view right)
{
    if (left.size() != right.size())
        return false;
    return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

}
