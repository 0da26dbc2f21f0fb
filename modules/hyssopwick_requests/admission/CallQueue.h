#pragma once

#include "../placing/EnginePool.h"

#include <vector>

namespace hyssopwick {

/// A call that asks for an engine.
struct QueuedCall {
    std::uint64_t id = 0;
    CallSize size;
    unsigned priority = 0; ///< 0 is the most urgent
    TimePoint onTimeBy; ///< when its first event is due
    TimePoint deadline; ///< when its caller gives up
    std::set<std::string> excluded; ///< engines that it was sent to before
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
/// A call that can still have its first event in time goes first, the earliest due first;
/// it is sent when some engine is expected to make it in time. One that cannot is worth
/// less, but far more than a refusal: it waits for engines with room to spare, and goes to
/// the best engine when its last moment has come. What cannot be served before its
/// deadline, by the backlog and the rate at which engines take calls, is refused when it
/// comes, with the time at which a place should be free. Pure.
class CallQueue {
public:
    explicit CallQueue(EnginePool& engines);

    /// Sets how many entries share the engines.
    void setFleetSize(std::size_t entries);

    /// Sets when engines are expected to serve again, while none does.
    void setEnginesExpectedAt(std::optional<TimePoint> at) { m_enginesExpectedAt = at; }

    void add(const QueuedCall& call);
    void remove(std::uint64_t call);

    /// Decides on all calls. Call after each change and at nextWake().
    QueueDecisions advance(TimePoint now);

    /// Returns when advance() may decide otherwise without another event.
    std::optional<TimePoint> nextWake() const;

    std::size_t size() const { return m_calls.size(); }

private:
    struct Waiting {
        QueuedCall call;
        bool isNew = true; ///< not yet judged whether it can be served
    };

    bool isServable(const Waiting& waiting, std::size_t ahead, TimePoint now) const;
    Milliseconds expectedWait(std::size_t ahead, TimePoint now) const;
    std::optional<EngineChoice> choose(const Waiting& waiting, TimePoint now);
    TimePoint lastMoment(const QueuedCall& call) const;

    EnginePool& m_engines;
    std::size_t m_fleetSize = 1;
    std::optional<TimePoint> m_enginesExpectedAt;
    std::map<std::uint64_t, Waiting> m_calls; // by id, in order of arrival
    std::optional<TimePoint> m_nextWake;
};

}
