#pragma once

#include <hyssopwick_core.h>

namespace hyssopwick {

/// Compresses bytes in the format of RFC 1950, HTTP's content coding "deflate".
/// Fails with ErrorCode::Unavailable when memory is short.
Outcome<std::string> compress(const std::string& bytes);

/// Decompresses the output of compress().
/// \param maxBytes  maximum size of the result
/// Fails with ErrorCode::InvalidInput when the bytes are malformed, truncated, followed by
/// others, or decompress to more than \p maxBytes.
Outcome<std::string> decompress(const std::string& bytes, std::size_t maxBytes);

}
