#include "Rendezvous.h"

#include <algorithm>

namespace hyssopwick {

namespace {

    std::uint64_t weight(std::string_view key, const std::string& member)
    {
        std::string text(key);
        text += '\n';
        text += member;
        return stableHash(text);
    }

}

std::uint64_t stableHash(std::string_view text)
{
    std::uint64_t hash = 0xcbf29ce484222325ull;
    for (const char character : text) {
        hash ^= static_cast<unsigned char>(character);
        hash *= 0x100000001b3ull;
    }
    hash ^= hash >> 33;
    hash *= 0xff51afd7ed558ccdull;
    hash ^= hash >> 33;
    hash *= 0xc4ceb9fe1a85ec53ull;
    return hash ^ (hash >> 33);
}

std::vector<std::string> rendezvousOrder(std::string_view key, std::vector<std::string> members)
{
    std::sort(members.begin(), members.end(), [key](const std::string& left, const std::string& right) {
        const auto leftWeight = weight(key, left);
        const auto rightWeight = weight(key, right);
        return leftWeight != rightWeight ? leftWeight > rightWeight : left < right;
    });
    return members;
}

std::string rendezvousFirst(std::string_view key, const std::vector<std::string>& members)
{
    std::string best;
    std::uint64_t bestWeight = 0;
    for (const auto& member : members) {
        const auto memberWeight = weight(key, member);
        if (best.empty() || memberWeight > bestWeight || (memberWeight == bestWeight && member < best)) {
            best = member;
            bestWeight = memberWeight;
        }
    }
    return best;
}

}
