#pragma once

#include <hyssopwick_core.h>
#include <map>
#include <string>
#include <vector>

namespace hyssopwick {

/// Selects the members of a region that one VM works with most: in rendezvous order for this
/// VM, alternating between the failure domains, so that a failed domain leaves neighbours in
/// the others. Pure.
/// \param byDomain  ids of the region's other members, by failure domain
std::vector<std::string> selectNeighbours(const std::string& self, std::map<std::string, std::vector<std::string>> byDomain, std::size_t limit);

/// Returns the weight of a member, given by a hash, for a chunk.
std::uint64_t chunkWeight(std::uint64_t memberHash, std::uint64_t chunk);

/// Returns how long to leave a member or the origin alone after so many failures in a row.
Milliseconds failureBackoff(unsigned failures);

}
