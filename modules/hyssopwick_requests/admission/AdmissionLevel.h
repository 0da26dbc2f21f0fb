#pragma once

#include "EngineDemand.h"

namespace hyssopwick {

/// How many of the calls for a pool of engines are admitted, by priority. A level of n + f
/// admits all calls of the priorities 0 to n - 1 and the fraction f of priority n; each
/// priority keeps minShare of its demand. Below minShare, the level is the fraction of all
/// calls that is admitted.
class AdmissionLevel {
public:
    /// Share of the demand of each priority that is admitted while engine time suffices for that.
    static constexpr double minShare = 0.3;
    /// The level that admits all calls.
    static constexpr double all = EngineDemand::priorities;

    AdmissionLevel() = default;
    explicit AdmissionLevel(double value);

    /// Returns the highest level whose demand fits into an engine time, in engine milliseconds per second.
    static AdmissionLevel highestFitting(const EngineDemand& demand, double capacity);

    double value() const { return m_value; }
    bool admitsAll() const { return m_value >= all; }

    /// Returns the fraction of the calls of a priority that is admitted.
    double fractionOf(unsigned priority) const;

    /// Returns the engine time that the admitted part of a demand requires.
    double admittedOf(const EngineDemand& demand) const;

    bool operator==(const AdmissionLevel& other) const { return m_value == other.m_value; }
    bool operator!=(const AdmissionLevel& other) const { return !(*this == other); }

private:
    double m_value = all;
};

}
