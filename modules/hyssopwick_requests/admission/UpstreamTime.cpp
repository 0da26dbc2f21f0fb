#include "UpstreamTime.h"

namespace hyssopwick {

namespace {
    constexpr Milliseconds minTime { 1 };
    // Time for the answer's last bytes to pass through this VM.
    constexpr Milliseconds answerMargin { 5 };
}

Milliseconds upstreamTime(TimePoint callerDeadline, TimePoint connectBegan, TimePoint connectedAt)
{
    const Milliseconds roundTrip(millisecondsBetween(connectBegan, connectedAt));
    return std::max(minTime, Milliseconds(millisecondsBetween(connectedAt, callerDeadline)) - roundTrip - answerMargin);
}

}
