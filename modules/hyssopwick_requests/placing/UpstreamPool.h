#pragma once

#include <hyssopwick_deployment.h>
#include <map>
#include <optional>
#include <set>

namespace hyssopwick {

/// The upstreams of one plain service as one entry VM knows them. Answers the load of a
/// few upstreams with few slots: the one with the fewest own calls for its slots is
/// chosen, and one that failed lately is passed over while others serve. Pure.
class UpstreamPool {
public:
    explicit UpstreamPool(std::uint64_t seed);

    /// Replaces the upstreams that may be sent calls. \param slots  by upstream id
    void setUpstreams(const std::map<std::string, unsigned>& slots);

    void recordSend(const std::string& upstream);
    void recordEnd(const std::string& upstream);
    /// Records whether an upstream answered a call as it should.
    void recordResult(const std::string& upstream, bool isGood, TimePoint now);

    /// Chooses an upstream, or nothing when there is none.
    std::optional<std::string> choose(const std::set<std::string>& excluded, TimePoint now);

    /// Returns the calls in flight at an upstream, from this entry.
    unsigned inFlight(const std::string& upstream) const;

    bool isEmpty() const { return m_upstreams.empty(); }

private:
    struct State {
        unsigned slots = 1;
        unsigned inFlight = 0;
        double failures = 0; // decaying count
        TimePoint failuresAt;
    };

    static double failuresNow(const State& state, TimePoint now);

    RandomSource m_random;
    std::map<std::string, State> m_upstreams;
};

}
