#pragma once

#include <hyssopwick_deployment.h>
#include <map>
#include <optional>
#include <set>

namespace hyssopwick {

/// The upstreams of one plain service as one entry VM knows them. Made for a few
/// upstreams with few slots: chooses the one with the fewest calls of this entry per slot and avoids
/// those that failed recently while others are available. Pure.
class UpstreamPool {
public:
    explicit UpstreamPool(std::uint64_t seed);

    /// Replaces the upstreams. \param slots  by upstream id
    void setUpstreams(const std::map<std::string, unsigned>& slots);

    void recordSend(const std::string& upstream);
    void recordEnd(const std::string& upstream);
    /// \param isSuccess  whether the upstream answered a call correctly
    void recordResult(const std::string& upstream, bool isSuccess, TimePoint now);

    /// Chooses an upstream, or nothing if there is none.
    std::optional<std::string> choose(const std::set<std::string>& excluded, TimePoint now);

    /// Returns the calls of this entry in flight at an upstream.
    unsigned inFlight(const std::string& upstream) const;

    bool isEmpty() const { return m_upstreams.empty(); }

private:
    struct State {
        unsigned slots = 1;
        unsigned inFlight = 0;
        double failures = 0; // decaying count
        TimePoint failuresAt;
    };

    static double decayedFailures(const State& state, TimePoint now);

    RandomSource m_random;
    std::map<std::string, State> m_upstreams;
};

}
