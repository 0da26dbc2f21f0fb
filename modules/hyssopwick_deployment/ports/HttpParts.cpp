#include "HttpParts.h"

#include <algorithm>
#include <cctype>

namespace hyssopwick {

bool headerNamesEqual(std::string_view left, std::string_view right)
{
    return left.size() == right.size()
        && std::equal(left.begin(), left.end(), right.begin(),
            [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
}

std::string_view headerValue(const HeaderFields& fields, std::string_view name)
{
    for (const auto& [key, value] : fields) {
        if (headerNamesEqual(key, name))
            return value;
    }
    return {};
}

}
