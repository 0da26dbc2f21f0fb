#include "CrashSuspicion.h"

#include <algorithm>

namespace hyssopwick {

namespace {
    constexpr Milliseconds suspicionPeriod { 120000 };
    constexpr unsigned crashesToRefuse = 2;
    constexpr std::size_t maxSuspects = 4096;
}

void CrashSuspicion::recordCrash(const std::set<Digest>& inFlight, bool wasAlone, TimePoint now)
{
    for (const auto& request : inFlight) {
        if (m_suspects.size() >= maxSuspects && m_suspects.count(request) == 0)
            return;
        auto& suspect = m_suspects[request];
        ++suspect.crashes;
        suspect.wasAlone = suspect.wasAlone || wasAlone;
        suspect.until = now + suspicionPeriod;
    }
}

void CrashSuspicion::recordFinished(const Digest& request) { m_suspects.erase(request); }

CrashVerdict CrashSuspicion::verdict(const Digest& request, TimePoint now)
{
    const auto found = m_suspects.find(request);
    if (found == m_suspects.end())
        return CrashVerdict::Run;
    if (now >= found->second.until) {
        m_suspects.erase(found);
        return CrashVerdict::Run;
    }
    return isRefused(found->second) ? CrashVerdict::Refuse : CrashVerdict::RunAlone;
}

bool CrashSuspicion::isRefused(const Suspect& suspect) { return suspect.wasAlone && suspect.crashes >= crashesToRefuse; }

void CrashSuspicion::mergeRefused(const Digest& request, Milliseconds remaining, TimePoint now)
{
    if (m_suspects.size() >= maxSuspects && m_suspects.count(request) == 0)
        return;
    auto& suspect = m_suspects[request];
    suspect.crashes = std::max(suspect.crashes, crashesToRefuse);
    suspect.wasAlone = true;
    suspect.until = std::max(suspect.until, now + std::min(remaining, suspicionPeriod));
}

std::map<Digest, Milliseconds> CrashSuspicion::refused(TimePoint now) const
{
    std::map<Digest, Milliseconds> refused;
    for (const auto& [request, suspect] : m_suspects) {
        if (isRefused(suspect) && now < suspect.until)
            refused[request] = std::chrono::duration_cast<Milliseconds>(suspect.until - now);
    }
    return refused;
}

}
