#include "Weights.h"

#include <nlohmann/json.hpp>
#include <openssl/evp.h>
#include <random>

namespace hyssopwick::soak {

namespace {
    std::string sha256(const std::string& bytes)
    {
        unsigned char digest[EVP_MAX_MD_SIZE];
        unsigned size = 0;
        EVP_Digest(bytes.data(), bytes.size(), digest, &size, EVP_sha256(), nullptr);
        std::string hex;
        for (unsigned i = 0; i < size; ++i) {
            char text[3];
            std::snprintf(text, sizeof text, "%02x", digest[i]);
            hex += text;
        }
        return hex;
    }
}

std::string pieceOf(std::uint64_t version, unsigned number)
{
    std::mt19937_64 random(version * pieceCount + number);
    std::string piece(pieceBytes, '\0');
    for (std::size_t at = 0; at < piece.size(); at += sizeof(std::uint64_t)) {
        const std::uint64_t word = random();
        piece.replace(at, sizeof word, reinterpret_cast<const char*>(&word), sizeof word);
    }
    return piece;
}

std::string manifestOf(std::uint64_t version)
{
    auto digests = nlohmann::json::array();
    for (unsigned number = 0; number < pieceCount; ++number)
        digests.push_back(sha256(pieceOf(version, number)));
    return nlohmann::json { { "model", modelName }, { "version", version }, { "chunkBytes", pieceBytes }, { "layers", layerCount }, { "digests", digests } }.dump();
}

}
