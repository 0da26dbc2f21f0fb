#pragma once

#include <hyssopwick_core.h>

namespace hyssopwick {

/// Returns how long an upstream may work on a call that is about to be sent to it, at least 1 ms.
/// The upstream counts from the call's arrival, and its answer has to travel back before the
/// caller's deadline. Both ways together take about as long as the opening of the connection did, so an
/// upstream that goes by this time stops by itself when its caller leaves at the deadline, even if
/// the end of the connection reaches it late. Pure.
/// \param connectBegan  when the connection was requested
/// \param connectedAt   when it was established; now
Milliseconds upstreamTime(TimePoint callerDeadline, TimePoint connectBegan, TimePoint connectedAt);

}
