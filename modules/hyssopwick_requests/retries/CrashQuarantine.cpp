#include "CrashQuarantine.h"

#include <algorithm>

namespace hyssopwick {

namespace {
    constexpr std::size_t crashesToQuarantine = 3;
    // After so many rechecks the interval stays the same. Calls with a part on which upstreams
    // crash get at most three of these upstreams a day after the first two rechecks.
    constexpr Milliseconds recheckDelays[] = { Milliseconds(500), Milliseconds(8000), std::chrono::hours(1), std::chrono::hours(8), std::chrono::hours(24) };
    // A part that has not been rechecked yet may be harmless, so it waits less for other processes.
    constexpr int firstRecheckDivisor = 4;
    // A call with several quarantined parts does not tell them apart, so one with a single part
    // goes first.
    constexpr Milliseconds jointRecheckDelay { 1000 };
    constexpr Milliseconds suspicionPeriod { 120000 };
    // Longer than a crash takes to be found and reported.
    constexpr Milliseconds answerMemory { 10000 };
    constexpr std::size_t maxSuspects = 4096;

    TimePoint recheckTime(unsigned rechecks, TimePoint now) { return now + recheckDelays[std::min<std::size_t>(rechecks, std::size(recheckDelays) - 1)]; }
}

// Returns nothing if an answered call clears the part of this crash.
CrashSuspect* CrashQuarantine::suspectOf(const std::string& part, TimePoint crashedAt)
{
    const auto answer = m_answers.find(part);
    if (answer != m_answers.end() && answer->second.begunAt > crashedAt)
        return nullptr;
    if (m_suspects.size() >= maxSuspects && m_suspects.count(part) == 0)
        return nullptr;
    auto& suspect = m_suspects[part];
    suspect.part = part;
    return &suspect;
}

// Returns whether the suspect is quarantined from now on.
bool CrashQuarantine::addCrash(CrashSuspect& suspect, const UpstreamCrash& crash, TimePoint now)
{
    suspect.lastEvidence = std::max(suspect.lastEvidence, crash.crashedAt);
    suspect.crashes.push_back(crash);
    std::sort(suspect.crashes.begin(), suspect.crashes.end(), [](const auto& left, const auto& right) { return left.crashedAt < right.crashedAt; });
    if (suspect.crashes.size() > crashesToQuarantine)
        suspect.crashes.erase(suspect.crashes.begin());
    if (suspect.isQuarantined || suspect.crashes.size() < crashesToQuarantine)
        return false;
    suspect.isQuarantined = true;
    suspect.recheckAt = recheckTime(0, now);
    return true;
}

CrashQuarantine::Parts CrashQuarantine::recordCrash(const Parts& blocks, TimePoint sentAt, TimePoint crashedAt, TimePoint now)
{
    Parts added;
    for (const auto& block : blocks) {
        auto* suspect = suspectOf(block, crashedAt);
        if (!suspect || (!suspect->crashes.empty() && sentAt <= suspect->crashes.back().crashedAt))
            continue;
        if (addCrash(*suspect, { "", sentAt, crashedAt }, now))
            added.push_back(block);
    }
    return added;
}

bool CrashQuarantine::recordRequestCrash(const std::string& request, const UpstreamCrash& crash, TimePoint now)
{
    auto* suspect = suspectOf(request, crash.crashedAt);
    if (!suspect)
        return false;
    // Calls that were at an upstream at the same time were lost by the same crash.
    const bool isKnown = std::any_of(suspect->crashes.begin(), suspect->crashes.end(), [&crash](const auto& known) {
        return known.upstream == crash.upstream && known.sentAt <= crash.crashedAt && crash.sentAt <= known.crashedAt;
    });
    return !isKnown && addCrash(*suspect, crash, now);
}

CrashQuarantine::Cleared CrashQuarantine::recordAnswered(const Parts& parts, TimePoint begunAt)
{
    Cleared cleared;
    for (const auto& part : parts) {
        auto& answer = m_answers[part];
        answer.begunAt = std::max(answer.begunAt, begunAt);
        const auto found = m_suspects.find(part);
        if (found == m_suspects.end())
            continue;
        auto& suspect = found->second;
        const auto later = std::find_if(suspect.crashes.begin(), suspect.crashes.end(), [begunAt](const auto& crash) { return crash.crashedAt >= begunAt; });
        const bool isClearedOfCrash = later != suspect.crashes.begin();
        suspect.crashes.erase(suspect.crashes.begin(), later);
        // A recheck that crashed confirms a quarantine; only a later call refutes it.
        const bool isShortOfCrashes = suspect.rechecks == 0 && isClearedOfCrash && suspect.crashes.size() < crashesToQuarantine;
        const bool isRefuted = isShortOfCrashes || begunAt > suspect.lastEvidence;
        const bool isReleased = suspect.isQuarantined && isRefuted;
        if (isClearedOfCrash || isReleased) {
            cleared.suspected.push_back(part);
            answer.hasCleared = true;
        }
        if (isReleased)
            cleared.released.push_back(part);
        if (isReleased || (!suspect.isQuarantined && suspect.crashes.empty()))
            m_suspects.erase(found);
    }
    return cleared;
}

CrashQuarantine::Parts CrashQuarantine::quarantined(const Parts& parts) const
{
    Parts result;
    std::copy_if(parts.begin(), parts.end(), std::back_inserter(result), [this](const auto& part) { return rechecks(part).has_value(); });
    return result;
}

std::optional<TimePoint> CrashQuarantine::nextRecheck(const Parts& parts) const
{
    const auto refused = quarantined(parts);
    if (refused.empty())
        return std::nullopt;
    TimePoint next;
    for (const auto& part : refused) {
        const auto& suspect = m_suspects.at(part);
        next = std::max(next, suspect.recheckAt + (suspect.rechecks == 0 ? m_recheckOffset / firstRecheckDivisor : m_recheckOffset));
    }
    return refused.size() == 1 ? next : next + jointRecheckDelay;
}

CrashQuarantine::Verdict CrashQuarantine::verdict(const Parts& parts, TimePoint now) const
{
    const auto recheckAt = nextRecheck(parts);
    if (!recheckAt)
        return Verdict::Run;
    return now >= *recheckAt ? Verdict::Recheck : Verdict::Refuse;
}

CrashQuarantine::Parts CrashQuarantine::recordRecheck(const Parts& parts, TimePoint now)
{
    const auto rechecked = quarantined(parts);
    for (const auto& part : rechecked) {
        auto& suspect = m_suspects.at(part);
        suspect.recheckAt = recheckTime(++suspect.rechecks, now);
    }
    return rechecked;
}

void CrashQuarantine::withdrawRecheck(const std::string& part, TimePoint now)
{
    const auto found = m_suspects.find(part);
    if (found == m_suspects.end() || found->second.rechecks == 0)
        return;
    --found->second.rechecks;
    found->second.recheckAt = now;
}

void CrashQuarantine::adopt(const std::string& part, unsigned rechecks, TimePoint now)
{
    if (m_suspects.size() >= maxSuspects && m_suspects.count(part) == 0)
        return;
    auto& suspect = m_suspects[part];
    if (suspect.isQuarantined && suspect.rechecks >= rechecks)
        return;
    suspect.part = part;
    suspect.isQuarantined = true;
    suspect.rechecks = rechecks;
    suspect.lastEvidence = std::max(suspect.lastEvidence, now);
    suspect.recheckAt = std::max(suspect.recheckAt, recheckTime(rechecks, now));
}

std::vector<CrashSuspect> CrashQuarantine::shared() const
{
    std::vector<CrashSuspect> suspects;
    for (const auto& [part, suspect] : m_suspects) {
        if (suspect.isQuarantined || suspect.crashes.size() + 1 >= crashesToQuarantine)
            suspects.push_back(suspect);
    }
    return suspects;
}

std::uint64_t CrashQuarantine::sharedDigest() const
{
    std::string text;
    for (const auto& suspect : shared())
        text += suspect.part + (suspect.isQuarantined ? "!" : "?") + std::to_string(suspect.isQuarantined ? suspect.rechecks : suspect.crashes.size()) + "\n";
    return text.empty() ? 0 : stableHash(text);
}

std::optional<TimePoint> CrashQuarantine::merge(const CrashSuspect& known, TimePoint now)
{
    const auto answer = m_answers.find(known.part);
    if (answer != m_answers.end() && answer->second.begunAt > known.lastEvidence)
        return answer->second.begunAt;
    auto* suspect = suspectOf(known.part, known.lastEvidence);
    if (!suspect)
        return std::nullopt;
    suspect->lastEvidence = std::max(suspect->lastEvidence, known.lastEvidence);
    if (!known.isQuarantined) {
        if (suspect->crashes.empty())
            suspect->crashes = known.crashes;
        for (const auto& crash : known.crashes) {
            if (!crash.upstream.empty())
                recordRequestCrash(known.part, crash, now);
        }
        return std::nullopt;
    }
    if (!suspect->isQuarantined || suspect->crashes.size() < known.crashes.size())
        suspect->crashes = known.crashes;
    suspect->isQuarantined = true;
    suspect->rechecks = std::max(suspect->rechecks, known.rechecks);
    suspect->recheckAt = std::max(suspect->recheckAt, known.recheckAt);
    return std::nullopt;
}

std::optional<unsigned> CrashQuarantine::rechecks(const std::string& block) const
{
    const auto found = m_suspects.find(block);
    return found != m_suspects.end() && found->second.isQuarantined ? std::optional<unsigned>(found->second.rechecks) : std::nullopt;
}

void CrashQuarantine::expire(TimePoint now)
{
    for (auto suspect = m_suspects.begin(); suspect != m_suspects.end();) {
        const bool isOver = !suspect->second.isQuarantined && suspect->second.lastEvidence + suspicionPeriod < now;
        suspect = isOver ? m_suspects.erase(suspect) : std::next(suspect);
    }
    for (auto answer = m_answers.begin(); answer != m_answers.end();) {
        const auto memory = answer->second.hasCleared ? suspicionPeriod : answerMemory;
        answer = answer->second.begunAt + memory < now ? m_answers.erase(answer) : std::next(answer);
    }
}

}
