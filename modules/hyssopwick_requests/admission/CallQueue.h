#pragma once

#include "../placing/EnginePool.h"
#include "DeferralDecision.h"
#include "DemandEstimate.h"

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
    Milliseconds retryAfter { 0 }; ///< for refused calls: how long until a slot should be free
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
/// A call whose caller already received part of the answer goes to the best engine at once.
/// A call that cannot be served before its deadline is refused as soon as that is known,
/// with the time at which a slot should be free. The entry VM's part of the engines' call rate is
/// that of its shares (EngineShares). Pure.
class CallQueue {
public:
    explicit CallQueue(EnginePool& engines);

    /// Sets how many entry VMs share one engine, on average.
    void setEntryCount(double entries);

    /// \param at     when an engine is expected to serve, if none serves now
    /// \param count  engines that serve now or will soon
    void setExpectedEngines(std::optional<TimePoint> at, std::size_t count);

    void add(const QueuedCall& call, TimePoint now);
    void remove(std::uint64_t call);

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

    enum class Verdict {
        Wait,
        Send,
        Refuse,
    };

    Verdict decide(WaitingCall& waiting, std::optional<EngineChoice>& choice, TimePoint now);
    bool canBeInTime(const QueuedCall& call, TimePoint now) const;
    bool canBeServedLate(const QueuedCall& call, TimePoint now) const;
    double millisecondsUntilEngines(TimePoint now) const;
    bool cannotBeServedAnyMore(const QueuedCall& call, TimePoint now) const;
    Milliseconds timeUntilLevelHasRoom(unsigned priority) const;
    double ownCallRate(TimePoint now) const;
    double ownCallRateAfterReloads(TimePoint now) const;
    double lateCallRate(TimePoint now, double rate) const;
    double arrivalRate(TimePoint now) const;
    bool takeLateCredit(TimePoint now);

    EnginePool& m_engines;
    std::optional<TimePoint> m_expectedEnginesAt;
    std::size_t m_expectedEngineCount = 0;
    std::map<std::uint64_t, WaitingCall> m_calls; // by id, in order of arrival
    DemandEstimate m_demand;
    DeferralDecision m_deferral;
    LevelCounts m_levelCounts;
    AdmissionLevel m_level; // at the start of advance()
    double m_ownRate = 0; // typical calls per millisecond at the start of advance()
    double m_ownRateAfterReloads = 0;
    double m_inTimeAhead = 0; // calls before the one that advance() reviews, in typical calls
    double m_lateAhead = 0; // late calls before it
    std::array<double, EngineDemand::priorities> m_lateByPriority {}; // all accepted late calls, in typical calls
    bool m_hasPriorities = false; // calls of different priorities wait
    bool m_isContended = false; // calls that may be in time had to wait
    double m_recentArrivals = 0; // not deferred; decaying count, in typical calls
    TimePoint m_recentArrivalsAt;
    double m_lateCredits = 1; // late calls that may be sent although all engines are loaded
    TimePoint m_lateCreditsAt;
    std::optional<TimePoint> m_nextWake;
};

}
