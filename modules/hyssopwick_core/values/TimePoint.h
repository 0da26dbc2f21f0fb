#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>

namespace hyssopwick {

/// Monotonic clock that counts the time in which the VM is suspended, as
/// std::chrono::steady_clock does not: bounds that others hold us to go on meanwhile.
struct MonotonicClock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<MonotonicClock>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept
    {
        timespec time {};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return time_point(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
    }
};

/// Monotonic instant. Deadlines are stored as instants of this clock.
using TimePoint = MonotonicClock::time_point;

/// Resolution of every configured interval.
using Milliseconds = std::chrono::milliseconds;

/// Wall-clock time, in milliseconds since the Unix epoch. Only for values that
/// cross VM boundaries, such as the issue time of a call.
using UnixMilliseconds = std::int64_t;

/// Returns the current monotonic instant.
inline TimePoint monotonicNow() { return MonotonicClock::now(); }

/// Returns the current wall-clock time in milliseconds.
inline UnixMilliseconds unixNow()
{
    return std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

/// Returns the milliseconds from \p from to \p to; negative when \p to is earlier.
inline std::int64_t millisecondsBetween(TimePoint from, TimePoint to)
{
    return std::chrono::duration_cast<Milliseconds>(to - from).count();
}

}
