#pragma once

#include <hyssopwick_core.h>
#include <map>

namespace hyssopwick {

/// An entry VM as another entry sees it.
struct EntryCandidate {
    VmIdentity vm;
    bool isLeaving = false;
    double load = 0; ///< requests in progress
    double recentSelections = 0; ///< how often answers listed it first recently
    double power = 1; ///< requests that it can carry, relative to the others
};

/// Where a caller is that asks for entry VMs.
struct CallerPlace {
    std::string region;
    std::string failureDomain;

    auto tied() const { return std::tie(region, failureDomain); }
    bool operator==(const CallerPlace& other) const { return tied() == other.tied(); }
    bool operator!=(const CallerPlace& other) const { return !(*this == other); }
};

/// What an answer took into account beyond the place of the caller.
enum class AnswerBasis {
    Place, ///< nothing: all entries of the caller's failure domain, added to from others
    Weights, ///< power and load of the entries
    Demand, ///< these, and that the caller's failure domain has more callers than its part of the power
};

/// Returns the name of a basis in counters, for example "weights".
const char* answerBasisName(AnswerBasis basis);

/// The entry VMs for a caller that picks one of them at random for each connection.
struct AddressChoice {
    std::vector<VmIdentity> entries; ///< those of the caller's own failure domain first
    AnswerBasis basis = AnswerBasis::Place;
    double homeShare = 1; ///< part of the picks that entries near the caller get
};

/// Chooses entry VMs for a caller that picks one at random for each connection. Entries of equal
/// power and load are named whole: all of the caller's failure domain, and others if these are
/// fewer than two. Otherwise a random subset is named, in which an entry is as likely as its part
/// of the picks shall be. A failure domain with more callers than its part of the power passes
/// the surplus to those with fewer, of the same region first. Leaving entries are left out. Pure.
/// \param demand    address queries of callers, by failure domain
/// \param maxCount  how many to name at most
AddressChoice chooseEntries(const std::vector<EntryCandidate>& entries, const CallerPlace& caller, const std::map<std::string, double>& demand, std::size_t maxCount, RandomSource& random);

/// Returns the entry VMs that a caller should use in this order, spread over failure domains,
/// without those that are leaving. The first is the one that recent answers listed first least
/// often for its power, where load above the mean counts like such answers; ties are broken at
/// random. A weighted random choice for each answer left the busiest of 18 entry VMs with 1.7
/// times the mean, so callers that use the first one get this. Pure.
/// \param count  how many to return at most
std::vector<VmIdentity> chooseEntries(const std::vector<EntryCandidate>& entries, std::size_t count, RandomSource& random);

}
