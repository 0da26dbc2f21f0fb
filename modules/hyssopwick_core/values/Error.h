#pragma once

#include <boost/outcome/result.hpp>
#include <string>

namespace hyssopwick {

/// Category of a failed operation.
enum class ErrorCode {
    InvalidInput,
    NotFound,
    Conflict,
    Unavailable,
    Timeout,
    RateLimited,
    Unauthenticated,
    Corrupt,
    UnknownResult,
};

/// Returns the name of \p code in logs, for example "unavailable".
const char* errorCodeName(ErrorCode code);

/// A failed operation: its category and a message that contains the offending values.
struct Error {
    ErrorCode code;
    std::string message;

    bool operator==(const Error& other) const { return code == other.code && message == other.message; }
    bool operator!=(const Error& other) const { return !(*this == other); }
};

/// Result of an operation that may fail with an Error.
template <typename T>
using Outcome = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::all_narrow>;

/// Returns the success value of Outcome<void>.
inline auto success() { return boost::outcome_v2::success(); }

/// Builds the failure value of any Outcome.
inline auto failure(ErrorCode code, std::string message)
{
    return boost::outcome_v2::failure(Error { code, std::move(message) });
}

}
