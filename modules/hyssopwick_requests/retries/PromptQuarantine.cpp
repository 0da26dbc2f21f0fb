#include "PromptQuarantine.h"

#include <algorithm>

namespace hyssopwick {

namespace {
    constexpr std::size_t crashesToQuarantine = 3;
    // After so many rechecks the interval stays the same. Calls with a block on which engines
    // crash get at most three of these engines a day after the first two rechecks.
    constexpr Milliseconds recheckDelays[] = { Milliseconds(500), Milliseconds(8000), std::chrono::hours(1), std::chrono::hours(8), std::chrono::hours(24) };
    // A call with several quarantined blocks does not tell them apart, so one with a single block
    // goes first.
    constexpr Milliseconds jointRecheckDelay { 1000 };
    constexpr Milliseconds suspicionPeriod { 120000 };
    // Longer than a crash takes to be found and reported.
    constexpr Milliseconds answerMemory { 10000 };
    constexpr std::size_t maxSuspects = 4096;

    TimePoint recheckTime(unsigned rechecks, TimePoint now) { return now + recheckDelays[std::min<std::size_t>(rechecks, std::size(recheckDelays) - 1)]; }
}

PromptQuarantine::Blocks PromptQuarantine::recordCrash(const Blocks& blocks, TimePoint sentAt, TimePoint crashedAt, TimePoint now)
{
    Blocks added;
    for (const auto& block : blocks) {
        const auto answered = m_answeredAt.find(block);
        if (answered != m_answeredAt.end() && answered->second > crashedAt)
            continue;
        if (m_suspects.size() >= maxSuspects && m_suspects.count(block) == 0)
            continue;
        auto& suspect = m_suspects[block];
        if (!suspect.crashes.empty() && sentAt <= suspect.crashes.back())
            continue;
        suspect.lastEvidence = std::max(suspect.lastEvidence, crashedAt);
        suspect.crashes.push_back(crashedAt);
        if (suspect.crashes.size() > crashesToQuarantine)
            suspect.crashes.erase(suspect.crashes.begin());
        if (suspect.isQuarantined || suspect.crashes.size() < crashesToQuarantine)
            continue;
        suspect.isQuarantined = true;
        suspect.recheckAt = recheckTime(0, now);
        added.push_back(block);
    }
    return added;
}

PromptQuarantine::Cleared PromptQuarantine::recordAnswered(const Blocks& blocks, TimePoint begunAt)
{
    Cleared cleared;
    for (const auto& block : blocks) {
        auto& answeredAt = m_answeredAt[block];
        answeredAt = std::max(answeredAt, begunAt);
        const auto found = m_suspects.find(block);
        if (found == m_suspects.end())
            continue;
        auto& suspect = found->second;
        const auto later = std::find_if(suspect.crashes.begin(), suspect.crashes.end(), [begunAt](TimePoint crash) { return crash >= begunAt; });
        const bool isClearedOfCrash = later != suspect.crashes.begin();
        suspect.crashes.erase(suspect.crashes.begin(), later);
        // A recheck that crashed confirms a quarantine; only a later call refutes it.
        const bool isRefuted = suspect.rechecks == 0 ? suspect.crashes.size() < crashesToQuarantine : begunAt > suspect.lastEvidence;
        const bool isReleased = suspect.isQuarantined && isRefuted;
        if (isClearedOfCrash || isReleased)
            cleared.suspected.push_back(block);
        if (isReleased)
            cleared.released.push_back(block);
        if (isReleased || (!suspect.isQuarantined && suspect.crashes.empty()))
            m_suspects.erase(found);
    }
    return cleared;
}

PromptQuarantine::Blocks PromptQuarantine::quarantined(const Blocks& blocks) const
{
    Blocks result;
    std::copy_if(blocks.begin(), blocks.end(), std::back_inserter(result), [this](const auto& block) { return rechecks(block).has_value(); });
    return result;
}

std::optional<TimePoint> PromptQuarantine::nextRecheck(const Blocks& blocks) const
{
    const auto refused = quarantined(blocks);
    if (refused.empty())
        return std::nullopt;
    TimePoint next;
    for (const auto& block : refused)
        next = std::max(next, m_suspects.at(block).recheckAt);
    return refused.size() == 1 ? next : next + jointRecheckDelay;
}

PromptQuarantine::Verdict PromptQuarantine::verdict(const Blocks& blocks, TimePoint now) const
{
    const auto recheckAt = nextRecheck(blocks);
    if (!recheckAt)
        return Verdict::Run;
    return now >= *recheckAt ? Verdict::Recheck : Verdict::Refuse;
}

PromptQuarantine::Blocks PromptQuarantine::recordRecheck(const Blocks& blocks, TimePoint now)
{
    const auto rechecked = quarantined(blocks);
    for (const auto& block : rechecked) {
        auto& suspect = m_suspects.at(block);
        suspect.recheckAt = recheckTime(++suspect.rechecks, now);
    }
    return rechecked;
}

void PromptQuarantine::withdrawRecheck(const std::string& block, TimePoint now)
{
    const auto found = m_suspects.find(block);
    if (found == m_suspects.end() || found->second.rechecks == 0)
        return;
    --found->second.rechecks;
    found->second.recheckAt = now;
}

void PromptQuarantine::adopt(const std::string& block, unsigned rechecks, TimePoint now)
{
    if (m_suspects.size() >= maxSuspects && m_suspects.count(block) == 0)
        return;
    auto& suspect = m_suspects[block];
    if (suspect.isQuarantined && suspect.rechecks >= rechecks)
        return;
    suspect.isQuarantined = true;
    suspect.rechecks = rechecks;
    suspect.lastEvidence = std::max(suspect.lastEvidence, now);
    suspect.recheckAt = std::max(suspect.recheckAt, recheckTime(rechecks, now));
}

std::optional<unsigned> PromptQuarantine::rechecks(const std::string& block) const
{
    const auto found = m_suspects.find(block);
    return found != m_suspects.end() && found->second.isQuarantined ? std::optional<unsigned>(found->second.rechecks) : std::nullopt;
}

void PromptQuarantine::expire(TimePoint now)
{
    for (auto suspect = m_suspects.begin(); suspect != m_suspects.end();) {
        const bool isOver = !suspect->second.isQuarantined && suspect->second.lastEvidence + suspicionPeriod < now;
        suspect = isOver ? m_suspects.erase(suspect) : std::next(suspect);
    }
    for (auto answered = m_answeredAt.begin(); answered != m_answeredAt.end();)
        answered = answered->second + answerMemory < now ? m_answeredAt.erase(answered) : std::next(answered);
}

}
