#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>

namespace hyssopwick {

/// Monotonic clock that, unlike std::chrono::steady_clock, also counts the time in which
/// the VM is suspended: time limits that other processes enforce go on meanwhile.
struct MonotonicClock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<MonotonicClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): the name is the standard library's

    static time_point now() noexcept
    {
        timespec time {};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return time_point(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
    }
};

/// Instant of the monotonic clock, such as a deadline.
using TimePoint = MonotonicClock::time_point;

/// Type of all configured intervals.
using Milliseconds = std::chrono::milliseconds;

/// Wall-clock time in milliseconds since the Unix epoch. Only for values that are sent
/// to other VMs, such as the issue time of a call.
using UnixMilliseconds = std::int64_t;

inline TimePoint monotonicNow() { return MonotonicClock::now(); }

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
