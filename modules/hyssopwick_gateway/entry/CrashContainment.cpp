#include "CrashContainment.h"

namespace hyssopwick {

namespace {
    // A request is refused once it was in flight at three upstreams that crashed (the platform's rules).
    constexpr unsigned crashesToRefuse = 3;
    // A crash shows first as a lost connection and, within this time, as an upstream that does not answer or has restarted.
    constexpr Milliseconds crashWindow { 2000 };
    // An engine that crashes on a prompt does so in its first passes over the answer.
    constexpr Milliseconds maxCrashDelay { 300 };
    // A later recheck is too far away for a caller to wait for.
    constexpr Milliseconds maxRetryAfter { 10000 };

    std::string join(const std::vector<std::string>& blocks)
    {
        std::string text;
        for (const auto& block : blocks)
            text += (text.empty() ? "" : ",") + block;
        return text.empty() ? "none" : text;
    }

    Milliseconds ago(TimePoint time, TimePoint now) { return Milliseconds(std::max<std::int64_t>(0, millisecondsBetween(time, now))); }
}

CrashContainment::CrashContainment(GatewayContext& context)
    : m_context(context)
    , m_suspicion(crashesToRefuse)
{
}

Milliseconds CrashContainment::crashDelay() { return maxCrashDelay; }

bool CrashContainment::mayRun(const CrashTraits& call)
{
    const auto now = monotonicNow();
    return m_suspicion.verdict(call.fingerprint, now) != CrashVerdict::Refuse && m_quarantine.verdict(call.promptBlocks, now) != PromptQuarantine::Verdict::Refuse;
}

std::optional<Milliseconds> CrashContainment::retryAfter(const CrashTraits& call) const
{
    const auto recheckAt = m_quarantine.nextRecheck(call.promptBlocks);
    const auto now = monotonicNow();
    if (!recheckAt || *recheckAt > now + maxRetryAfter)
        return std::nullopt;
    return std::max(Milliseconds(1), ago(now, *recheckAt));
}

void CrashContainment::recordSend(const CrashTraits& call, const std::string& requestId)
{
    const auto rechecked = m_quarantine.recordRecheck(call.promptBlocks, monotonicNow());
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
    for (const auto& block : call.promptBlocks) {
        if (m_ownRechecks.erase(block) > 0)
            m_quarantine.withdrawRecheck(block, monotonicNow());
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
    count(call, lost.attempt.sentAt, lost.lostAt);
    for (const auto& block : call.promptBlocks)
        confirm(block);
}

// A call of this process that rechecked the block was lost.
void CrashContainment::confirm(const std::string& block)
{
    const auto rechecks = m_quarantine.rechecks(block);
    if (m_ownRechecks.erase(block) == 0 || !rechecks)
        return;
    m_context.log.write("prompt.confirmed", { { "block", block }, { "rechecks", std::to_string(*rechecks) } });
    if (m_onConfirmed)
        m_onConfirmed({ block, *rechecks });
}

void CrashContainment::count(const CrashTraits& call, TimePoint sentAt, TimePoint crashedAt)
{
    const auto now = monotonicNow();
    m_suspicion.recordCrash({ call.fingerprint }, false, now);
    const auto added = m_quarantine.recordCrash(call.promptBlocks, sentAt, crashedAt, now);
    if (added.empty())
        return;
    m_context.metrics.count("prompt_blocks_quarantined_total");
    m_context.log.write("prompt.quarantined", { { "blocks", join(added) } });
}

void CrashContainment::recordAnswered(const CrashTraits& call, TimePoint begunAt)
{
    const auto cleared = clear(call.promptBlocks, begunAt);
    if (!cleared.suspected.empty())
        announce(AnswerObservation { cleared.suspected, ago(begunAt, monotonicNow()) });
    for (const auto& block : cleared.released) {
        if (m_recorded.erase(block) > 0 && m_onRefuted)
            m_onRefuted(block);
    }
}

PromptQuarantine::Cleared CrashContainment::clear(const std::vector<std::string>& blocks, TimePoint begunAt)
{
    const auto cleared = m_quarantine.recordAnswered(blocks, begunAt);
    for (const auto& block : cleared.released)
        recordRelease(block);
    return cleared;
}

void CrashContainment::recordRelease(const std::string& block)
{
    m_ownRechecks.erase(block);
    m_context.metrics.count("prompt_blocks_released_total");
    m_context.log.write("prompt.released", { { "block", block } });
}

void CrashContainment::recordFinished(const CrashTraits& call, TimePoint begunAt)
{
    m_suspicion.recordFinished(call.fingerprint);
    recordAnswered(call, begunAt);
}

void CrashContainment::receive(const CrashObservation& observation)
{
    const auto digest = Digest::fromHex(observation.digest);
    const auto now = monotonicNow();
    if (!digest.isEmpty())
        count({ digest, observation.promptBlocks }, now - observation.sentAgo, now - observation.lostAgo);
}

void CrashContainment::receive(const RecheckObservation& observation) { m_quarantine.recordRecheck(observation.promptBlocks, monotonicNow()); }

void CrashContainment::receive(const AnswerObservation& observation) { clear(observation.promptBlocks, monotonicNow() - observation.begunAgo); }

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
