#include "NeighbourSelection.h"

#include <algorithm>

namespace hyssopwick {

namespace {
    constexpr Milliseconds failureDelay { 300 };
    constexpr Milliseconds maxFailureDelay { 5000 };
}

std::vector<std::string> selectNeighbours(const std::string& self, std::map<std::string, std::vector<std::string>> byDomain, std::size_t limit)
{
    std::size_t longest = 0;
    for (auto& [domain, ids] : byDomain) {
        ids = rendezvousOrder(self, std::move(ids));
        longest = std::max(longest, ids.size());
    }
    std::vector<std::string> neighbours;
    for (std::size_t round = 0; round < longest; ++round) {
        for (const auto& [domain, ids] : byDomain) {
            if (round < ids.size() && neighbours.size() < limit)
                neighbours.push_back(ids[round]);
        }
    }
    return neighbours;
}

std::uint64_t chunkWeight(std::uint64_t memberHash, std::uint64_t chunk) { return RandomSource(memberHash ^ (chunk * 0x9e3779b97f4a7c15ull)).next(); }

Milliseconds failureBackoff(unsigned failures) { return std::min(maxFailureDelay, failureDelay * (1u << std::min(failures, 5u))); }

}
