#pragma once

#include "EngineDemand.h"

#include <hyssopwick_core.h>

namespace hyssopwick {

/// Estimates the engine time that arriving calls require, by priority, as a decaying mean. Pure.
class DemandEstimate {
public:
    /// Records an arrived call that takes \p engineMilliseconds of an engine.
    void record(unsigned priority, double engineMilliseconds, TimePoint now);

    EngineDemand demand(TimePoint now) const;

private:
    struct Rate {
        double engineMilliseconds = 0; // decaying sum
        TimePoint at;
    };

    std::array<Rate, EngineDemand::priorities> m_rates {};
};

}
