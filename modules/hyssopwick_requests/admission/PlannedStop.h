#pragma once

#include <hyssopwick_core.h>

namespace hyssopwick {

/// Times of a planned stop of an entry VM. While callers may still use kept addresses, a
/// stopping entry VM accepts the requests that end before it aborts what is left. Pure.
struct PlannedStop {
    TimePoint acceptUntil; ///< later requests are refused
    TimePoint abortAt; ///< requests still in progress are aborted then

    /// Returns whether a request that arrives during the stop is accepted. It may run until its
    /// deadline, whatever it usually takes.
    bool accepts(TimePoint requestDeadline, TimePoint now) const { return now < acceptUntil && requestDeadline < abortAt; }

    auto tied() const { return std::tie(acceptUntil, abortAt); }
    bool operator==(const PlannedStop& other) const { return tied() == other.tied(); }
    bool operator!=(const PlannedStop& other) const { return !(*this == other); }
};

/// Returns the times of a stop that begins now. Pure.
/// \param addressUse  how long callers and other entry VMs may still name this one
/// \param endBy       when the process ends at the latest
PlannedStop planStop(TimePoint now, Milliseconds addressUse, TimePoint endBy);

}
