#pragma once

#include <deque>
#include <hyssopwick_requests.h>

namespace hyssopwick {

/// A model engine in virtual time: works in passes, reads prompts in pieces between the
/// tokens of other calls, and writes a few steps a pass for all that run.
class EngineModel {
public:
    /// What an engine did for a call.
    struct Event {
        std::uint64_t call;
        bool isEnd; ///< the answer's end; otherwise its first event
        TimePoint at;
    };

    EngineModel(const EngineSpeed& speed, TimePoint now);

    void send(std::uint64_t call, const CallSize& size, TimePoint now);

    /// Drops a call whose caller has left.
    void cancel(std::uint64_t call);

    /// Takes the engine out of service until \p until; what it runs waits.
    void pauseUntil(TimePoint until) { m_passEnd = std::max(m_passEnd, until); }

    /// Plays until \p now and returns what happened.
    std::vector<Event> advance(TimePoint now);

    EngineReport report() const;

private:
    struct Call {
        std::uint64_t id;
        double unread;
        double unwritten;
        double written = 0;
        bool hasFirstEvent = false;
    };

    void beginPass(TimePoint now);
    void endPass(std::vector<Event>& events);

    EngineSpeed m_speed;
    std::deque<Call> m_waiting;
    std::vector<Call> m_running;
    TimePoint m_passEnd;
    bool m_isInPass = false;
    std::set<std::uint64_t> m_readInPass; // calls whose prompt ends with this pass
};

}
