#pragma once

#include <hyssopwick_core.h>

#include <CppUTest/TestHarness.h>
#include <string>
#include <unistd.h>
#include <vector>

namespace hyssopwick {

/// Start of the virtual time in tests.
inline TimePoint testStart() { return TimePoint() + std::chrono::hours(1); }

/// Returns the instant \p milliseconds after testStart().
inline TimePoint at(std::int64_t milliseconds) { return testStart() + Milliseconds(milliseconds); }

/// Returns a digest that is distinct for each \p number.
inline Digest digestOf(int number) { return Digest::of(std::to_string(number)); }

/// Returns an address that differs between test processes, so that they can run side by side.
inline std::string loopbackIp(int number)
{
    constexpr int octets = 250;
    return "127." + std::to_string(2 + getpid() / octets % octets) + "." + std::to_string(getpid() % octets) + "." + std::to_string(number);
}

}

inline SimpleString StringFrom(const hyssopwick::Digest& digest) { return SimpleString(digest.hex().c_str()); }
