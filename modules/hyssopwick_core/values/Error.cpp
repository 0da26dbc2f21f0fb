#include "Error.h"

namespace hyssopwick {

const char* errorCodeName(ErrorCode code)
{
    switch (code) {
    case ErrorCode::InvalidInput:
        return "invalid-input";
    case ErrorCode::NotFound:
        return "not-found";
    case ErrorCode::Conflict:
        return "conflict";
    case ErrorCode::Unavailable:
        return "unavailable";
    case ErrorCode::Timeout:
        return "timeout";
    case ErrorCode::RateLimited:
        return "rate-limited";
    case ErrorCode::Unauthenticated:
        return "unauthenticated";
    case ErrorCode::Corrupt:
        return "corrupt";
    case ErrorCode::UnknownResult:
        return "unknown-result";
    }
    return "unnamed";
}

}
