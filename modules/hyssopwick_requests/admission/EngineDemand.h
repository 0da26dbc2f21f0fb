#pragma once

#include <array>
#include <cstddef>

namespace hyssopwick {

/// The engine time that calls require, by their priority, in engine milliseconds per second.
class EngineDemand {
public:
    /// Priorities are 0, the most urgent, to 9; larger ones count as 9.
    static constexpr std::size_t priorities = 10;

    static std::size_t indexOf(unsigned priority) { return priority < priorities ? priority : priorities - 1; }

    void add(unsigned priority, double millisecondsPerSecond) { m_rates[indexOf(priority)] += millisecondsPerSecond; }
    void add(const EngineDemand& other);

    double of(unsigned priority) const { return m_rates[indexOf(priority)]; }
    double total() const;

    /// Returns this demand divided evenly over \p parts.
    EngineDemand dividedBy(double parts) const;

    bool operator==(const EngineDemand& other) const { return m_rates == other.m_rates; }
    bool operator!=(const EngineDemand& other) const { return !(*this == other); }

private:
    std::array<double, priorities> m_rates {};
};

}
