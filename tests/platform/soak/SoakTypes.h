#pragma once

#include <boost/asio.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>

namespace hyssopwick::soak {

namespace asio = boost::asio;
using EventLoop = asio::io_context;
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Timer = asio::steady_timer;
using Milliseconds = std::chrono::milliseconds;

inline TimePoint now() { return Clock::now(); }

inline double secondsBetween(TimePoint from, TimePoint to) { return std::chrono::duration<double>(to - from).count(); }

inline Clock::duration fromSeconds(double seconds) { return std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(seconds)); }

/// Source of the schedule's and the callers' choices.
class Random {
public:
    explicit Random(std::uint64_t seed)
        : m_engine(seed)
    {
    }

    double between(double least, double most) { return std::uniform_real_distribution<double>(least, most)(m_engine); }
    unsigned below(std::size_t count) { return std::uniform_int_distribution<unsigned>(0, static_cast<unsigned>(count) - 1)(m_engine); }
    bool chance(double probability) { return between(0, 1) < probability; }
    double exponential(double mean) { return std::exponential_distribution<double>(1 / mean)(m_engine); }

private:
    std::mt19937_64 m_engine;
};

/// Runs a handler after a delay; the timer lives until then.
template <typename Handler>
void runAfter(EventLoop& loop, Clock::duration delay, Handler handler)
{
    auto timer = std::make_shared<Timer>(loop, delay);
    timer->async_wait([timer, handler = std::move(handler)](boost::system::error_code error) mutable {
        if (!error)
            handler();
    });
}

}
