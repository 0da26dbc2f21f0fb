#include "ConcurrencyDecision.h"

#include <algorithm>
#include <cmath>

namespace hyssopwick {

namespace {
    constexpr double busyShareToDecrease = 0.6;
    constexpr double decreaseFactor = 0.85;
    constexpr double increaseStep = 0.5; // in even shares, for each period
    constexpr double minFactor = 1;
    constexpr std::int64_t minLimit = 2;
}

void ConcurrencyDecision::recordAnswer(bool wasBusy)
{
    ++m_answers;
    m_busyAnswers += wasBusy;
}

std::int64_t ConcurrencyDecision::adapt(double evenShare, double totalCapacity, std::size_t queuedRequests)
{
    const bool isOverloaded = static_cast<double>(m_busyAnswers) > busyShareToDecrease * static_cast<double>(m_answers);
    if (isOverloaded)
        m_factor *= decreaseFactor;
    else if (queuedRequests > 0)
        m_factor += increaseStep;
    m_answers = 0;
    m_busyAnswers = 0;
    const double maxFactor = evenShare > 0 ? std::max(minFactor, totalCapacity / evenShare) : minFactor;
    m_factor = std::clamp(m_factor, minFactor, maxFactor);
    return std::max(minLimit, static_cast<std::int64_t>(std::ceil(evenShare * m_factor)));
}

}
