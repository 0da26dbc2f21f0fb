#include "EngineDemand.h"

#include <numeric>

namespace hyssopwick {

void EngineDemand::add(const EngineDemand& other)
{
    for (std::size_t i = 0; i < priorities; ++i)
        m_rates[i] += other.m_rates[i];
}

double EngineDemand::total() const { return std::accumulate(m_rates.begin(), m_rates.end(), 0.0); }

EngineDemand EngineDemand::dividedBy(double parts) const
{
    EngineDemand result;
    for (std::size_t i = 0; i < priorities; ++i)
        result.m_rates[i] = m_rates[i] / parts;
    return result;
}

}
