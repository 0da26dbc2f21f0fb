#include "AgentNode.h"

#include "../runtime/OperationalPaths.h"
#include "AgentReporter.h"

#include <algorithm>
#include <thread>

namespace hyssopwick {

namespace {

    constexpr std::size_t agentThreads = 6;
    constexpr unsigned serverThreads = 2;
    constexpr std::size_t maxChunkBytes = std::size_t(65) << 20;
    constexpr Milliseconds upstreamPollPeriod { 250 };
    constexpr Milliseconds drainPollPeriod { 50 };
    constexpr Milliseconds refusalTimeAfterDrain { 1500 };
    constexpr Milliseconds finalReportTime { 200 };
    constexpr Milliseconds maxSendDrainTime { 3000 };
    constexpr int statusNotReady = 503;

    bool startsWith(const std::string& text, const char* prefix) { return text.rfind(prefix, 0) == 0; }

}

struct AgentNode::State {
    State(ProcessSettings settings, EventLog::Sink sink)
        : context(std::move(settings), std::move(sink), agentThreads)
        , members(context)
        , configuration(context)
        , weights(context)
        , proxy(context)
        , activation(context, weights, proxy)
        , reporter(context, members, configuration, activation, proxy, weights)
        , upstream(context)
    {
    }

    NodeContext context;
    SharedMemberTable members;
    ActiveConfiguration configuration;
    AgentWeights weights;
    UpstreamProxy proxy;
    AgentActivation activation;
    AgentReporter reporter;
    UpstreamClient upstream;
    std::unique_ptr<HttpServer> server;
    std::mutex applyMutex; // one applyPlacements() at a time
    std::uint64_t appliedView = 0;
    ConfigurationRevision appliedRevision = 0;
    std::atomic<bool> isPolling { false };
    std::atomic<bool> isStopping { false };
    std::uint64_t lastCacheEvent = 0;
    bool isModelWorker = false;

    void route(HttpRequest request, HttpResponderPointer responder);
    void pollUpstream();
    void applyPlacements();
    bool isReady();
};

bool AgentNode::State::isReady() { return configuration.mayServe(members.entryDomains()); }

void AgentNode::State::route(HttpRequest request, HttpResponderPointer responder)
{
    if (startsWith(request.path, "/door/")) {
        proxy.handle(std::move(request), std::move(responder));
        return;
    }
    auto shared = std::make_shared<HttpRequest>(std::move(request));
    const bool isQueued = context.pool.submit([this, shared, responder] {
        if (shared->path == rpcPath)
            context.endpoint.handle(*shared, *responder);
        else if (shared->method == "PUT" && startsWith(shared->path, "/chunks/"))
            weights.receiveChunk(*shared, *responder);
        else if (startsWith(shared->path, "/manifests/"))
            weights.serveManifest(*shared, *responder);
        else if (startsWith(shared->path, "/weights/"))
            weights.serveWeights(*shared, *responder);
        else {
            server->exportMetrics(context.metrics);
            answerOperationalPath(*shared, *responder, context.metrics, isReady());
        }
    });
    if (!isQueued)
        responder->send(statusNotReady, "busy\n");
}

void AgentNode::State::pollUpstream()
{
    if (isPolling.exchange(true))
        return;
    const auto load = upstream.load();
    reporter.setReady(load.has_value() && isReady());
    if (load)
        proxy.setCapacity(load.value().capacity);
    if (load && isModelWorker) {
        const auto events = upstream.cacheEvents(lastCacheEvent);
        if (events && !events.value().empty()) {
            lastCacheEvent = events.value().back().sequence;
            reporter.addCacheEvents(events.value());
        }
    }
    applyPlacements();
    const auto before = activation.serving();
    activation.advance();
    weights.setRetained(activation.manifestsInService());
    if (activation.serving() != before)
        reporter.reportNow();
    isPolling = false;
}

// Derives from the active configuration and the live members what this VM should hold and
// serve. Does nothing if neither has changed since the last time.
void AgentNode::State::applyPlacements()
{
    std::lock_guard<std::mutex> lock(applyMutex);
    if (!isReady())
        return;
    const auto current = configuration.current();
    const auto view = members.with([](const MemberTable& table) { return table.viewDigest(); });
    if (view == appliedView && current.head.revision == appliedRevision)
        return;
    appliedView = view;
    appliedRevision = current.head.revision;
    const auto& self = context.settings.vm;
    const bool isLeaving = current.bundle->isLeaving(self.id) || isStopping;
    if (isLeaving != proxy.isLeaving()) {
        isLeaving ? proxy.leave() : proxy.cancelLeaving();
        members.with([isLeaving](MemberTable& table) { isLeaving ? table.announceLeaving(monotonicNow()) : table.announceAlive(monotonicNow()); });
        context.log.write(isLeaving ? "upstream.leaving" : "upstream.entering", { { "vm", self.id }, { "because", "record" } });
        reporter.reportNow();
    }
    std::vector<PlacementCandidate> candidates;
    std::map<std::string, MemberUpdate> byId;
    for (const auto& member : members.with([](const MemberTable& table) { return table.live(); })) {
        byId[member.vm.id] = member;
        candidates.push_back({ member.vm, member.state == MemberState::Leaving || current.bundle->isLeaving(member.vm.id) });
    }
    isModelWorker = false;
    std::vector<WantedWeights> wanted;
    std::vector<PlacementRecord> placements;
    for (const auto& placement : current.bundle->all<PlacementRecord>()) {
        isModelWorker = isModelWorker || placement.workerKind == self.kind;
        const auto replicas = chooseReplicas(*current.bundle, placement, candidates);
        if (std::find(replicas.begin(), replicas.end(), self.id) == replicas.end())
            continue;
        WantedWeights item { placement, {} };
        for (const auto& id : replicas) {
            const auto& member = byId[id];
            if (id != self.id)
                item.peers.push_back({ { id, member.vm.region, member.vm.failureDomain, member.incarnation }, member.vm.address });
        }
        wanted.push_back(std::move(item));
        placements.push_back(placement);
    }
    activation.setWanted(placements);
    weights.setRetained(activation.manifestsInService());
    weights.setWanted(wanted);
}

AgentNode::AgentNode(ProcessSettings settings, EventLog::Sink sink)
    : m_state(std::make_unique<State>(std::move(settings), std::move(sink)))
{
}

AgentNode::~AgentNode() { stop(); }

NodeContext& AgentNode::context() { return m_state->context; }

Outcome<void> AgentNode::start()
{
    auto& state = *m_state;
    state.members.registerMethods();
    state.configuration.registerMethods();
    state.weights.registerMethods();
    state.context.endpoint.add("ping", [&state](const nlohmann::json&) -> nlohmann::json { return { { "revision", state.configuration.revision() } }; });
    state.context.endpoint.add("notify", [&state](const nlohmann::json& parameters) -> nlohmann::json {
        state.configuration.pullIfNewer(parameters.value("address", ""), parameters.value("revision", ConfigurationRevision { 0 }));
        return nlohmann::json::object();
    });
    state.weights.onStaged([&state] { state.reporter.reportNow(); });
    state.configuration.onChange([&state](const Configuration&) { state.context.pool.submit([&state] { state.applyPlacements(); }); });
    HttpServerOptions options;
    options.address = state.context.settings.listen;
    options.threads = serverThreads;
    options.maxRequestBytes = maxChunkBytes;
    const auto& settings = state.context.settings;
    options.budget = RequestBudgetLimits::of(static_cast<std::size_t>(settings.memoryBytes), static_cast<std::size_t>(settings.maxDescriptors));
    state.server = std::make_unique<HttpServer>(options, [&state](HttpRequest request, HttpResponderPointer responder) { state.route(std::move(request), std::move(responder)); });
    const auto started = state.server->start();
    if (!started)
        return started;
    const auto& vm = state.context.settings.vm;
    state.context.log.write("process.started", { { "vm", vm.id }, { "kind", vm.kind }, { "region", vm.region }, { "failure_domain", vm.failureDomain }, { "role", "agent" } });
    state.reporter.start();
    state.context.scheduler.every(upstreamPollPeriod, [&state] { state.context.pool.submit([&state] { state.pollUpstream(); }); });
    return success();
}

void AgentNode::drainAndStop(TimePoint deadline)
{
    auto& state = *m_state;
    const auto& vm = state.context.settings.vm;
    state.isStopping = true;
    state.proxy.leave();
    state.members.with([](MemberTable& table) { table.announceLeaving(monotonicNow()); });
    state.context.log.write("process.stopping", { { "vm", vm.id }, { "reason", "planned" }, { "in_flight", std::to_string(state.proxy.inFlight()) } });
    state.context.log.write("upstream.leaving", { { "vm", vm.id }, { "because", "signal" } });
    state.reporter.reportNow();
    const auto sendDeadline = std::min(deadline, monotonicNow() + maxSendDrainTime);
    while (monotonicNow() < deadline && (state.proxy.inFlight() > 0 || (state.weights.isSending() && monotonicNow() < sendDeadline)))
        std::this_thread::sleep_for(drainPollPeriod);
    // Entry VMs that do not know of the departure yet still send calls; the answer "not run"
    // lets them retry elsewhere.
    std::this_thread::sleep_for(refusalTimeAfterDrain);
    state.members.with([](MemberTable& table) { table.announceDeparture(monotonicNow()); });
    state.reporter.reportNow();
    std::this_thread::sleep_for(finalReportTime);
    state.context.log.write("process.stopped", { { "vm", vm.id }, { "reason", "planned" }, { "in_flight", std::to_string(state.proxy.inFlight()) } });
    stop();
}

void AgentNode::stop()
{
    if (!m_state)
        return;
    if (m_state->server)
        m_state->server->stop();
    m_state->context.stop();
}

}
