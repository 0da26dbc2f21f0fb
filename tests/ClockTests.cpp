#include "SuspendedClock.h"
#include "TestSupport.h"

#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

using namespace hyssopwick;

namespace hyssopwick {

std::atomic<time_t> suspendedSeconds { 0 };

}

// Replaces that of the C library, whose clocks can't be set without privileges.
extern "C" int clock_gettime(clockid_t clock, struct timespec* time) noexcept
{
    const auto result = syscall(SYS_clock_gettime, clock, time);
    if (result == 0 && (clock == CLOCK_BOOTTIME || clock == CLOCK_REALTIME))
        time->tv_sec += suspendedSeconds;
    return static_cast<int>(result);
}

TEST_GROUP(MonotonicClock) {};

TEST(MonotonicClock, TimeGoesOnWhileAVmIsSuspended)
{
    const auto before = monotonicNow();
    suspendedSeconds = 5;
    const auto after = monotonicNow();
    suspendedSeconds = 0;
    CHECK(after >= before + Milliseconds(5000));
}
