#pragma once

#include <hyssopwick_core.h>

#include <map>
#include <set>

namespace hyssopwick {

/// What to do with a request that may crash upstreams.
enum class CrashVerdict {
    Run,
    RunAlone, ///< suspected once: on an upstream with nothing else in flight
    Refuse, ///< suspected again: refused until the suspicion expires
};

/// Remembers digests of requests that were in flight when an upstream died. Each of
/// them runs alone next time; one that then kills an upstream again is refused until
/// the suspicion expires. Refused digests spread by gossip. Pure.
class CrashSuspicion {
public:
    /// \param deathsToRefuseUnproven  deaths after which a request is refused also if it never
    ///                                ran alone; 0: only one that ran alone is refused
    explicit CrashSuspicion(unsigned deathsToRefuseUnproven = 0)
        : m_deathsToRefuseUnproven(deathsToRefuseUnproven)
    {
    }

    /// Records that an upstream died while running these requests.
    /// \param wasAlone  the one request had been sent to run alone
    void recordCrash(const std::set<Digest>& inFlight, bool wasAlone, TimePoint now);

    /// Records that a request finished, which clears it.
    void recordFinished(const Digest& request);

    /// Returns what to do with a request.
    CrashVerdict verdict(const Digest& request, TimePoint now);

    /// Takes over a digest that another process refuses for the remaining time.
    void mergeRefused(const Digest& request, Milliseconds remaining, TimePoint now);

    /// Returns the digests that are refused now, with the remaining time, for gossip.
    std::map<Digest, Milliseconds> refused(TimePoint now) const;

private:
    struct Suspect {
        unsigned deaths = 0;
        bool wasAlone = false;
        TimePoint until;
    };

    bool isRefused(const Suspect& suspect) const;

    unsigned m_deathsToRefuseUnproven;
    std::map<Digest, Suspect> m_suspects;
};

}
