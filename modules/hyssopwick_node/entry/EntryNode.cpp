#include "EntryNode.h"

#include "../runtime/OperationalPaths.h"
#include "EntryRequests.h"
#include "HeadWatcher.h"
#include "RolloutCoordinators.h"

#include <thread>

namespace hyssopwick {

namespace {

    constexpr unsigned serverThreads = 2;
    constexpr std::size_t maxRequestBytes = maxRpcBytes + 65536;
    constexpr Milliseconds coordinatorPeriod { 200 };
    constexpr Milliseconds upstreamCheckPeriod { 500 };
    constexpr Milliseconds departureGossipTime { 500 };
    constexpr Milliseconds drainPollPeriod { 50 };
    // Until gossip has told the other entry VMs not to name this one.
    constexpr Milliseconds leavingGossipTime { 1500 };
    constexpr std::size_t addressesPerAnswer = 3;
    constexpr int statusOk = 200;
    constexpr int statusNotReady = 503;

    bool startsWith(const std::string& text, const char* prefix) { return text.rfind(prefix, 0) == 0; }

}

struct EntryNode::State {
    State(ProcessSettings settings, EventLog::Sink sink)
        : context(settings, std::move(sink), static_cast<std::size_t>(settings.workerThreads))
        , keyValue(context.client, context.settings.keyValueAddress, context.settings.vm.id)
        , keyValueLimiter(keyValue, keyValueLimits(context.settings), context.incarnation() ^ stableHash(context.settings.vm.id), context.metrics)
        , members(context)
        , configuration(context)
        , gossip(context, members, configuration)
        , upstreams(context, members)
        , claims(context, members, keyValueLimiter)
        , coordinators(context, members, configuration, keyValueLimiter)
        , requests(context, members, configuration, upstreams, claims)
        , watcher(context, members, configuration, keyValueLimiter)
    {
    }

    static KeyValueLimits keyValueLimits(const ProcessSettings& settings)
    {
        KeyValueLimits limits;
        limits.callsPerSecond = static_cast<double>(settings.keyValueCallsPerSecond);
        limits.burst = limits.callsPerSecond;
        return limits;
    }

    NodeContext context;
    KeyValueClient keyValue;
    KeyValueLimiter keyValueLimiter;
    SharedMemberTable members;
    ActiveConfiguration configuration;
    EntryGossip gossip;
    UpstreamTable upstreams;
    ClaimWriter claims;
    RolloutCoordinators coordinators;
    EntryRequests requests;
    HeadWatcher watcher;
    std::unique_ptr<HttpServer> server;
    std::atomic<bool> isStopping { false };

    void route(HttpRequest request, HttpResponderPointer responder);
    void answerQuery(const HttpRequest& request, HttpResponder& responder);
    void answerAddressQuery(HttpResponder& responder);
    nlohmann::json receiveReport(const nlohmann::json& report);
    nlohmann::json describe();
    void notifyAgents(const Configuration& configuration);
    void applyLeavingRecord(const Configuration& configuration);
    bool hasWorkLeft() const { return requests.inProgress() > 0 || claims.inProgress() > 0 || server->pendingWrites() > 0; }
    bool isReady() { return configuration.mayServe(members.entryDomains()); }
};

void EntryNode::State::answerAddressQuery(HttpResponder& responder)
{
    auto entries = nlohmann::json::array();
    for (const auto& vm : requests.chooseAddresses(addressesPerAnswer))
        entries.push_back({ { "vm", vm.id }, { "address", vm.address }, { "failure_domain", vm.failureDomain } });
    const auto validUntil = unixNow() + addressLifetime.count();
    responder.send(statusOk, nlohmann::json { { "entries", entries }, { "valid_until", validUntil } }.dump(), { { "Content-Type", "application/json" } });
}

nlohmann::json EntryNode::State::describe()
{
    auto live = nlohmann::json::object();
    for (const auto& member : members.with([](const MemberTable& table) { return table.live(); }))
        live[member.vm.id] = { { "state", memberStateName(member.state) }, { "kind", member.vm.kind }, { "region", member.vm.region }, { "failure_domain", member.vm.failureDomain }, { "address", member.vm.address } };
    auto rollouts = nlohmann::json::object();
    for (const auto& [placement, status] : coordinators.status())
        rollouts[placement] = { { "wanted", status.wanted }, { "serving", status.serving }, { "serving_other", status.servingOther }, { "failed", status.failed }, { "halted", status.isHalted } };
    const auto head = configuration.current().head;
    return { { "vm", context.settings.vm.id }, { "revision", head.revision }, { "bundle", head.bundle.hex() }, { "members", live }, { "upstreams", upstreams.describe() }, { "rollouts", rollouts }, { "requests", requests.inProgress() } };
}

void EntryNode::State::answerQuery(const HttpRequest& request, HttpResponder& responder)
{
    const HttpHeaders json { { "Content-Type", "application/json" } };
    if (request.path == "/v1/address")
        answerAddressQuery(responder);
    else if (request.path == "/v1/status")
        responder.send(statusOk, describe().dump(), json);
    else {
        server->exportMetrics(context.metrics);
        answerOperationalPath(request, responder, context.metrics, isReady());
    }
}

void EntryNode::State::route(HttpRequest request, HttpResponderPointer responder)
{
    if (request.method == "POST" && (request.path == "/v1/completions" || startsWith(request.path, "/v1/services/"))) {
        requests.handle(std::move(request), std::move(responder));
        return;
    }
    if (request.path == claimPath) {
        claims.receive(request, std::move(responder));
        return;
    }
    auto shared = std::make_shared<HttpRequest>(std::move(request));
    const bool isQueued = context.pool.submit([this, shared, responder] {
        if (shared->path == rpcPath)
            context.endpoint.handle(*shared, *responder);
        else
            answerQuery(*shared, *responder);
    });
    if (!isQueued)
        responder->send(statusNotReady, "busy\n");
}

nlohmann::json EntryNode::State::receiveReport(const nlohmann::json& report)
{
    const auto member = memberUpdateFromJson(report.value("member", nlohmann::json()));
    if (!member)
        throw std::invalid_argument("report has no member");
    const bool isSuspected = members.with([&](MemberTable& table) {
        table.merge(*member, monotonicNow());
        const auto* known = table.find(member->vm.id);
        return known && known->state >= MemberState::Suspect;
    });
    upstreams.receiveReport(report);
    auto grants = nlohmann::json::array();
    for (const auto& item : report.value("replicas", nlohmann::json::array())) {
        if (!item.is_array() || item.size() != 4)
            continue;
        const ReplicaReport replica { member->vm.id, Digest::fromHex(item[1].get<std::string>()), Digest::fromHex(item[2].get<std::string>()), Digest::fromHex(item[3].get<std::string>()) };
        const auto grant = coordinators.receiveReport(item[0].get<std::string>(), replica);
        if (grant)
            grants.push_back({ { "placement", grant->placement }, { "manifest", grant->manifest.hex() }, { "fence", grant->fencingToken }, { "valid_ms", millisecondsBetween(monotonicNow(), grant->validUntil) } });
    }
    configuration.pullIfNewer(member->vm.address, report.value("revision", ConfigurationRevision { 0 }));
    const auto view = members.with([](const MemberTable& table) { return table.viewDigest(); });
    return { { "revision", configuration.revision() }, { "view", view }, { "suspected", isSuspected }, { "grants", grants } };
}

// Each agent is notified at once by the first entry VM of its rendezvous order; the other entry
// VMs' answers to its next reports carry the revision too.
void EntryNode::State::notifyAgents(const Configuration& current)
{
    const auto entries = members.with([](const MemberTable& table) { return table.liveEntries(false); });
    const nlohmann::json message { { "address", context.settings.vm.address }, { "revision", current.head.revision } };
    for (const auto& [vm, revision] : upstreams.revisions()) {
        if (revision >= current.head.revision || rendezvousFirst(vm, entries) != context.settings.vm.id)
            continue;
        const auto address = members.with([&vm = vm](const MemberTable& table) {
            const auto* member = table.find(vm);
            return member ? member->vm.address : std::string();
        });
        if (!address.empty())
            context.rpc.call(address, "notify", message, monotonicNow() + Milliseconds(800), [](const Outcome<nlohmann::json>&) {});
    }
}

void EntryNode::State::applyLeavingRecord(const Configuration& current)
{
    if (isStopping)
        return;
    const bool isLeaving = current.bundle->isLeaving(context.settings.vm.id);
    members.with([isLeaving](MemberTable& table) { isLeaving ? table.announceLeaving(monotonicNow()) : table.announceAlive(monotonicNow()); });
}

EntryNode::EntryNode(ProcessSettings settings, EventLog::Sink sink)
    : m_state(std::make_unique<State>(std::move(settings), std::move(sink)))
{
}

EntryNode::~EntryNode() { stop(); }

NodeContext& EntryNode::context() { return m_state->context; }

std::uint64_t EntryNode::revision() const { return m_state->configuration.revision(); }

bool EntryNode::considersAlive(const std::string& vm)
{
    return m_state->members.with([&](const MemberTable& table) {
        const auto* member = table.find(vm);
        return member && member->state != MemberState::Dead;
    });
}

Outcome<void> EntryNode::start()
{
    auto& state = *m_state;
    state.members.registerMethods();
    state.configuration.registerMethods();
    state.gossip.registerMethods();
    state.gossip.setLoadHandlers([&state] { return state.requests.load(); }, [&state](const std::string& entry, const EntryLoad& load) { state.requests.recordLoad(entry, load); });
    state.context.endpoint.add("report", [&state](const nlohmann::json& report) { return state.receiveReport(report); });
    state.configuration.onChange([&state](const Configuration& current) {
        state.gossip.announceRevision(current.head.revision);
        state.applyLeavingRecord(current);
        state.notifyAgents(current);
    });
    HttpServerOptions options;
    options.address = state.context.settings.listen;
    options.threads = serverThreads;
    options.maxRequestBytes = maxRequestBytes;
    const auto& settings = state.context.settings;
    options.budget = RequestBudgetLimits::of(static_cast<std::size_t>(settings.memoryBytes), static_cast<std::size_t>(settings.maxDescriptors));
    state.server = std::make_unique<HttpServer>(options, [&state](HttpRequest request, HttpResponderPointer responder) { state.route(std::move(request), std::move(responder)); });
    const auto started = state.server->start();
    if (!started)
        return started;
    const auto& vm = state.context.settings.vm;
    state.context.log.write("process.started", { { "vm", vm.id }, { "kind", vm.kind }, { "region", vm.region }, { "failure_domain", vm.failureDomain }, { "role", "entry" } });
    state.watcher.start();
    state.gossip.start();
    state.requests.start();
    state.context.scheduler.every(coordinatorPeriod, [&state] { state.context.pool.submit([&state] { state.coordinators.advance(); }); });
    state.context.scheduler.every(upstreamCheckPeriod, [&state] { state.upstreams.advance(); });
    return success();
}

void EntryNode::drainAndStop(TimePoint deadline)
{
    auto& state = *m_state;
    const auto& vm = state.context.settings.vm;
    const auto plan = planStop(monotonicNow(), addressLifetime + leavingGossipTime, deadline);
    state.isStopping = true;
    state.requests.beginStop(plan);
    state.members.with([](MemberTable& table) { table.announceLeaving(monotonicNow()); });
    state.context.log.write("process.stopping", { { "vm", vm.id }, { "reason", "planned" }, { "in_flight", std::to_string(state.requests.inProgress()) } });
    state.coordinators.releaseLeases();
    std::this_thread::sleep_until(plan.acceptUntil);
    while (monotonicNow() < deadline && state.hasWorkLeft()) {
        if (monotonicNow() >= plan.abortAt)
            state.requests.abort();
        std::this_thread::sleep_for(drainPollPeriod);
    }
    state.members.with([](MemberTable& table) { table.announceDeparture(monotonicNow()); });
    state.gossip.announceDeparture();
    std::this_thread::sleep_for(departureGossipTime);
    state.context.log.write("process.stopped", { { "vm", vm.id }, { "reason", "planned" }, { "in_flight", std::to_string(state.requests.inProgress()) } });
    stop();
}

void EntryNode::stop()
{
    if (!m_state)
        return;
    m_state->watcher.stop();
    if (m_state->server)
        m_state->server->stop();
    m_state->context.stop();
}

}
