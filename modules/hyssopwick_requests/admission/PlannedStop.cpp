#include "PlannedStop.h"

#include <algorithm>

namespace hyssopwick {

namespace {
    // A request can end after its deadline: a claim on a call that was not run is released first.
    constexpr Milliseconds finalAnswerTime { 5000 };
}

PlannedStop planStop(TimePoint now, Milliseconds addressUse, TimePoint endBy)
{
    const auto abortAt = endBy - finalAnswerTime;
    return { std::min(now + addressUse, abortAt), abortAt };
}

}
