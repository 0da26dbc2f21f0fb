#include "AgentGateway.h"

namespace hyssopwick {

namespace {

    constexpr const char* agentKind = "agent";
    // The engine is on the same VM, so polling it is cheap.
    constexpr Milliseconds reportPeriod { 80 };
    constexpr Milliseconds loadingReportPeriod { 50 };
    constexpr Milliseconds failedReportDelay { 50 };
    constexpr unsigned failuresToDeclareDown = 2;
    constexpr Milliseconds announcementPeriod { 400 };
    // The version that engines have loaded before any is published.
    constexpr std::uint64_t firstVersion = 1;
    // An older version is loaded this long before its bound if the newest is not complete.
    constexpr Milliseconds olderVersionLead { 3500 };
    // Between the latest order to load and the bound on the version.
    constexpr Milliseconds orderMargin { 500 };
    constexpr Milliseconds unpublishedBound { 3600000 };

    VmIdentity identityOf(const GatewayContext& context)
    {
        const auto& description = context.description;
        return { description.node, context.internalAddress(), description.region, description.failureDomain, agentKind };
    }

    std::string ipOf(const std::string& address) { return address.substr(0, address.find(':')); }

}

AgentGateway::AgentGateway(GatewayContext& context)
    : m_context(context)
    , m_peerSocket(context)
    , m_view(context, identityOf(context), false)
    , m_engine(context)
    , m_retirement(context, m_engine)
    , m_internal(
          context.loop, [this](const ServerExchangePointer& exchange) { serveInternal(exchange); }, HttpListener::limitsWithoutBodies, context.requestBudget)
    , m_metrics(
          context.loop, [this](const ServerExchangePointer& exchange) { serveMetrics(exchange); }, HttpListener::limitsWithoutBodies, context.requestBudget)
    , m_budgetReport(context)
    , m_updates(context, m_peerSocket)
    , m_pollTimer(context.loop)
    , m_retirementTimer(context.loop)
    , m_registry(context.description.drainBound)
    , m_eligibility(context.description)
{
    m_context.applyRequestLimits();
    m_budgetReport.add("internal", m_internal);
    m_budgetReport.add("metrics", m_metrics);
}

Outcome<void> AgentGateway::start()
{
    const auto& description = m_context.description;
    BOOST_OUTCOME_TRY(m_peerSocket.start([this](const PeerMessage& message, const std::string& sender) { receive(message, sender); }));
    BOOST_OUTCOME_TRY(m_internal.listen(m_context.internalAddress()));
    BOOST_OUTCOME_TRY(m_metrics.listen(description.ip + ":" + std::to_string(description.metricsPort)));
    ViewReplicator::Observer observer;
    observer.onConfiguration = [this](const DeploymentConfiguration& configuration) {
        for (const auto& [name, service] : configuration.services) {
            if (name == m_context.description.engineService)
                m_service = service;
            if (!service.originAddress.empty())
                m_origin = service;
        }
    };
    observer.onUpstream = [this](const Upstream& upstream, RegistrationSource source) { m_registry.set(upstream, source, monotonicNow()); };
    observer.onUpstreamGone = [this](const std::string& id, RegistrationEnd end) { m_registry.remove(id, end, monotonicNow()); };
    observer.onVersion = [this](const WeightsVersion& version, TimePoint earliestPublication) {
        if (!m_service || m_service->models.empty() || version.model != m_service->models.front())
            return;
        m_retirement.addVersion(version, earliestPublication);
        const auto [known, isNew] = m_versions.emplace(version.version, KnownVersion { earliestPublication, true });
        known->second.earliestPublication = std::min(known->second.earliestPublication, earliestPublication);
        if (isNew)
            m_context.log.write("weights.named", { { "model", version.model }, { "version", std::to_string(version.version) }, { "at_most_ms_ago", std::to_string(millisecondsBetween(earliestPublication, monotonicNow())) } });
    };
    observer.onEvacuation = [this](const Evacuation& evacuation) { m_peersRevision = recordEvacuation(m_context, m_eligibility, evacuation, true) ? 0 : m_peersRevision; };
    observer.onEvacuationEnd = [this](const Evacuation& evacuation) { m_peersRevision = recordEvacuation(m_context, m_eligibility, evacuation, false) ? 0 : m_peersRevision; };
    observer.onNode = [this](const RegisteredNode& node) { m_entries[node.vm.id] = node.vm; };
    observer.onNodeGone = [this](const std::string& id) { m_entries.erase(id); };
    observer.onBatchEnd = [this] {
        std::vector<VmIdentity> entries;
        for (const auto& [id, vm] : m_entries)
            entries.push_back(vm);
        m_view.setEntries(entries);
        plan();
    };
    m_view.start(std::move(observer));
    poll();
    return success();
}

void AgentGateway::stop()
{
    m_context.log.write("agent.stopped", {});
    m_context.loop.stop();
}

void AgentGateway::reload(const ProcessDescription& description)
{
    m_context.log.write("settings.reloaded", { { "changed", description == m_context.description ? "false" : "true" } });
    m_context.description = description;
    m_context.applyRequestLimits();
}

void AgentGateway::poll()
{
    m_engine.fetchReport(m_service, [this](const Outcome<EngineReport>& report) { recordReport(report); });
}

void AgentGateway::schedulePoll(Milliseconds delay)
{
    m_pollTimer.expires_after(delay);
    m_pollTimer.async_wait([this](boost::system::error_code error) {
        if (!error)
            poll();
    });
}

void AgentGateway::recordReport(const Outcome<EngineReport>& report)
{
    m_budgetReport.logChanges();
    if (!report) {
        ++m_failedPolls;
        m_context.metrics.count("engine_polls_failed_total", errorCodeName(report.error().code));
        if (m_failedPolls >= failuresToDeclareDown && m_isAnswering) {
            m_isAnswering = false;
            m_context.log.write("engine.lost", { { "engine", m_context.description.engineAddress }, { "problem", report.error().message } });
            sendUpdate(true);
        }
        planRetirement();
        return schedulePoll(m_isAnswering ? failedReportDelay : reportPeriod);
    }
    m_failedPolls = 0;
    if (!m_isAnswering) {
        m_isAnswering = true;
        m_context.log.write("engine.regained", { { "engine", m_context.description.engineAddress }, { "held", std::to_string(loadedVersion()) } });
    }
    const bool isRestart = m_hasReport && (report.value().startedAt != m_report.startedAt || report.value().orderSequence < m_report.orderSequence);
    m_report = report.value();
    m_hasReport = true;
    if (m_service && m_service->engine)
        m_report.pendingPromptTokens = m_prefillEstimate.record(m_report, *m_service->engine, monotonicNow());
    if (isRestart) {
        m_context.log.write("engine.restarted", { { "born", std::to_string(m_report.startedAt) } });
        if (m_activation) {
            m_activation->stop();
            m_activation.reset();
        }
    }
    if (m_activation)
        m_activation->recordReport(m_report);
    plan();
    sendUpdate(false);
    schedulePoll(m_activation && m_activation->isLoading() ? loadingReportPeriod : reportPeriod);
}

void AgentGateway::sendUpdate(bool isUrgent)
{
    EngineUpdate update;
    update.engineAddress = m_context.description.engineAddress;
    update.report = m_report;
    update.isAnswering = m_isAnswering;
    if (m_retirement.isClosing() || (m_activation && m_activation->isLoading()))
        update.availability = EngineAvailability::Draining;
    update.readyIn = readyIn();
    const bool isEvacuated = m_eligibility.isEvacuated(m_context.description.failureDomain);
    m_updates.send(update, isUrgent, isEvacuated, m_entries, m_servingPeers + !isEvacuated);
}

// The time to fetch the missing chunks over this VM's link, and to load them.
std::optional<Milliseconds> AgentGateway::readyIn() const
{
    if (!m_isAnswering || loadedVersion() != 0 || !m_service || !m_service->engine)
        return std::nullopt;
    std::optional<Milliseconds> soonest;
    for (const auto& [version, swarm] : m_swarms) {
        const auto wait = swarm->timeToComplete() + Milliseconds(static_cast<std::int64_t>(m_service->engine->loadMilliseconds));
        if (!soonest || wait < *soonest)
            soonest = wait;
    }
    return soonest;
}

std::uint64_t AgentGateway::loadedVersion() const
{
    if (!m_service || m_service->models.empty())
        return 0;
    const auto held = m_report.loadedVersions.find(m_service->models.front());
    return held == m_report.loadedVersions.end() ? 0 : held->second;
}

void AgentGateway::plan()
{
    if (!m_service || !m_origin || m_service->models.empty() || m_service->chunkCount == 0 || !m_hasReport)
        return;
    m_versions.emplace(firstVersion, KnownVersion { monotonicNow(), false });
    planSwarms();
    updatePeers();
    planActivation();
    planRetirement();
    announceActivation();
}

void AgentGateway::planRetirement()
{
    if (!m_hasReport || !m_service || m_service->models.empty())
        return;
    const bool wasClosing = m_retirement.isClosing();
    const auto next = m_retirement.proceed({ m_service->models.front(), loadedVersion() }, m_report, m_activation && m_activation->isLoading());
    if (m_retirement.isClosing() != wasClosing)
        sendUpdate(true);
    m_retirementTimer.cancel();
    if (!next)
        return;
    m_retirementTimer.expires_at(*next);
    m_retirementTimer.async_wait([this](boost::system::error_code error) {
        if (!error)
            planRetirement();
    });
}

bool AgentGateway::isWorthLoading(std::uint64_t version) const
{
    return m_retirement.isUsableAt({ m_service->models.front(), version }, monotonicNow() + EngineActivation::typicalTime(*m_service->engine));
}

SwarmMember AgentGateway::memberFor(const std::string& ip, const std::string& failureDomain, UnixMilliseconds startedAt) const
{
    return { ip, m_eligibility.regionOf(failureDomain), failureDomain, static_cast<std::uint64_t>(startedAt) };
}

void AgentGateway::planSwarms()
{
    const auto loaded = loadedVersion();
    // The newest version is fetched. The transfer of the one before it continues if it has begun,
    // and begins if the newest makes no progress, since the origin may be unreachable.
    const auto newest = m_versions.rbegin()->first;
    std::set<std::uint64_t> wanted { newest };
    const auto swarmOfNewest = m_swarms.find(newest);
    const bool isNewestComplete = swarmOfNewest != m_swarms.end() && swarmOfNewest->second->isComplete();
    const bool isNewestStalled = swarmOfNewest != m_swarms.end() && swarmOfNewest->second->isStalled();
    const auto previous = m_versions.size() > 1 ? std::next(m_versions.rbegin())->first : newest;
    if (previous != newest && previous > loaded && !isNewestComplete && isWorthLoading(previous) && (m_swarms.count(previous) != 0 || isNewestStalled))
        wanted.insert(previous);
    for (auto swarm = m_swarms.begin(); swarm != m_swarms.end();) {
        if (wanted.count(swarm->first) != 0) {
            ++swarm;
            continue;
        }
        m_context.log.write("weights.dropped", { { "version", std::to_string(swarm->first) }, { "loaded", std::to_string(loaded) } });
        if (m_activation && m_activation->weights().version == swarm->first) {
            m_activation->stop();
            m_activation.reset();
        }
        swarm->second->stop();
        swarm = m_swarms.erase(swarm);
    }
    for (const auto version : wanted) {
        if (m_swarms.count(version) != 0)
            continue;
        const auto self = memberFor(m_context.description.ip, m_context.description.failureDomain, m_report.startedAt);
        auto service = *m_service;
        service.originAddress = m_origin->originAddress;
        service.originFailureDomain = m_origin->originFailureDomain;
        service.originBytesPerSecond = m_origin->originBytesPerSecond;
        const auto swarm = std::make_shared<WeightsSwarm>(m_context, m_peerSocket, m_engine, WeightsVersion { m_service->models.front(), version }, service, self);
        m_swarms[version] = swarm;
        updatePeers();
        swarm->setPeers(m_peers);
        swarm->onComplete([this] { asio::post(m_context.loop, [this] { plan(); }); });
        swarm->start(version == std::max(loaded, firstVersion));
    }
}

// The peers are computed once for each change of the registry and passed to each new swarm and schedule.
void AgentGateway::updatePeers()
{
    m_registry.expire(monotonicNow());
    if (m_peersRevision != m_registry.revision()) {
        m_peersRevision = m_registry.revision();
        m_peers.clear();
        for (const auto* upstream : m_registry.usable(m_service->name)) {
            const auto ip = ipOf(upstream->address);
            if (ip == m_context.description.ip)
                continue;
            const auto address = ip + ":" + std::to_string(m_context.description.internalPort);
            m_peers.push_back({ memberFor(ip, upstream->failureDomain, upstream->startedAt), address });
        }
        updateActivationGroup();
        for (const auto& [version, swarm] : m_swarms)
            swarm->setPeers(m_peers);
        if (m_schedule)
            m_schedule->setPeers(m_groupIds);
    }
    for (const auto& [version, swarm] : m_swarms)
        swarm->setEngineServing(isServing());
}

void AgentGateway::updateActivationGroup()
{
    std::map<std::string, std::string> regions;
    for (const auto& peer : m_peers) {
        if (!m_eligibility.isEvacuated(peer.member.failureDomain))
            regions[peer.member.id] = peer.member.region;
    }
    m_servingPeers = regions.size();
    m_groupIds = ActivationGroup::membersFor(m_context.description.ip, m_context.description.region, regions);
    m_groupAddresses.clear();
    for (const auto& ip : m_groupIds)
        m_groupAddresses.push_back(ip + ":" + std::to_string(m_context.description.internalPort));
}

void AgentGateway::planActivation()
{
    const auto loaded = loadedVersion();
    const auto now = monotonicNow();
    if (m_activation && (m_activation->weights().version == loaded || m_activation->phase() == EngineActivation::Phase::Failed)) {
        m_activation->stop();
        m_activation.reset();
        m_schedule.reset();
    }
    if (m_activation)
        return m_activation->proceed();
    for (auto swarm = m_swarms.rbegin(); swarm != m_swarms.rend(); ++swarm) {
        const auto version = swarm->first;
        if (version <= loaded)
            return;
        if (!swarm->second->isComplete() || !isWorthLoading(version))
            continue;
        const auto bound = activationBound(loaded, version);
        const bool isNewest = version == m_versions.rbegin()->first;
        if (!isNewest && loaded != 0 && now < bound - olderVersionLead)
            continue;
        const auto loadTime = EngineActivation::typicalTime(*m_service->engine);
        m_scheduledVersion = version;
        m_schedule.emplace(m_context.description.ip, WeightsSwarm::pathOf(swarm->second->weights()), loadTime, now, bound - orderMargin);
        m_schedule->setPeers(m_groupIds);
        recordPeerActivations();
        m_activation = std::make_shared<EngineActivation>(m_context, m_engine, swarm->second);
        m_activation->recordReport(m_report);
        m_activation->start([this] { return mayLoad(); }, [this] {
            sendUpdate(true);
            m_lastAnnouncementAt = {};
            announceActivation(); });
        return;
    }
}

void AgentGateway::recordPeerActivations()
{
    if (!m_schedule)
        return;
    for (const auto& [node, peer] : m_peerActivations) {
        const bool isLoaded = peer.update.loaded >= m_scheduledVersion;
        m_schedule->recordPeer(node, { peer.update.isReady, peer.update.isLoading, isLoaded }, peer.receivedAt);
    }
}

// The earliest bound of the versions after \p loaded, up to \p version: publishing a further
// version does not extend the bound of the one before it.
TimePoint AgentGateway::activationBound(std::uint64_t loaded, std::uint64_t version) const
{
    auto bound = TimePoint::max();
    for (auto known = m_versions.upper_bound(loaded); known != m_versions.end() && known->first <= version; ++known) {
        if (known->second.isPublished)
            bound = std::min(bound, known->second.earliestPublication + m_context.description.versionBound);
    }
    return bound == TimePoint::max() ? monotonicNow() + unpublishedBound : bound;
}

bool AgentGateway::mayLoad() const { return !m_report.isOrderRunning && m_schedule && m_schedule->mayLoad(isServing(), monotonicNow()); }

void AgentGateway::announceActivation()
{
    const auto now = monotonicNow();
    const auto newest = m_versions.rbegin()->first;
    const auto loaded = loadedVersion();
    const bool isRollingOut = m_activation || loaded != newest || now < m_versions.rbegin()->second.earliestPublication + m_context.description.versionBound * 2;
    if (!isRollingOut || !m_versions.rbegin()->second.isPublished || now < m_lastAnnouncementAt + announcementPeriod)
        return;
    m_lastAnnouncementAt = now;
    ActivationUpdate update { m_context.description.ip, m_service->models.front(), newest, loaded, false, m_activation && m_activation->isLoading() };
    const auto swarm = m_swarms.find(newest);
    update.isReady = swarm != m_swarms.end() && swarm->second->isComplete();
    m_peerSocket.sendToAll(m_groupAddresses, update);
}

void AgentGateway::receive(const PeerMessage& message, const std::string& sender)
{
    struct Visitor {
        AgentGateway& agent;
        const std::string& sender;

        void operator()(const PingMessage&) const { }
        void operator()(const PingAnswer&) const { }
        void operator()(const PingRequest&) const { }
        void operator()(const EngineUpdate&) const { }
        void operator()(const CrashObservation&) const { }
        void operator()(const LeavingObservation&) const { }
        void operator()(const RecheckObservation&) const { }
        void operator()(const AnswerObservation&) const { }
        void operator()(const SuspicionDigest&) const { }
        void operator()(const SuspicionUpdate&) const { }
        void operator()(const LimitObservation&) const { }
        void operator()(const UpdateSubscription& subscription) const
        {
            if (agent.m_updates.recordSubscription(sender, subscription) && agent.m_hasReport)
                agent.sendUpdate(true);
        }
        void operator()(const ActivationUpdate& update) const
        {
            agent.m_peerActivations[update.node] = { update, monotonicNow() };
            agent.recordPeerActivations();
            if (agent.m_activation)
                agent.m_activation->proceed();
        }
        void operator()(const ChunksUpdate& update) const
        {
            if (const auto swarm = agent.swarmOf(update.model, std::to_string(update.version)))
                swarm->receive(update);
        }
    };
    std::visit(Visitor { *this, sender }, message);
}

std::shared_ptr<WeightsSwarm> AgentGateway::swarmOf(const std::string& model, const std::string& version) const
{
    for (const auto& [number, swarm] : m_swarms) {
        if (swarm->weights().model == model && std::to_string(number) == version)
            return swarm;
    }
    return nullptr;
}

void AgentGateway::serveInternal(const ServerExchangePointer& exchange)
{
    const auto target = decodeWeightsTarget(exchange->request().target);
    const auto swarm = target ? swarmOf(target->model, target->version) : nullptr;
    if (!swarm)
        return exchange->respond(statusNotFound, {}, "");
    if (target->chunk)
        return swarm->serveChunk(exchange, *target->chunk);
    swarm->serveManifest(exchange);
}

void AgentGateway::serveMetrics(const ServerExchangePointer& exchange)
{
    m_peerSocket.exportTraffic();
    m_updates.exportMetrics();
    m_budgetReport.exportMetrics();
    m_context.metrics.gauge("weights_loaded_version", double(loadedVersion()));
    m_context.metrics.gauge("view_age_milliseconds", double(m_view.age().count()));
    exchange->respond(statusOk, { { "Content-Type", "text/plain; version=0.0.4" } }, m_context.metrics.prometheusText());
}

}
