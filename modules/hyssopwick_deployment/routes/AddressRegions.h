#pragma once

#include "../ports/DirectoryCodec.h"
#include "RouteTable.h"

namespace hyssopwick {

/// Returns the regions whose entry VMs may be named to callers of a host: those in which all of
/// its routes may run, or if these have no region in common, those of any of them. Pure.
RegionSet addressRegions(const std::string& host, const RouteTable& routes);

/// Returns the entry VMs that may be named in the answer to a query: those of the caller's failure domain
/// and region and of the allowed regions, or all if there is none. Keeps the order. Pure.
std::vector<VmIdentity> entriesForQuery(std::vector<VmIdentity> entries, const AddressQuery& query, const RegionSet& allowed);

}
