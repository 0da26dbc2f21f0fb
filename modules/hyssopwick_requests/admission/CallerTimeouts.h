#pragma once

#include <hyssopwick_core.h>
#include <map>
#include <string>
#include <vector>

namespace hyssopwick {

/// Estimates how long ago a caller made its first attempt, from the time for which it says it
/// will still wait. First attempts on a route state similar times; a caller that returns after
/// a refusal states what is left of its time. Made for the seconds after an outage, in which a
/// large part of the arriving calls are such returns, whose latency objective has passed. Pure.
class CallerTimeouts {
public:
    /// Records the time that the caller of a new call states.
    void record(const std::string& route, Milliseconds stated);

    /// Returns the estimated time since the first attempt of a caller that states \p stated; zero
    /// if it may be a first attempt, or if too few calls are known.
    Milliseconds age(const std::string& route, Milliseconds stated) const;

private:
    struct Recent {
        std::vector<Milliseconds> stated; // the latest ones, in a ring
        std::size_t next = 0;
    };

    std::map<std::string, Recent> m_recent; // by route
};

}
