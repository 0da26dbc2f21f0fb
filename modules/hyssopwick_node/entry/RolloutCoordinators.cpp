#include "RolloutCoordinators.h"

namespace hyssopwick {

namespace {

    std::string leaseKey(const std::string& placement) { return "hyssopwick/lease/coordinator/" + placement; }

    std::string summaryKey(const std::string& placement) { return "hyssopwick/rollout/" + placement; }

}

RolloutCoordinators::RolloutCoordinators(NodeContext& context, SharedMemberTable& members, ActiveConfiguration& configuration, KeyValueLimiter& keyValue)
    : m_context(context)
    , m_members(members)
    , m_configuration(configuration)
    , m_keyValue(keyValue)
{
}

// Derives from the configuration and the live members which placements this entry VM
// coordinates and which VMs should serve each.
void RolloutCoordinators::refresh()
{
    const auto bundle = m_configuration.current().bundle;
    const auto entries = m_members.with([](const MemberTable& table) { return table.liveEntries(false); });
    std::vector<PlacementCandidate> candidates;
    for (const auto& member : m_members.with([](const MemberTable& table) { return table.live(); }))
        candidates.push_back({ member.vm, member.state == MemberState::Leaving || bundle->isLeaving(member.vm.id) });
    const auto now = monotonicNow();
    std::lock_guard<std::mutex> lock(m_mutex);
    for (auto& [name, rollout] : m_rollouts)
        rollout.lease.setWanted(false);
    for (const auto& placement : bundle->all<PlacementRecord>()) {
        const bool isCoordinator = !m_isStopping && rendezvousFirst("coordinator/" + placement.name, entries) == m_context.settings.vm.id;
        auto found = m_rollouts.find(placement.name);
        if (!isCoordinator && found == m_rollouts.end())
            continue;
        if (found == m_rollouts.end())
            found = m_rollouts.try_emplace(placement.name, placement, m_context.uniqueId(), now).first;
        auto& rollout = found->second;
        rollout.lease.setWanted(isCoordinator);
        if (rollout.decision.placement() != placement) {
            rollout.decision.setPlacement(placement);
            rollout.isCompletionLogged = false;
            rollout.isHaltLogged = false;
        }
        rollout.decision.setReplicas(chooseReplicas(*bundle, placement, candidates));
    }
}

void RolloutCoordinators::advance()
{
    if (m_isAdvancing.exchange(true))
        return;
    refresh();
    std::vector<std::string> names;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        for (const auto& [name, rollout] : m_rollouts)
            names.push_back(name);
    }
    for (const auto& name : names)
        stepLease(name);
    m_isAdvancing = false;
}

void RolloutCoordinators::stepLease(const std::string& placement)
{
    LeaseStep step = LeaseStep::Wait;
    std::string holder;
    KeyRevision revision = 0;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        auto& rollout = m_rollouts.at(placement);
        step = rollout.lease.step(monotonicNow());
        holder = rollout.lease.holder();
        revision = rollout.lease.fencingToken();
        logProgress(placement, rollout);
    }
    if (step == LeaseStep::Wait)
        return;
    const auto sentAt = monotonicNow();
    if (step == LeaseStep::Release) {
        const auto removed = m_keyValue.remove(leaseKey(placement), revision, KeyValuePriority::Lease);
        std::lock_guard<std::mutex> lock(m_mutex);
        m_rollouts.at(placement).lease.recordReleased(monotonicNow());
        m_context.log.write("lease.given-up", { { "lease", placement }, { "known", removed ? "yes" : "no" } });
        return;
    }
    const auto expected = step == LeaseStep::Renew ? revision : 0;
    const auto written = m_keyValue.swap(leaseKey(placement), expected, holder, LeaseDecision::timeToLive, KeyValuePriority::Lease);
    std::optional<KeyRevision> held;
    if (written && written.value().isSwapped)
        held = written.value().revision;
    else if (!written && written.error().code == ErrorCode::UnknownResult) {
        // The write may have taken effect although its answer was lost.
        const auto read = m_keyValue.read(leaseKey(placement), KeyValuePriority::Lease);
        if (read && read.value().value == holder)
            held = read.value().revision;
    }
    std::lock_guard<std::mutex> lock(m_mutex);
    auto& rollout = m_rollouts.at(placement);
    if (!held) {
        written ? rollout.lease.recordLost(monotonicNow()) : rollout.lease.recordFailure(monotonicNow());
        return;
    }
    const bool isNew = step == LeaseStep::Acquire;
    rollout.lease.recordWritten(*held, sentAt);
    if (isNew) {
        m_context.log.write("lease.acquired", { { "lease", placement }, { "fence", std::to_string(*held) } });
        rollout.wasHeld = true;
    }
}

void RolloutCoordinators::logProgress(const std::string& placement, CoordinatedRollout& rollout)
{
    if (!rollout.lease.isHeld(monotonicNow()))
        return;
    const auto status = rollout.decision.status();
    const auto& record = rollout.decision.placement();
    if (status.isHalted && !rollout.isHaltLogged) {
        rollout.isHaltLogged = true;
        m_context.log.write("rollout.halted", { { "placement", placement }, { "version", record.version }, { "failed", std::to_string(status.failed) } });
    }
    if (status.wanted > 0 && status.serving >= status.wanted && !rollout.isCompletionLogged) {
        rollout.isCompletionLogged = true;
        m_context.log.write("rollout.complete", { { "placement", placement }, { "version", record.version }, { "manifest", record.manifest.hex() }, { "replicas", std::to_string(status.serving) } });
        m_context.pool.submit([this, placement, record, status] { writeSummary(placement, record, status); });
    }
}

void RolloutCoordinators::writeSummary(const std::string& placement, const PlacementRecord& record, const RolloutStatus& status)
{
    const nlohmann::json summary { { "version", record.version }, { "manifest", record.manifest.hex() }, { "replicas", status.serving },
        { "revision", m_configuration.revision() }, { "at", unixNow() } };
    const auto stored = m_keyValue.read(summaryKey(placement), KeyValuePriority::Background);
    if (!stored)
        return;
    const auto written = m_keyValue.swap(summaryKey(placement), stored.value().revision, summary.dump(), Milliseconds(0), KeyValuePriority::Background);
    if (!written || !written.value().isSwapped)
        m_context.metrics.count("summary_failures_total", written ? "conflict" : errorCodeName(written.error().code));
}

std::optional<ActivationGrant> RolloutCoordinators::receiveReport(const std::string& placement, const ReplicaReport& report)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_rollouts.find(placement);
    if (found == m_rollouts.end())
        return std::nullopt;
    auto& rollout = found->second;
    const auto now = monotonicNow();
    rollout.decision.recordReport(report, now);
    if (!rollout.lease.isHeld(now))
        return std::nullopt;
    const auto grant = rollout.decision.decide(report.vm, rollout.lease.fencingToken(), rollout.lease.validUntil(), now);
    if (grant)
        m_context.log.write("activation.granted", { { "placement", placement }, { "vm", report.vm }, { "manifest", grant->manifest.hex() }, { "fence", std::to_string(grant->fencingToken) } });
    return grant;
}

void RolloutCoordinators::releaseLeases()
{
    m_isStopping = true;
    advance();
}

std::map<std::string, RolloutStatus> RolloutCoordinators::status()
{
    std::map<std::string, RolloutStatus> status;
    std::lock_guard<std::mutex> lock(m_mutex);
    const auto now = monotonicNow();
    for (const auto& [name, rollout] : m_rollouts) {
        if (rollout.lease.isHeld(now))
            status[name] = rollout.decision.status();
    }
    return status;
}

}
