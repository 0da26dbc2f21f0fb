#pragma once

#include "../placing/EnginePool.h"

#include <vector>

namespace hyssopwick {

/// A call that asks for an engine.
struct QueuedCall {
    std::uint64_t id = 0;
    CallSize size;
    unsigned priority = 0; ///< 0 is the most urgent
    TimePoint firstEventDeadline; ///< when its first event is due
    TimePoint deadline; ///< when its caller gives up
    std::set<std::string> excluded; ///< engines that it was sent to before
    bool hasPartialAnswer = false; ///< its caller has a part of the answer and waits for the rest
};

/// What becomes of queued calls now.
struct QueueDecisions {
    struct Send {
        std::uint64_t call;
        std::string upstream;
        EnginePrediction prediction;
    };

    std::vector<Send> sent;
    std::vector<std::uint64_t> refused;
    Milliseconds retryAfter { 0 }; ///< for those refused: when a place should be free
};

/// Decides which calls an entry VM sends to the engines now, which wait and which are
/// refused. Answers the load of a pool that gets more than it can serve for some seconds,
/// or is gone for some seconds, shared by many entries that do not speak with each other.
///
/// A call that can still have its first event in time goes first, the newest first;
/// it is sent when some engine is expected to make it in time with certainty. One that cannot is worth
/// less, though far more than a refusal: it is served by what the others leave, on engines
/// with room to spare, or within what the calls that come leave of the rate at which engines
/// take calls, but never less than a small share of it. Giving late calls more than that
/// would make the calls behind them late too.
/// A call whose caller has a part of the answer goes to the best engine at once.
/// What cannot be served so before its deadline is refused as soon as that is known, with
/// the time at which a place should be free. Pure.
class CallQueue {
public:
    explicit CallQueue(EnginePool& engines);

    /// Sets how many entries share the engines.
    void setEntryCount(std::size_t entries);

    /// Sets when engines are expected to serve, while none does, and how many serve or will soon.
    void setExpectedEngines(std::optional<TimePoint> at, std::size_t count);

    void add(const QueuedCall& call, TimePoint now);
    void remove(std::uint64_t call);

    /// Decides on all calls. Call after each change and at nextWake().
    QueueDecisions advance(TimePoint now);

    /// Returns when advance() may decide otherwise without another event.
    std::optional<TimePoint> nextWake() const;

    std::size_t size() const { return m_calls.size(); }

private:
    struct Waiting {
        QueuedCall call;
        bool isJudgedInTime = false; ///< was found servable as a call in time
        bool isJudgedLate = false; ///< was found servable as a late call
    };

    enum class Verdict {
        Wait,
        Send,
        Refuse,
    };

    Verdict decide(Waiting& waiting, std::optional<EngineChoice>& choice, TimePoint now);
    bool canBeInTime(const QueuedCall& call, TimePoint now) const;
    bool isServableLate(const QueuedCall& call, TimePoint now) const;
    double untilEngines(TimePoint now) const;
    double ownRate() const;
    double wholeRate() const;
    double lateRate(TimePoint now, double rate) const;
    double arrivalRate(TimePoint now) const;
    bool takeLateTurn(TimePoint now);

    EnginePool& m_engines;
    std::size_t m_fleetSize = 1;
    std::optional<TimePoint> m_enginesExpectedAt;
    std::size_t m_enginesExpected = 0;
    std::map<std::uint64_t, Waiting> m_calls; // by id, in order of arrival
    std::size_t m_inTimeAhead = 0; // counted while advance() goes through the calls
    std::size_t m_lateAhead = 0;
    bool m_isContended = false; // calls that may be in time have waited
    double m_arrivals = 0; // decaying count
    TimePoint m_arrivalsAt;
    double m_lateTurns = 1; // late calls that may be sent though engines have no room to spare
    TimePoint m_lateTurnsAt;
    std::optional<TimePoint> m_nextWake;
};

}
