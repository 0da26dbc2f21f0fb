#include "AdmissionLevel.h"

#include <algorithm>

namespace hyssopwick {

AdmissionLevel::AdmissionLevel(double value)
    : m_value(std::clamp(value, 0.0, all))
{
}

AdmissionLevel AdmissionLevel::highestFitting(const EngineDemand& demand, double capacity)
{
    const double total = demand.total();
    if (total <= capacity)
        return {};
    double left = capacity - total * minShare;
    if (left <= 0)
        return AdmissionLevel(std::max(0.0, capacity) / total);
    for (unsigned priority = 0; priority < EngineDemand::priorities; ++priority) {
        const double rest = demand.of(priority) * (1 - minShare);
        if (rest > left)
            return AdmissionLevel(priority + minShare + (1 - minShare) * left / rest);
        left -= rest;
    }
    return {};
}

double AdmissionLevel::admittedOf(const EngineDemand& demand) const
{
    double sum = 0;
    for (unsigned priority = 0; priority < EngineDemand::priorities; ++priority)
        sum += demand.of(priority) * fractionOf(priority);
    return sum;
}

double AdmissionLevel::fractionOf(unsigned priority) const
{
    if (m_value < minShare)
        return m_value;
    return std::clamp(m_value - double(EngineDemand::indexOf(priority)), minShare, 1.0);
}

}
