#pragma once

#include <hyssopwick_core.h>

namespace hyssopwick {

/// An entry VM as another entry sees it.
struct EntryCandidate {
    VmIdentity vm;
    bool isLeaving = false;
    double load = 0; ///< requests in progress
    double recentSelections = 0; ///< how often it was lately named first in answers
};

/// Returns the entry VMs that a caller should use, best first and spread over
/// failure domains. The first is the one named least lately, where load above the
/// mean counts as having been named; ties are drawn. Drawing each answer anew, by
/// weights, left the busiest of 18 entry VMs with 1.7 times the mean. Leaving
/// entries are left out. Pure.
/// \param count  how many to return at most
std::vector<VmIdentity> chooseEntries(const std::vector<EntryCandidate>& entries, std::size_t count, RandomSource& random);

}
