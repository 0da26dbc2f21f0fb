#pragma once

#include <cstdint>
#include <tuple>

namespace hyssopwick {

/// A point in the history of the store. The era rises each time the store comes back from an
/// older copy; its revisions then go back, and are used again for other changes. So revisions
/// are comparable within one era only.
struct StorePosition {
    std::uint64_t era = 0; ///< 0 for a store that states none
    std::uint64_t revision = 0; ///< 0 before the first read

    auto tied() const { return std::tie(era, revision); }
    bool operator==(const StorePosition& other) const { return tied() == other.tied(); }
    bool operator!=(const StorePosition& other) const { return !(*this == other); }
    bool operator<(const StorePosition& other) const { return tied() < other.tied(); }
};

}
