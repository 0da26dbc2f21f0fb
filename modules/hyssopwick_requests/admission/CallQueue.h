#pragma once

#include "../placing/EnginePool.h"
#include "CallerTimeouts.h"
#include "DeferralDecision.h"
#include "DemandEstimate.h"
#include "RegionalCalls.h"

#include <vector>

namespace hyssopwick {

/// A call that waits for an engine.
struct QueuedCall {
    std::uint64_t id = 0;
    CallSize size;
    unsigned priority = 0; ///< 0 is the most urgent, unlike in AdmissionTicket
    TimePoint firstEventDeadline; ///< when its first event is due
    TimePoint deadline; ///< when its caller times out
    std::set<std::string> excluded; ///< engines to which it was already sent
    bool hasPartialAnswer = false; ///< its caller already received part of the answer
    RegionSet allowedRegions {}; ///< of the engines that it may use
    std::string route {}; ///< "" when not known
    Milliseconds statedTimeout { 0 }; ///< for which its caller said it would wait when the call arrived; zero for none
};

/// Engines of one region that serve now or will soon.
struct ExpectedEngines {
    std::optional<TimePoint> at {}; ///< when one is expected to serve, if none serves now
    std::size_t count = 0;

    auto tied() const { return std::tie(at, count); }
    bool operator==(const ExpectedEngines& other) const { return tied() == other.tied(); }
    bool operator!=(const ExpectedEngines& other) const { return !(*this == other); }
};

/// The calls to send and to refuse now.
struct QueueDecisions {
    struct Send {
        std::uint64_t call;
        std::string upstream;
        EnginePrediction prediction;
    };

    std::vector<Send> sent;
    std::vector<std::uint64_t> refused;
    Milliseconds retryAfter { 0 }; ///< for refused calls that may use any engine: how long until a slot should be free
    std::map<std::uint64_t, Milliseconds> restrictedRetryAfter; ///< the same for the others, by call
    std::map<std::uint64_t, Milliseconds> levelRetryAfter; ///< for refused calls below the admission level: how long until it should have room

    /// Returns when the caller of a refused call should try again.
    Milliseconds retryAfterOf(std::uint64_t call) const;
};

/// What became of the calls that an admission level concerned, since the start.
struct LevelCounts {
    std::uint64_t deferred = 0; ///< calls below the level
    std::uint64_t deferredSent = 0; ///< part of deferred: found an engine with little load or a part of the late share
    std::uint64_t deferredRefused = 0; ///< part of deferred: could not be served by their deadline
};

/// Decides which calls an entry VM sends to the engines now, which wait and which are
/// refused. Handles an engine pool that is overloaded or out of service for some seconds and is
/// shared by many entries that exchange no messages about it.
///
/// Calls that can still have their first event in time come first, by priority, then the newest
/// first; one is sent when an engine is predicted to meet that time with a safety margin. A call that
/// cannot is late, which is worth less, though far more than a refusal. Late calls use the
/// capacity left over: engines with little load, or the part of the engines' call rate that
/// new arrivals leave, but never less than a small share of it. Giving late calls more would
/// make the calls behind them late too.
/// Calls below the admission level that the engines' agents state (AdmissionLevel) are deferred:
/// they are handled as late ones from the start.
/// A call whose caller returns after a refusal elsewhere is as old as the caller's first attempt, as
/// far as that can be told (CallerTimeouts).
/// A call whose caller already received part of the answer goes to the best engine at once.
/// A call that cannot be served before its deadline is refused as soon as that is known,
/// with the time at which a slot should be free. The entry VM's part of the engines' call rate is
/// that of its shares (EngineShares).
/// A call with allowed regions counts the engines there only, and the calls that compete for them;
/// calls that wait for one region's engines do not delay those that may use others. Pure.
class CallQueue {
public:
    explicit CallQueue(EnginePool& engines);

    /// Sets how many entry VMs share one engine, on average.
    void setEntryCount(double entries);

    /// \param at     when an engine is expected to serve, if none serves now
    /// \param count  engines that serve now or will soon
    void setExpectedEngines(std::optional<TimePoint> at, std::size_t count) { setExpectedEngines({ { "", { at, count } } }); }
    /// Sets the same by region.
    void setExpectedEngines(std::map<std::string, ExpectedEngines> byRegion);

    void add(const QueuedCall& call, TimePoint now);
    void remove(std::uint64_t call);

    /// Replaces the regions that a waiting call may use. What was decided of it before is reviewed.
    void setAllowedRegions(std::uint64_t call, const RegionSet& allowed);

    /// Decides about all queued calls. Call after each change and at nextWake().
    QueueDecisions advance(TimePoint now);

    /// Returns when advance() may decide differently without another event.
    std::optional<TimePoint> nextWake() const;

    std::size_t size() const { return m_calls.size(); }

    /// Returns the engine time that the calls of this entry VM require of all engines together:
    /// those that arrive, and those that wait and may be in time.
    EngineDemand demand(TimePoint now) const;

    const LevelCounts& levelCounts() const { return m_levelCounts; }

private:
    struct WaitingCall {
        QueuedCall call;
        bool couldBeInTime = false; ///< was predicted to be able to be in time at a review
        bool isAcceptedLate = false; ///< waits to be served as a late call
        bool isDeferred = false; ///< is below the admission level
    };

    // Late calls that may be sent although all engines are loaded.
    struct LateCredit {
        double calls = 1;
        TimePoint at;
    };

    enum class Verdict {
        Wait,
        Send,
        Refuse,
    };

    Verdict decide(WaitingCall& waiting, std::optional<EngineChoice>& choice, TimePoint now);
    bool canBeInTime(const QueuedCall& call, TimePoint now) const;
    bool canBeServedLate(const QueuedCall& call, TimePoint now) const;
    double millisecondsUntilEngines(TimePoint now, const RegionSet& allowed) const;
    bool cannotBeServedAnyMore(const QueuedCall& call, TimePoint now) const;
    Milliseconds timeUntilLevelHasRoom(unsigned priority) const;
    double ownCallRate(TimePoint now, const RegionSet& allowed) const;
    double ownCallRateAfterReloads(TimePoint now, const RegionSet& allowed) const;
    double lateCallRate(TimePoint now, const RegionSet& allowed, double rate) const;
    bool takeLateCredit(TimePoint now, const RegionSet& allowed);
    ExpectedEngines expectedEngines(const RegionSet& allowed) const;
    const std::set<std::string>& engineRegions() const { return m_engines.isEmpty() ? m_expectedRegions : m_engines.regions(); }
    Milliseconds retryAfter(const RegionSet& allowed, TimePoint now) const;

    EnginePool& m_engines;
    CallerTimeouts m_callerTimeouts;
    std::map<std::string, ExpectedEngines> m_expectedEngines; // by region
    std::set<std::string> m_expectedRegions;
    std::map<std::uint64_t, WaitingCall> m_calls; // by id, in order of arrival
    RegionalCalls m_inTimeAhead; // calls before the one that advance() reviews
    RegionalCalls m_lateAhead; // late calls before it
    std::array<RegionalCalls, EngineDemand::priorities> m_lateByPriority; // all accepted late calls
    RegionalCalls m_contending; // calls that may be in time and had to wait
    RegionalArrivals m_arrivals; // not deferred
    DemandEstimate m_demand;
    DeferralDecision m_deferral;
    LevelCounts m_levelCounts;
    AdmissionLevel m_level; // at the start of advance()
    mutable std::map<RegionSet, double> m_ownRates; // since the start of advance()
    bool m_hasPriorities = false; // calls of different priorities wait
    std::map<RegionSet, LateCredit> m_lateCredits;
    std::optional<TimePoint> m_nextWake;
};

}
