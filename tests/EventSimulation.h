#pragma once

#include <functional>
#include <hyssopwick_core.h>
#include <queue>
#include <tuple>

namespace hyssopwick {

/// Events in virtual time, in milliseconds.
class EventSimulation {
protected:
    explicit EventSimulation(std::uint64_t seed)
        : m_random(seed)
    {
    }

    void schedule(std::int64_t delay, std::function<void()> action) { m_events.push({ m_now + delay, ++m_order, std::move(action) }); }

    /// Runs the next event; returns false if there is none until a time.
    bool advance(std::int64_t until)
    {
        if (m_events.empty() || m_events.top().time > until)
            return false;
        const auto event = m_events.top();
        m_events.pop();
        m_now = event.time;
        event.action();
        return true;
    }

    std::int64_t between(std::int64_t low, std::int64_t high) { return low + static_cast<std::int64_t>(m_random.below(static_cast<std::uint64_t>(high - low + 1))); }

    RandomSource m_random;
    std::int64_t m_now = 0;

private:
    struct Event {
        std::int64_t time;
        std::uint64_t order;
        std::function<void()> action;
        bool operator<(const Event& other) const { return std::tie(time, order) > std::tie(other.time, other.order); }
    };

    std::priority_queue<Event> m_events;
    std::uint64_t m_order = 0;
};

}
