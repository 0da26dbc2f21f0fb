#pragma once

#include "../values/Error.h"

#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hyssopwick {

/// Fields of one event, in output order.
using EventFields = std::vector<std::pair<std::string, std::string>>;

/// Formats \p fields as one line of key=value pairs. A value with spaces, quotes, equals
/// signs, backslashes or control characters is quoted; parseEventLine() decodes it.
std::string formatEventLine(const EventFields& fields);

/// Parses a line written by formatEventLine().
/// Fails with ErrorCode::InvalidInput and the offending column.
Outcome<std::map<std::string, std::string>> parseEventLine(std::string_view line);

}
