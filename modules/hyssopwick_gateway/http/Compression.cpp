#include "Compression.h"

#include <array>
#include <zlib.h>

namespace hyssopwick {

namespace {
    constexpr std::size_t pieceBytes = 16384;

    /// Owns an inflate stream.
    struct Inflater {
        Inflater() { isReady = inflateInit(&stream) == Z_OK; }
        ~Inflater()
        {
            if (isReady)
                inflateEnd(&stream);
        }
        Inflater(const Inflater&) = delete;
        Inflater& operator=(const Inflater&) = delete;

        z_stream stream {};
        bool isReady = false;
    };
}

Outcome<std::string> compress(const std::string& bytes)
{
    auto size = compressBound(bytes.size());
    std::string compressed(size, '\0');
    const int result = ::compress(reinterpret_cast<Bytef*>(compressed.data()), &size, reinterpret_cast<const Bytef*>(bytes.data()), bytes.size());
    if (result != Z_OK)
        return failure(ErrorCode::Unavailable, "zlib compress: " + std::to_string(result));
    compressed.resize(size);
    compressed.shrink_to_fit(); // compressBound() is for incompressible bytes
    return compressed;
}

Outcome<std::string> decompress(const std::string& bytes, std::size_t maxBytes)
{
    Inflater inflater;
    if (!inflater.isReady)
        return failure(ErrorCode::Unavailable, "zlib inflate cannot start");
    auto& stream = inflater.stream;
    stream.next_in = reinterpret_cast<Bytef*>(const_cast<char*>(bytes.data())); // zlib only reads it
    stream.avail_in = static_cast<uInt>(bytes.size());
    std::string whole;
    std::array<char, pieceBytes> piece;
    for (int result = Z_OK; result != Z_STREAM_END;) {
        stream.next_out = reinterpret_cast<Bytef*>(piece.data());
        stream.avail_out = static_cast<uInt>(piece.size());
        result = inflate(&stream, Z_NO_FLUSH);
        if (result != Z_OK && result != Z_STREAM_END)
            return failure(ErrorCode::InvalidInput, "zlib inflate: " + std::to_string(result));
        const auto size = piece.size() - stream.avail_out;
        if (whole.size() + size > maxBytes)
            return failure(ErrorCode::InvalidInput, "more than " + std::to_string(maxBytes) + " bytes when decompressed");
        whole.append(piece.data(), size);
    }
    if (stream.avail_in != 0)
        return failure(ErrorCode::InvalidInput, std::to_string(stream.avail_in) + " bytes after the compressed ones");
    return whole;
}

}
