#include "RolloutCoordinators.h"

namespace hyssopwick {

namespace {

    std::string leaseKey(const std::string& placement) { return "hyssopwick/lease/coordinator/" + placement; }

    std::string summaryKey(const std::string& placement) { return "hyssopwick/rollout/" + placement; }

}

RolloutCoordinators::RolloutCoordinators(NodeContext& context, MemberHolder& members, ConfigurationHolder& configuration, KeyValueLimiter& gate)
    : m_context(context)
    , m_members(members)
    , m_configuration(configuration)
    , m_gate(gate)
{
}

// Follows the configuration and the live members: which placements fall to this
// entry VM, and which VMs should serve each.
void RolloutCoordinators::refresh()
{
    const auto bundle = m_configuration.current().bundle;
    const auto entries = m_members.with([](const MemberTable& table) { return table.liveEntries(false); });
    std::vector<PlacementCandidate> candidates;
    for (const auto& member : m_members.with([](const MemberTable& table) { return table.live(); }))
        candidates.push_back({ member.vm, member.state == MemberState::Leaving || bundle->isLeaving(member.vm.id) });
    const auto now = monotonicNow();
    std::lock_guard<std::mutex> lock(m_mutex);
    for (auto& [name, coordinated] : m_coordinated)
        coordinated.lease.setWanted(false);
    for (const auto& placement : bundle->all<PlacementRecord>()) {
        const bool isOwn = !m_isStopping && rendezvousFirst("coordinator/" + placement.name, entries) == m_context.settings.vm.id;
        auto found = m_coordinated.find(placement.name);
        if (!isOwn && found == m_coordinated.end())
            continue;
        if (found == m_coordinated.end())
            found = m_coordinated.try_emplace(placement.name, placement, m_context.uniqueId(), now).first;
        auto& coordinated = found->second;
        coordinated.lease.setWanted(isOwn);
        if (coordinated.rollout.placement() != placement) {
            coordinated.rollout.setPlacement(placement);
            coordinated.wasCompleteLogged = false;
            coordinated.isHaltLogged = false;
        }
        coordinated.rollout.setReplicas(chooseReplicas(*bundle, placement, candidates));
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
        for (const auto& [name, coordinated] : m_coordinated)
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
        auto& coordinated = m_coordinated.at(placement);
        step = coordinated.lease.step(monotonicNow());
        holder = coordinated.lease.holder();
        revision = coordinated.lease.fencingToken();
        logProgress(placement, coordinated);
    }
    if (step == LeaseStep::Wait)
        return;
    const auto sentAt = monotonicNow();
    if (step == LeaseStep::Release) {
        const auto removed = m_gate.remove(leaseKey(placement), revision, KeyValuePriority::Lease);
        std::lock_guard<std::mutex> lock(m_mutex);
        m_coordinated.at(placement).lease.recordReleased(monotonicNow());
        m_context.log.write("lease.given-up", { { "lease", placement }, { "known", removed ? "yes" : "no" } });
        return;
    }
    const auto expected = step == LeaseStep::Renew ? revision : 0;
    const auto written = m_gate.swap(leaseKey(placement), expected, holder, LeaseDecision::timeToLive, KeyValuePriority::Lease);
    std::optional<KeyRevision> held;
    if (written && written.value().isSwapped)
        held = written.value().revision;
    else if (!written && written.error().code == ErrorCode::UnknownResult) {
        // The write may have taken effect although its answer was lost.
        const auto read = m_gate.read(leaseKey(placement), KeyValuePriority::Lease);
        if (read && read.value().value == holder)
            held = read.value().revision;
    }
    std::lock_guard<std::mutex> lock(m_mutex);
    auto& coordinated = m_coordinated.at(placement);
    if (!held) {
        written ? coordinated.lease.recordLost(monotonicNow()) : coordinated.lease.recordFailure(monotonicNow());
        return;
    }
    const bool isNew = step == LeaseStep::Acquire;
    coordinated.lease.recordWritten(*held, sentAt);
    if (isNew) {
        m_context.log.write("lease.acquired", { { "lease", placement }, { "fence", std::to_string(*held) } });
        coordinated.wasHeld = true;
    }
}

void RolloutCoordinators::logProgress(const std::string& placement, Coordinated& coordinated)
{
    if (!coordinated.lease.isHeld(monotonicNow()))
        return;
    const auto status = coordinated.rollout.status();
    const auto& record = coordinated.rollout.placement();
    if (status.isHalted && !coordinated.isHaltLogged) {
        coordinated.isHaltLogged = true;
        m_context.log.write("rollout.halted", { { "placement", placement }, { "version", record.version }, { "failed", std::to_string(status.failed) } });
    }
    if (status.wanted > 0 && status.serving >= status.wanted && !coordinated.wasCompleteLogged) {
        coordinated.wasCompleteLogged = true;
        m_context.log.write("rollout.complete", { { "placement", placement }, { "version", record.version }, { "manifest", record.manifest.hex() }, { "replicas", std::to_string(status.serving) } });
        m_context.pool.submit([this, placement, record, status] { writeSummary(placement, record, status); });
    }
}

void RolloutCoordinators::writeSummary(const std::string& placement, const PlacementRecord& record, const RolloutStatus& status)
{
    const nlohmann::json summary { { "version", record.version }, { "manifest", record.manifest.hex() }, { "replicas", status.serving },
        { "revision", m_configuration.revision() }, { "at", unixNow() } };
    const auto known = m_gate.read(summaryKey(placement), KeyValuePriority::Background);
    if (!known)
        return;
    const auto written = m_gate.swap(summaryKey(placement), known.value().revision, summary.dump(), Milliseconds(0), KeyValuePriority::Background);
    if (!written || !written.value().isSwapped)
        m_context.metrics.count("summary_failures_total", written ? "conflict" : errorCodeName(written.error().code));
}

std::optional<ActivationGrant> RolloutCoordinators::receiveReport(const std::string& placement, const ReplicaReport& report)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_coordinated.find(placement);
    if (found == m_coordinated.end())
        return std::nullopt;
    auto& coordinated = found->second;
    const auto now = monotonicNow();
    coordinated.rollout.recordReport(report, now);
    if (!coordinated.lease.isHeld(now))
        return std::nullopt;
    const auto grant = coordinated.rollout.decide(report.vm, coordinated.lease.fencingToken(), coordinated.lease.validUntil(), now);
    if (grant)
        m_context.log.write("activation.granted", { { "placement", placement }, { "vm", report.vm }, { "manifest", grant->manifest.hex() }, { "fence", std::to_string(grant->fencingToken) } });
    return grant;
}

void RolloutCoordinators::giveUp()
{
    m_isStopping = true;
    advance();
}

std::map<std::string, RolloutStatus> RolloutCoordinators::status()
{
    std::map<std::string, RolloutStatus> status;
    std::lock_guard<std::mutex> lock(m_mutex);
    const auto now = monotonicNow();
    for (const auto& [name, coordinated] : m_coordinated) {
        if (coordinated.lease.isHeld(now))
            status[name] = coordinated.rollout.status();
    }
    return status;
}

}
