#include "CrashContainment.h"

namespace hyssopwick {

namespace {
    // A crash shows first as a lost connection and, within this time, as an upstream that does not answer or has restarted.
    constexpr Milliseconds crashWindow { 2000 };
    // An engine that crashes on a prompt does so in its first passes over the answer.
    constexpr Milliseconds maxCrashDelay { 300 };
    // A later recheck is too far away for a caller to wait for.
    constexpr Milliseconds maxRetryAfter { 10000 };

    // Time in milliseconds over which the entry VMs are spread that may recheck a confirmed quarantine:
    // several times as long as one takes to hear of the recheck of another.
    constexpr std::uint64_t recheckSpread = 4000;
    // Suspects in one datagram, each with at most three crashes.
    constexpr std::size_t maxSuspectsInUpdate = 6;

    std::string join(const std::vector<std::string>& parts)
    {
        std::string text;
        for (const auto& part : parts)
            text += (text.empty() ? "" : ",") + part;
        return text.empty() ? "none" : text;
    }

    Milliseconds ago(TimePoint time, TimePoint now) { return Milliseconds(std::max<std::int64_t>(0, millisecondsBetween(time, now))); }
}

CrashContainment::CrashContainment(GatewayContext& context)
    : m_context(context)
    , m_quarantine(Milliseconds(static_cast<std::int64_t>(stableHash(context.description.node) % recheckSpread)))
{
}

Milliseconds CrashContainment::crashDelay() { return maxCrashDelay; }

bool CrashContainment::mayRun(const CrashTraits& call) { return m_quarantine.verdict(call.parts(), monotonicNow()) != CrashQuarantine::Verdict::Refuse; }

std::optional<Milliseconds> CrashContainment::retryAfter(const CrashTraits& call) const
{
    const auto recheckAt = m_quarantine.nextRecheck(call.parts());
    const auto now = monotonicNow();
    if (!recheckAt || *recheckAt > now + maxRetryAfter)
        return std::nullopt;
    return std::max(Milliseconds(1), ago(now, *recheckAt));
}

void CrashContainment::recordSend(const CrashTraits& call, const std::string& requestId)
{
    const auto rechecked = m_quarantine.recordRecheck(call.parts(), monotonicNow());
    if (rechecked.empty())
        return;
    m_ownRechecks.insert(rechecked.begin(), rechecked.end());
    m_context.metrics.count("prompt_blocks_rechecked_total");
    m_context.log.write("prompt.rechecked", { { "request", requestId }, { "blocks", join(rechecked) } });
    announce(RecheckObservation { rechecked });
}

void CrashContainment::recordNotSent(const std::string& address, const CrashTraits& call)
{
    recordUpstreamDown(address);
    recordWithheld(call);
}

void CrashContainment::recordWithheld(const CrashTraits& call)
{
    for (const auto& part : call.parts()) {
        if (m_ownRechecks.erase(part) > 0)
            m_quarantine.withdrawRecheck(part, monotonicNow());
    }
}

void CrashContainment::recordLost(const std::string& address, LostAttempt attempt)
{
    const auto now = monotonicNow();
    LostCall lost { std::move(attempt), now };
    if (lost.attempt.isAnswered)
        lost.attempt.call.promptBlocks.clear();
    const auto down = m_downAt.find(address);
    if (down != m_downAt.end() && lost.attempt.sentAt < down->second && now <= down->second + crashWindow)
        return recordCrash(address, lost);
    m_lostCalls[address].push_back(std::move(lost));
    if (m_onUnexplainedLoss)
        m_onUnexplainedLoss(address);
}

void CrashContainment::recordUpstreamDown(const std::string& address)
{
    const auto now = monotonicNow();
    m_downAt[address] = now;
    const auto found = m_lostCalls.find(address);
    if (found == m_lostCalls.end())
        return;
    const auto lostCalls = std::move(found->second);
    m_lostCalls.erase(found);
    for (const auto& lost : lostCalls) {
        if (now <= lost.lostAt + crashWindow)
            recordCrash(address, lost);
    }
}

void CrashContainment::recordCrash(const std::string& address, const LostCall& lost)
{
    const auto now = monotonicNow();
    const auto& call = lost.attempt.call;
    m_context.log.write("crash.sighted", { { "request", lost.attempt.requestId }, { "digest", call.fingerprint.shortHex() }, { "upstream", address }, { "blocks", join(call.promptBlocks) }, { "sent_ms_ago", std::to_string(ago(lost.attempt.sentAt, now).count()) }, { "lost_ms_ago", std::to_string(ago(lost.lostAt, now).count()) } });
    announce(CrashObservation { call.fingerprint.hex(), address, call.promptBlocks, ago(lost.attempt.sentAt, now), ago(lost.lostAt, now) });
    const bool isRequestQuarantined = count(call, { address, lost.attempt.sentAt, lost.lostAt });
    if (isRequestQuarantined && m_onConfirmed)
        m_onConfirmed({ call.requestPart(), 0 });
    for (const auto& part : call.parts())
        confirm(part);
}

// A call of this process that rechecked the part was lost.
void CrashContainment::confirm(const std::string& part)
{
    const auto rechecks = m_quarantine.rechecks(part);
    if (m_ownRechecks.erase(part) == 0 || !rechecks)
        return;
    m_context.log.write("prompt.confirmed", { { "block", part }, { "rechecks", std::to_string(*rechecks) } });
    if (m_onConfirmed)
        m_onConfirmed({ part, *rechecks });
}

// Returns whether the whole request is quarantined from now on.
bool CrashContainment::count(const CrashTraits& call, const UpstreamCrash& crash)
{
    const auto now = monotonicNow();
    auto added = m_quarantine.recordCrash(call.promptBlocks, crash.sentAt, crash.crashedAt, now);
    const bool isRequestQuarantined = m_quarantine.recordRequestCrash(call.requestPart(), crash, now);
    if (isRequestQuarantined)
        added.push_back(call.requestPart());
    if (added.empty())
        return false;
    m_context.metrics.count("prompt_blocks_quarantined_total");
    m_context.log.write("prompt.quarantined", { { "blocks", join(added) } });
    return isRequestQuarantined;
}

void CrashContainment::recordAnswered(const CrashTraits& call, TimePoint begunAt) { recordAnswered(call.promptBlocks, begunAt); }

void CrashContainment::recordAnswered(const CrashQuarantine::Parts& parts, TimePoint begunAt)
{
    const auto cleared = clear(parts, begunAt);
    if (!cleared.suspected.empty())
        announce(AnswerObservation { cleared.suspected, ago(begunAt, monotonicNow()) });
    for (const auto& part : cleared.released) {
        if (m_recorded.erase(part) > 0 && m_onRefuted)
            m_onRefuted(part);
    }
}

CrashQuarantine::Cleared CrashContainment::clear(const CrashQuarantine::Parts& parts, TimePoint begunAt)
{
    const auto cleared = m_quarantine.recordAnswered(parts, begunAt);
    for (const auto& part : cleared.released)
        recordRelease(part);
    return cleared;
}

void CrashContainment::recordRelease(const std::string& part)
{
    m_ownRechecks.erase(part);
    m_context.metrics.count("prompt_blocks_released_total");
    m_context.log.write("prompt.released", { { "block", part } });
}

void CrashContainment::recordFinished(const CrashTraits& call, TimePoint begunAt)
{
    recordAnswered(call.parts(), begunAt);
}

void CrashContainment::receive(const CrashObservation& observation)
{
    const auto digest = Digest::fromHex(observation.digest);
    const auto now = monotonicNow();
    if (!digest.isEmpty())
        count({ digest, observation.promptBlocks }, { observation.upstream, now - observation.sentAgo, now - observation.lostAgo });
}

void CrashContainment::receive(const RecheckObservation& observation) { m_quarantine.recordRecheck(observation.promptBlocks, monotonicNow()); }

void CrashContainment::receive(const AnswerObservation& observation) { clear(observation.promptBlocks, monotonicNow() - observation.begunAgo); }

std::optional<SuspicionDigest> CrashContainment::digest() const
{
    const auto digest = m_quarantine.sharedDigest();
    return digest == 0 ? std::nullopt : std::optional<SuspicionDigest>({ digest, false });
}

std::vector<PeerMessage> CrashContainment::receive(const SuspicionDigest& theirs) const
{
    std::vector<PeerMessage> answers;
    const auto digest = m_quarantine.sharedDigest();
    if (digest == theirs.digest)
        return answers;
    if (!theirs.isAnswer)
        answers.push_back(SuspicionDigest { digest, true });
    const auto suspects = m_quarantine.shared();
    for (std::size_t begin = 0; begin < suspects.size(); begin += maxSuspectsInUpdate) {
        const auto end = std::min(begin + maxSuspectsInUpdate, suspects.size());
        answers.push_back(SuspicionUpdate { { suspects.begin() + static_cast<std::ptrdiff_t>(begin), suspects.begin() + static_cast<std::ptrdiff_t>(end) } });
    }
    return answers;
}

std::vector<PeerMessage> CrashContainment::receive(const SuspicionUpdate& update)
{
    const auto now = monotonicNow();
    std::vector<PeerMessage> answers;
    for (const auto& suspect : update.suspects) {
        const bool wasQuarantined = m_quarantine.rechecks(suspect.part).has_value();
        if (const auto refutedAt = m_quarantine.merge(suspect, now)) {
            answers.push_back(AnswerObservation { { suspect.part }, ago(*refutedAt, now) });
            continue;
        }
        const auto rechecks = m_quarantine.rechecks(suspect.part);
        if (!wasQuarantined && rechecks)
            m_context.log.write("prompt.quarantined", { { "blocks", suspect.part }, { "rechecks", std::to_string(*rechecks) }, { "source", "peer" } });
    }
    return answers;
}

void CrashContainment::adopt(const PromptBlockRecord& record)
{
    m_recorded.insert(record.block);
    m_quarantine.adopt(record.block, record.rechecks, monotonicNow());
    m_context.log.write("prompt.quarantined", { { "blocks", record.block }, { "rechecks", std::to_string(record.rechecks) } });
}

void CrashContainment::release(const std::string& block)
{
    m_recorded.erase(block);
    if (m_quarantine.release(block))
        recordRelease(block);
}

void CrashContainment::expire(TimePoint now)
{
    m_quarantine.expire(now);
    for (auto lost = m_lostCalls.begin(); lost != m_lostCalls.end();) {
        if (lost->second.back().lostAt + crashWindow >= now) {
            ++lost;
            continue;
        }
        for (const auto& call : lost->second)
            m_context.log.write("crash.unconfirmed", { { "request", call.attempt.requestId }, { "digest", call.attempt.call.fingerprint.shortHex() }, { "upstream", lost->first } });
        lost = m_lostCalls.erase(lost);
    }
    for (auto down = m_downAt.begin(); down != m_downAt.end();)
        down = down->second + crashWindow < now ? m_downAt.erase(down) : std::next(down);
}

void CrashContainment::announce(const PeerMessage& message) const
{
    if (m_onObservation)
        m_onObservation(message);
}

}
