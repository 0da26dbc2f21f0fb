#pragma once

#include "../placing/EnginePool.h"
#include "CallerTimeouts.h"

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
    std::string route {}; ///< "" when not known
    Milliseconds statedTimeout { 0 }; ///< for which its caller said it would wait when the call arrived; zero for none
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
};

/// Decides which calls an entry VM sends to the engines now, which wait and which are
/// refused. Handles an engine pool that is overloaded or out of service for some seconds and is
/// shared by many entries that exchange no messages about it.
///
/// Calls that can still have their first event in time come first, the newest first; one
/// is sent when an engine is predicted to meet that time with a safety margin. A call that
/// cannot is late, which is worth less, though far more than a refusal. Late calls use the
/// capacity left over: engines with little load, or the part of the engines' call rate that
/// new arrivals leave, but never less than a small share of it. Giving late calls more would
/// make the calls behind them late too.
/// A call whose caller returns after a refusal elsewhere is as old as the caller's first attempt, as
/// far as that can be told (CallerTimeouts).
/// A call whose caller already received part of the answer goes to the best engine at once.
/// A call that cannot be served before its deadline is refused as soon as that is known,
/// with the time at which a slot should be free. Pure.
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

private:
    struct WaitingCall {
        QueuedCall call;
        bool couldBeInTime = false; ///< was predicted to be able to be in time at a review
        bool isAcceptedLate = false; ///< waits to be served as a late call
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
    double ownCallRate() const;
    double ownCallRateAfterReloads() const;
    double lateCallRate(TimePoint now, double rate) const;
    double arrivalRate(TimePoint now) const;
    bool takeLateCredit(TimePoint now);

    EnginePool& m_engines;
    CallerTimeouts m_callerTimeouts;
    double m_entryCount = 1;
    std::optional<TimePoint> m_expectedEnginesAt;
    std::size_t m_expectedEngineCount = 0;
    std::map<std::uint64_t, WaitingCall> m_calls; // by id, in order of arrival
    std::size_t m_inTimeAhead = 0; // calls before the one that advance() reviews
    std::size_t m_lateAhead = 0;
    bool m_isContended = false; // calls that may be in time had to wait
    double m_recentArrivals = 0; // decaying count
    TimePoint m_recentArrivalsAt;
    double m_lateCredits = 1; // late calls that may be sent although all engines are loaded
    TimePoint m_lateCreditsAt;
    std::optional<TimePoint> m_nextWake;
};

}
