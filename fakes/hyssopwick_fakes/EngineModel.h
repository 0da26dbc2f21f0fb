#pragma once

#include <deque>
#include <hyssopwick_requests.h>

namespace hyssopwick {

/// A model engine with continuous batching and chunked prefill, in virtual time: each pass
/// (from one admission of waiting calls to the next) prefills a limited number of prompt
/// tokens and decodes a few steps of all running calls.
class EngineModel {
public:
    /// Progress of a call.
    struct Event {
        std::uint64_t call;
        bool isEnd; ///< the answer's end; otherwise its first event
        TimePoint at;
    };

    EngineModel(const EngineSpeed& speed, TimePoint now);

    void send(std::uint64_t call, const CallSize& size, TimePoint now);

    /// Removes a call, as when its caller disconnects.
    void cancel(std::uint64_t call);

    /// Suspends the engine until \p until; its calls wait.
    void pauseUntil(TimePoint until) { m_passEnd = std::max(m_passEnd, until); }

    /// Simulates until \p now and returns the events.
    std::vector<Event> advance(TimePoint now);

    EngineReport report() const;

private:
    struct Call {
        std::uint64_t id;
        double pendingPromptTokens;
        double pendingAnswerTokens;
        double generatedTokens = 0;
        bool hasFirstEvent = false;
    };

    void beginPass(TimePoint now);
    void endPass(std::vector<Event>& events);

    EngineSpeed m_speed;
    std::deque<Call> m_waiting;
    std::vector<Call> m_running;
    TimePoint m_passEnd;
    bool m_isInPass = false;
    std::set<std::uint64_t> m_prefilledInPass; // calls whose prefill ends with this pass
};

}
