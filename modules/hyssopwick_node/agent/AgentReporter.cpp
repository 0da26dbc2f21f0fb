#include "AgentReporter.h"

#include <algorithm>
#include <cmath>

namespace hyssopwick {

namespace {
    constexpr Milliseconds reportPeriod { 1000 }; // per entry VM
    constexpr Milliseconds reportTimeout { 900 };
    constexpr Milliseconds vmListPeriod { 500 };
    constexpr Milliseconds synchronisePeriod { 700 };
    constexpr Milliseconds maxTimeWithoutAnswer { 3000 };
    constexpr std::size_t minTargets = 8;
    constexpr double upstreamsPerEntryAndKind = 10;
    constexpr std::size_t maxCacheEventsPerReport = 200;
}

AgentReporter::AgentReporter(NodeContext& context, SharedMemberTable& members, ActiveConfiguration& configuration, AgentActivation& activation,
    UpstreamProxy& proxy, AgentWeights& weights)
    : m_context(context)
    , m_members(members)
    , m_configuration(configuration)
    , m_activation(activation)
    , m_proxy(proxy)
    , m_weights(weights)
    , m_vmList(context.client, context.settings.vmListAddress)
    , m_lastAnswerAt(monotonicNow())
{
}

void AgentReporter::start()
{
    m_context.pool.submit([this] { readVmList(); });
    m_context.scheduler.every(vmListPeriod, [this] {
        if (m_members.entries(true).empty() || monotonicNow() > lastAnswerAt() + maxTimeWithoutAnswer)
            m_context.pool.submit([this] { readVmList(); });
    });
    m_context.scheduler.at(monotonicNow(), [this] { reportNext(); });
}

TimePoint AgentReporter::lastAnswerAt() const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_lastAnswerAt;
}

void AgentReporter::readVmList()
{
    const auto listed = m_vmList.read();
    if (listed)
        m_members.mergeListed(listed.value());
}

// Returns the entry VMs to report to: enough that each knows about ten upstreams of this kind (or
// all, if there are fewer), and at least minTargets. The number of upstreams that an entry VM knows
// thus does not grow with the fleet.
std::vector<VmIdentity> AgentReporter::targets()
{
    auto entries = m_members.entries(false);
    const auto sameKind = m_members.with([this](const MemberTable& table) {
        const auto live = table.live();
        return std::count_if(live.begin(), live.end(), [this](const MemberUpdate& member) { return member.vm.kind == m_context.settings.vm.kind; });
    });
    const double entriesNeeded = std::ceil(upstreamsPerEntryAndKind * static_cast<double>(entries.size()) / static_cast<double>(std::max<long>(1, sameKind)));
    const auto count = std::min(entries.size(), std::max(minTargets, static_cast<std::size_t>(entriesNeeded)));
    std::vector<std::string> ids;
    std::map<std::string, VmIdentity> byId;
    for (const auto& entry : entries) {
        ids.push_back(entry.id);
        byId[entry.id] = entry;
    }
    ids = rendezvousOrder(m_context.settings.vm.id, std::move(ids));
    std::vector<VmIdentity> chosen;
    for (const auto& id : ids) {
        if (chosen.size() < count)
            chosen.push_back(byId[id]);
    }
    // The coordinators of this VM's placements need its reports to grant activations.
    for (const auto& [placement, report] : m_activation.reports()) {
        const auto coordinator = rendezvousFirst("coordinator/" + placement, ids);
        const bool isChosen = std::any_of(chosen.begin(), chosen.end(), [&](const VmIdentity& entry) { return entry.id == coordinator; });
        if (!coordinator.empty() && !isChosen)
            chosen.push_back(byId[coordinator]);
    }
    return chosen;
}

void AgentReporter::addCacheEvents(const std::vector<CacheEvent>& events)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_cacheEvents.insert(m_cacheEvents.end(), events.begin(), events.end());
    if (m_cacheEvents.size() > maxCacheEventsPerReport)
        m_cacheEvents.erase(m_cacheEvents.begin(), m_cacheEvents.end() - maxCacheEventsPerReport);
}

nlohmann::json AgentReporter::makeReport(std::size_t targetCount)
{
    nlohmann::json report;
    report["member"] = m_members.with([](const MemberTable& table) { return memberUpdateToJson(table.self()); });
    report["ready"] = m_isReady.load();
    report["targets"] = targetCount;
    report["in_flight"] = m_proxy.inFlight();
    report["capacity"] = m_proxy.capacity();
    report["revision"] = m_configuration.revision();
    const auto [held, wanted] = m_weights.progress();
    report["chunks"] = { held, wanted };
    auto serving = nlohmann::json::array();
    for (const auto& served : m_activation.serving())
        serving.push_back({ served.placement, served.version, served.manifest.hex() });
    report["serving"] = serving;
    auto replicas = nlohmann::json::array();
    for (const auto& [placement, replica] : m_activation.reports())
        replicas.push_back({ placement, replica.serving.hex(), replica.staged.hex(), replica.failed.hex() });
    report["replicas"] = replicas;
    auto events = nlohmann::json::array();
    std::lock_guard<std::mutex> lock(m_mutex);
    for (const auto& event : m_cacheEvents)
        events.push_back({ event.prefix, event.isCached });
    if (!events.empty())
        report["cache"] = events;
    return report;
}

void AgentReporter::reportTo(const VmIdentity& entry, std::size_t targetCount)
{
    const auto sentAt = monotonicNow();
    m_context.rpc.call(entry.address, "report", makeReport(targetCount), sentAt + reportTimeout,
        [this, entry, sentAt](Outcome<nlohmann::json> answer) { receive(entry, answer, sentAt); });
}

void AgentReporter::receive(const VmIdentity& entry, const Outcome<nlohmann::json>& answer, TimePoint sentAt)
{
    if (!answer || !answer.value().is_object()) {
        m_context.metrics.count("report_failures_total", answer ? "malformed" : errorCodeName(answer.error().code));
        return;
    }
    const auto& json = answer.value();
    bool isSynchroniseDue = false;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        const auto now = monotonicNow();
        m_lastAnswerAt = now;
        const auto ownView = m_members.with([](const MemberTable& table) { return table.viewDigest(); });
        isSynchroniseDue = json.value("view", std::uint64_t { 0 }) != ownView && now > m_synchronisedAt + synchronisePeriod;
        if (isSynchroniseDue)
            m_synchronisedAt = now;
    }
    const bool hasDeparted = m_members.with([](const MemberTable& table) { return table.self().state == MemberState::Dead; });
    if (hasDeparted)
        return;
    if (json.value("suspected", false)) {
        m_members.with([](MemberTable& table) { table.raiseIncarnation(monotonicNow()); });
        reportTo(entry, targets().size());
    }
    if (isSynchroniseDue)
        m_members.synchronise(entry.address);
    m_configuration.recordPeerRevision(entry.id, entry.failureDomain, json.value("revision", ConfigurationRevision { 0 }));
    m_configuration.pullIfNewer(entry.address, json.value("revision", ConfigurationRevision { 0 }));
    if (!json.contains("grants") || !json["grants"].is_array())
        return;
    for (const auto& item : json["grants"]) {
        // Counting the validity from before the report was sent makes it end early, never late.
        m_activation.receiveGrant({ item.value("placement", ""), Digest::fromHex(item.value("manifest", "")), m_context.settings.vm.id,
            item.value("fence", std::uint64_t { 0 }), sentAt + Milliseconds(item.value("valid_ms", 0)) });
    }
    if (!json["grants"].empty())
        m_context.pool.submit([this] { m_activation.advance(); });
}

void AgentReporter::reportNext()
{
    const auto all = targets();
    if (!all.empty()) {
        std::size_t index = 0;
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            index = m_nextTarget++ % all.size();
            if (index == 0)
                m_cacheEvents.clear();
        }
        reportTo(all[index], all.size());
    }
    const auto period = reportPeriod / static_cast<std::int64_t>(std::max<std::size_t>(1, all.size()));
    m_context.scheduler.at(monotonicNow() + std::max(period, Milliseconds(20)), [this] { reportNext(); });
}

void AgentReporter::reportNow()
{
    const auto all = targets();
    for (const auto& entry : all)
        reportTo(entry, all.size());
}

}
