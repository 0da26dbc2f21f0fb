#include "UpstreamTable.h"

namespace hyssopwick {

namespace {
    constexpr Milliseconds silenceBeforeProbe { 3000 };
    constexpr Milliseconds probeTimeout { 900 };
    constexpr Milliseconds removalAge { 60'000 };
    constexpr Milliseconds maxReportAge { 4000 };

    std::vector<ServedVersion> parseServing(const nlohmann::json& report)
    {
        std::vector<ServedVersion> serving;
        for (const auto& item : report.value("serving", nlohmann::json::array())) {
            if (item.is_array() && item.size() == 3)
                serving.push_back({ item[0].get<std::string>(), item[1].get<std::string>(), Digest::fromHex(item[2].get<std::string>()) });
        }
        return serving;
    }
}

UpstreamTable::UpstreamTable(NodeContext& context, SharedMemberTable& members)
    : m_context(context)
    , m_members(members)
    , m_random(stableHash(context.settings.vm.id) ^ context.incarnation())
{
}

void UpstreamTable::receiveReport(const nlohmann::json& json)
{
    const auto member = memberUpdateFromJson(json.value("member", nlohmann::json()));
    if (!member) {
        m_context.metrics.count("peer_refusals_total", "malformed-report");
        return;
    }
    UpstreamReport report;
    report.vm = member->vm;
    report.incarnation = member->incarnation;
    report.isLeaving = member->state == MemberState::Leaving;
    report.isReady = json.value("ready", false);
    report.inFlight = json.value("in_flight", std::int64_t { 0 });
    report.capacity = json.value("capacity", std::int64_t { 1 });
    report.serving = parseServing(json);
    std::lock_guard<std::mutex> lock(m_mutex);
    const auto now = monotonicNow();
    m_routes.recordReport(report, now);
    auto& known = m_upstreams[report.vm.id];
    if (report.isLeaving && !known.isLeaving)
        m_context.log.write("upstream.seen-leaving", { { "vm", report.vm.id } });
    known.summary = { { "address", report.vm.address }, { "kind", report.vm.kind }, { "region", report.vm.region }, { "failure_domain", report.vm.failureDomain },
        { "leaving", report.isLeaving }, { "ready", report.isReady }, { "in_flight", report.inFlight }, { "capacity", report.capacity },
        { "serving", json.value("serving", nlohmann::json::array()) }, { "chunks", json.value("chunks", nlohmann::json::array()) }, { "revision", json.value("revision", ConfigurationRevision { 0 }) } };
    known.revision = json.value("revision", ConfigurationRevision { 0 });
    known.reportTargets = std::max<std::size_t>(1, json.value("targets", std::size_t { 1 }));
    known.capacity = report.capacity;
    known.kind = report.vm.kind;
    known.reportedAt = now;
    known.isProbed = false;
    known.isLeaving = report.isLeaving;
    for (const auto& event : json.value("cache", nlohmann::json::array())) {
        if (event.is_array() && event.size() == 2)
            m_routes.recordCacheEvent(report.vm.id, event[0].get<std::uint64_t>(), event[1].get<bool>());
    }
}

std::optional<Route> UpstreamTable::choose(const RouteQuery& query, const Digest& request)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    auto route = m_routes.choose(query, m_random, monotonicNow());
    if (route)
        m_runningRequests[route->vm].insert(request);
    return route;
}

void UpstreamTable::recordFinished(const std::string& vm, const Digest& request, std::int64_t inFlight)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_routes.recordFinished(vm);
    if (inFlight >= 0)
        m_routes.recordLoad(vm, inFlight, monotonicNow());
    auto& running = m_runningRequests[vm];
    const auto found = running.find(request);
    if (found != running.end())
        running.erase(found);
}

void UpstreamTable::recordFailure(const std::string& vm, const Digest& request, bool wasAlone, bool mayHaveCrashed)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    const auto now = monotonicNow();
    m_routes.recordFailure(vm, now);
    if (mayHaveCrashed)
        m_suspicion.recordCrash({ request }, wasAlone, now);
}

void UpstreamTable::recordSuccess(const Digest& request)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_suspicion.recordFinished(request);
}

void UpstreamTable::recordLeaving(const std::string& vm)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_routes.recordLeaving(vm);
}

CrashVerdict UpstreamTable::verdict(const Digest& request)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_suspicion.verdict(request, monotonicNow());
}

std::map<Digest, Milliseconds> UpstreamTable::refusedRequests()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_suspicion.refused(monotonicNow());
}

void UpstreamTable::mergeRefused(const std::map<Digest, Milliseconds>& refused)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    for (const auto& [request, remaining] : refused)
        m_suspicion.mergeRefused(request, remaining, monotonicNow());
}

UpstreamCapacity UpstreamTable::capacityOf(const std::string& workerKind)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    const auto now = monotonicNow();
    UpstreamCapacity capacity;
    for (const auto& [vm, known] : m_upstreams) {
        if (known.kind != workerKind || known.isLeaving || now >= known.reportedAt + maxReportAge)
            continue;
        capacity.total += static_cast<double>(known.capacity);
        capacity.evenShare += static_cast<double>(known.capacity) / static_cast<double>(known.reportTargets);
    }
    return capacity;
}

void UpstreamTable::advance()
{
    std::vector<std::string> toProbe;
    const auto dead = m_members.with([](const MemberTable& table) { return table.dead(); });
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        const auto now = monotonicNow();
        for (auto known = m_upstreams.begin(); known != m_upstreams.end();) {
            auto& [vm, state] = *known;
            if (now > state.reportedAt + removalAge || dead.count(vm) != 0) {
                m_routes.remove(vm);
                m_runningRequests.erase(vm);
                known = m_upstreams.erase(known);
                continue;
            }
            if (now > state.reportedAt + silenceBeforeProbe && !state.isProbed) {
                state.isProbed = true;
                toProbe.push_back(vm);
            }
            ++known;
        }
    }
    for (const auto& vm : toProbe)
        probe(vm);
}

// A missing report alone does not make a member suspect: the agent may report to other entry
// VMs now.
void UpstreamTable::probe(const std::string& vm)
{
    const auto address = m_members.with([&](const MemberTable& table) {
        const auto* member = table.find(vm);
        return member && member->state < MemberState::Suspect ? member->vm.address : std::string();
    });
    if (address.empty())
        return;
    m_context.rpc.call(address, "ping", nlohmann::json::object(), monotonicNow() + probeTimeout, [this, vm](const Outcome<nlohmann::json>& answer) {
        if (!answer && m_members.with([&](MemberTable& table) { return table.mark(vm, MemberState::Suspect, monotonicNow()); }))
            m_context.log.write("member.suspected", { { "vm", vm } });
        std::lock_guard<std::mutex> lock(m_mutex);
        const auto known = m_upstreams.find(vm);
        if (known != m_upstreams.end())
            known->second.isProbed = false;
    });
}

std::map<std::string, ConfigurationRevision> UpstreamTable::revisions()
{
    std::map<std::string, ConfigurationRevision> revisions;
    std::lock_guard<std::mutex> lock(m_mutex);
    for (const auto& [vm, known] : m_upstreams)
        revisions[vm] = known.revision;
    return revisions;
}

nlohmann::json UpstreamTable::describe()
{
    auto description = nlohmann::json::object();
    std::lock_guard<std::mutex> lock(m_mutex);
    const auto now = monotonicNow();
    for (const auto& [vm, known] : m_upstreams) {
        description[vm] = known.summary;
        description[vm]["report_age_ms"] = millisecondsBetween(known.reportedAt, now);
    }
    return description;
}

bool UpstreamTable::servesAnywhere(const std::string& placement)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_routes.servesAnywhere(placement);
}

}
