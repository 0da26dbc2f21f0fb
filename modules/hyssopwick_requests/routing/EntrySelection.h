#pragma once

#include <hyssopwick_core.h>

namespace hyssopwick {

/// An entry VM as another entry sees it.
struct EntryCandidate {
    VmIdentity vm;
    bool isLeaving = false;
    double load = 0; ///< requests in progress
    double recentSelections = 0; ///< how often answers listed it first recently
};

/// Returns the entry VMs that a caller should use, best first and spread over failure
/// domains, without those that are leaving. The first is the one that recent answers
/// listed first least often, where load above the mean counts like such answers; ties
/// are broken at random. A weighted random choice for each answer left the busiest of 18
/// entry VMs with 1.7 times the mean. Pure.
/// \param count  how many to return at most
std::vector<VmIdentity> chooseEntries(const std::vector<EntryCandidate>& entries, std::size_t count, RandomSource& random);

}
