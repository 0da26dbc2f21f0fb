#include "RateLimitShareDecision.h"

#include <algorithm>

namespace hyssopwick {

namespace {
    constexpr double evenPart = 0.2;
    constexpr Milliseconds demandFreshness { 10000 };
}

RateLimitShareDecision::RateLimitShareDecision(std::string self, RateLimitSplitPolicy policy)
    : m_self(std::move(self))
    , m_policy(policy)
{
}

void RateLimitShareDecision::recordDemand(const std::string& entry, const std::map<std::string, double>& demand, TimePoint now)
{
    m_demands[entry] = { demand, now };
}

void RateLimitShareDecision::updateTotals(const std::vector<std::string>& entries, TimePoint now)
{
    m_even = 1.0 / static_cast<double>(std::max<std::size_t>(1, entries.size()));
    m_totals.clear();
    for (const auto& entry : entries) {
        const auto found = m_demands.find(entry);
        if (found == m_demands.end() || now > found->second.recordedAt + demandFreshness)
            continue;
        for (const auto& [account, rate] : found->second.byAccount)
            m_totals[account] += rate;
    }
}

double RateLimitShareDecision::share(const std::string& account) const
{
    const auto total = m_totals.find(account);
    if (m_policy == RateLimitSplitPolicy::Even || total == m_totals.end() || total->second <= 0)
        return m_even;
    const auto own = m_demands.find(m_self);
    const auto demand = own == m_demands.end() ? std::map<std::string, double>::const_iterator() : own->second.byAccount.find(account);
    const bool hasDemand = own != m_demands.end() && demand != own->second.byAccount.end();
    return evenPart * m_even + (1 - evenPart) * (hasDemand ? demand->second : 0) / total->second;
}

}
