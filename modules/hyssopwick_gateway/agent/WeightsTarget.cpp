#include "WeightsTarget.h"

#include <algorithm>
#include <vector>

namespace hyssopwick {

std::optional<WeightsTarget> decodeWeightsTarget(const std::string& target)
{
    std::vector<std::string> parts;
    for (std::size_t begin = 1; begin <= target.size();) {
        const auto end = std::min(target.find('/', begin), target.size());
        parts.push_back(target.substr(begin, end - begin));
        begin = end + 1;
    }
    constexpr std::size_t versionParts = 4;
    constexpr std::size_t maxChunkDigits = 8;
    if (parts.size() < versionParts || parts[0] != "weights")
        return std::nullopt;
    if (parts[1] == "manifest")
        return WeightsTarget { parts[2], parts[3], std::nullopt };
    const bool isChunk = parts[1] == "chunk" && parts.size() == versionParts + 1 && !parts[4].empty() && parts[4].size() <= maxChunkDigits && parts[4].find_first_not_of("0123456789") == std::string::npos;
    if (!isChunk)
        return std::nullopt;
    return WeightsTarget { parts[2], parts[3], static_cast<unsigned>(std::stoul(parts[4])) };
}

}
