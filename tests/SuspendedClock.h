#pragma once

#include <atomic>
#include <ctime>

namespace hyssopwick {

/// Seconds for which the VM was suspended, as the clocks of the test process show them.
extern std::atomic<time_t> suspendedSeconds;

}
