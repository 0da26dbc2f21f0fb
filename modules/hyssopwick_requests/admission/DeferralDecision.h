#pragma once

#include "EngineDemand.h"

#include <deque>

namespace hyssopwick {

/// Decides which calls of one priority are deferred when the admission level has engine time
/// for a part of them. Calls that need less engine time are preferred, since more callers are
/// served so; any size keeps minRelativeChance of the chance of a mean call. Pure.
class DeferralDecision {
public:
    /// Chance of a large call to be admitted, relative to the mean of its priority. The bound for
    /// the largest tenth is a half.
    static constexpr double minRelativeChance = 0.6;

    /// Records a call and returns whether it is deferred.
    /// \param admittedFraction  of the engine time that the calls of this priority require
    bool isDeferred(unsigned priority, double engineMilliseconds, double admittedFraction);

private:
    struct Calls {
        std::deque<double> recentSizes; // in engine milliseconds
        double credit = 0.5;
    };

    static double chance(const std::deque<double>& sizes, double size, double admittedFraction);

    std::array<Calls, EngineDemand::priorities> m_calls;
};

}
