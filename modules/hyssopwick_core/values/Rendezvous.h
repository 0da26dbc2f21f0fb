#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hyssopwick {

/// Returns a 64-bit hash of \p text (FNV-1a with a final mix), the same on every VM.
std::uint64_t stableHash(std::string_view text);

/// Orders \p members by their weight for \p key, highest weight first (rendezvous
/// hashing, Thaler and Ravishankar 1998). The order of the same members is the same on
/// every VM, and the loss of a member reassigns only the keys of that member.
std::vector<std::string> rendezvousOrder(std::string_view key, std::vector<std::string> members);

/// Returns the member with the highest weight for \p key, or "" when \p members is empty.
std::string rendezvousFirst(std::string_view key, const std::vector<std::string>& members);

}
