#include "RateLimitShareDecision.h"

#include <algorithm>

namespace hyssopwick {

namespace {
    constexpr double evenlySplitShare = 0.2;
    constexpr Milliseconds maxDemandAge { 10000 };
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
    m_evenShare = 1.0 / static_cast<double>(std::max<std::size_t>(1, entries.size()));
    m_totalDemand.clear();
    for (const auto& entry : entries) {
        const auto found = m_demands.find(entry);
        if (found == m_demands.end() || now > found->second.recordedAt + maxDemandAge)
            continue;
        for (const auto& [account, rate] : found->second.byAccount)
            m_totalDemand[account] += rate;
    }
}

double RateLimitShareDecision::share(const std::string& account) const
{
    const auto total = m_totalDemand.find(account);
    if (m_policy == RateLimitSplitPolicy::Even || total == m_totalDemand.end() || total->second <= 0)
        return m_evenShare;
    const auto own = m_demands.find(m_self);
    const auto demand = own == m_demands.end() ? std::map<std::string, double>::const_iterator() : own->second.byAccount.find(account);
    const bool hasDemand = own != m_demands.end() && demand != own->second.byAccount.end();
    return evenlySplitShare * m_evenShare + (1 - evenlySplitShare) * (hasDemand ? demand->second : 0) / total->second;
}

}
