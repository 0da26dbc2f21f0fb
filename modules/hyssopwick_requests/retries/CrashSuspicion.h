#pragma once

#include <hyssopwick_core.h>

#include <map>
#include <set>

namespace hyssopwick {

/// How to treat a request that may crash upstreams.
enum class CrashVerdict {
    Run,
    RunAlone, ///< was in flight at a crash: runs on an upstream with nothing else in flight
    Refuse, ///< crashed an upstream while it ran alone: not run until the suspicion expires
};

/// Tracks the digests of requests that were in flight when an upstream crashed. Each of
/// them runs alone the next time; one that then crashes an upstream again is refused
/// until the suspicion expires. Refused digests spread by gossip. Pure.
class CrashSuspicion {
public:
    /// Records that an upstream crashed with these requests in flight.
    /// \param wasAlone  the upstream ran only one request, which was sent to run alone
    void recordCrash(const std::set<Digest>& inFlight, bool wasAlone, TimePoint now);

    /// Records that a request finished, which clears it of suspicion.
    void recordFinished(const Digest& request);

    CrashVerdict verdict(const Digest& request, TimePoint now);

    /// Adopts the refusal of a digest by another process for the remaining time.
    void mergeRefused(const Digest& request, Milliseconds remaining, TimePoint now);

    /// Returns the digests that are refused now, with the remaining time, for gossip.
    std::map<Digest, Milliseconds> refused(TimePoint now) const;

private:
    struct Suspect {
        unsigned crashes = 0;
        bool wasAlone = false;
        TimePoint until;
    };

    static bool isRefused(const Suspect& suspect);

    std::map<Digest, Suspect> m_suspects;
};

}
