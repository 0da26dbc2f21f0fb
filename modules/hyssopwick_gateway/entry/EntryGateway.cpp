#include "EntryGateway.h"

#include "CallLimits.h"

#include <algorithm>

namespace hyssopwick {

namespace {

    // Callers that cannot get a new answer keep using the old one; a short lifetime bounds how
    // long they connect to a VM that stopped.
    constexpr Milliseconds addressLifetime { 2000 };
    // Some callers cache addresses three times as long (the platform's protocol).
    constexpr int addressLifetimeFactor = 3;
    // Lease of this VM's registration; the store removes a VM that no longer renews it.
    constexpr Milliseconds registrationLifetime { 30000 };
    constexpr Milliseconds registrationRenewal { 10000 };
    constexpr Milliseconds registrationRetry { 500 };
    // Time over which all VMs register again after the store came back from an older copy.
    constexpr Milliseconds registrationSpread { 1000 };
    constexpr Milliseconds storeTimeout { 1500 };
    constexpr Milliseconds connectTimeout { 400 };
    // Time left before the bound on stopping when calls are aborted.
    constexpr Milliseconds stopMargin { 300 };
    constexpr Milliseconds stopCheckPeriod { 50 };
    // A process that is later than this shows in the latency of its calls.
    constexpr Milliseconds reportedLoopDelay { 100 };
    // With each of them repeating to one other once a period, an entry that was away knows what the
    // others know well before the bound within which it counts as back (3 s at least).
    constexpr Milliseconds repeatPeriod { 400 };

}

EntryGateway::EntryGateway(GatewayContext& context)
    : m_context(context)
    , m_peerSocket(context)
    , m_gossip(context, m_peerSocket)
    , m_addresses(context, m_gossip.statuses())
    , m_services(context)
    , m_subscriptions(m_services, m_peerSocket, [this] { return m_gossip.self(); })
    , m_view(context, m_gossip.self(), true)
    , m_blockRecords(context)
    , m_callers(
          context.loop, [this](const ServerExchangePointer& exchange) { serveCaller(exchange); }, [this] { return m_services.routes() ? m_services.routes()->configuration().limits : CallerLimits(); }, context.requestBudget)
    , m_directory(
          context.loop, [this](const ServerExchangePointer& exchange) { serveDirectory(exchange); }, HttpListener::limitsWithoutBodies, context.requestBudget)
    , m_readiness(
          context.loop, [this](const ServerExchangePointer& exchange) { serveReadiness(exchange); }, HttpListener::limitsWithoutBodies, context.requestBudget)
    , m_internal(
          context.loop, [this](const ServerExchangePointer& exchange) { serveInternal(exchange); }, HttpListener::limitsWithoutBodies, context.requestBudget)
    , m_metrics(
          context.loop, [this](const ServerExchangePointer& exchange) { serveMetrics(exchange); }, HttpListener::limitsWithoutBodies, context.requestBudget)
    , m_budgetReport(context)
    , m_maintenanceTimer(context.loop)
    , m_registrationTimer(context.loop)
    , m_stopTimer(context.loop)
{
    m_context.applyRequestLimits();
    m_callers.setBusyFields(m_context.ports.calls->encodeRetryAfter(overloadRetryAfter));
    m_budgetReport.add("callers", m_callers);
    m_budgetReport.add("directory", m_directory);
    m_budgetReport.add("readiness", m_readiness);
    m_budgetReport.add("internal", m_internal);
    m_budgetReport.add("metrics", m_metrics);
}

Outcome<void> EntryGateway::start()
{
    const auto& description = m_context.description;
    BOOST_OUTCOME_TRY(m_peerSocket.start([this](const PeerMessage& message, const std::string& sender) { receive(message, sender); }));
    BOOST_OUTCOME_TRY(m_internal.listen(m_context.internalAddress()));
    BOOST_OUTCOME_TRY(m_metrics.listen(description.ip + ":" + std::to_string(description.metricsPort)));
    const auto listenIfServed = [](HttpListener& listener, const std::string& address) { return address.empty() ? Outcome<void>(success()) : listener.listen(address); };
    BOOST_OUTCOME_TRY(listenIfServed(m_readiness, description.readyAddress));
    BOOST_OUTCOME_TRY(listenIfServed(m_directory, description.directoryAddress));
    BOOST_OUTCOME_TRY(listenIfServed(m_callers, description.callerAddress));
    m_services.answerMemory()->setBufferedBytes([this] { return m_callers.bufferedBytes(); });
    m_gossip.setStatusSource([this] { return std::make_pair(static_cast<unsigned>(m_calls.size()), m_addresses.queriesPerSecond(monotonicNow())); });
    m_gossip.onChange([this] { membersChanged(); });
    m_services.setViewAge([this] { return ViewAge { m_view.age(), m_view.confirmedAge() }; });
    m_services.onCapacity([this] {
        if (!m_services.routes())
            return;
        for (const auto& [name, service] : m_services.routes()->configuration().services) {
            if (service.engine && m_services.queue(name).size() > 0)
                scheduleQueueAdvance(name);
        }
    });
    m_services.crashes().onObservation([this](const PeerMessage& observation) { sendToEntries(observation); });
    m_services.crashes().onConfirmed([this](const PromptBlockRecord& record) { m_blockRecords.write(record); });
    m_services.crashes().onRefuted([this](const std::string& block) { m_blockRecords.remove(block); });
    m_services.allowances().onLimit([this](const LimitObservation& limit) { sendToEntries(limit); });
    m_services.onLeaving([this](const LeavingObservation& observation) { sendToEntries(observation); });
    m_services.onEngineDown([this](const std::string& address) {
        const auto calls = m_calls;
        for (const auto& [id, call] : calls)
            call->handleUpstreamDown(address);
    });
    m_services.onBeginLimits([this] {
        for (const auto& [id, call] : m_calls)
            call->armBeginTimer();
    });
    ViewReplicator::Observer observer;
    observer.onConfiguration = [this](const DeploymentConfiguration& configuration) {
        m_services.setConfiguration(configuration);
        m_services.allowances().setConfiguration(m_services.routes()->configuration());
    };
    observer.onUpstream = [this](const Upstream& upstream, RegistrationSource source) {
        m_services.allowances().recordRegistration(upstream);
        m_services.setUpstream(upstream, source);
    };
    observer.onUpstreamGone = [this](const std::string& id, RegistrationEnd end) {
        m_services.allowances().recordRemoval(id);
        m_services.removeUpstream(id, end);
    };
    observer.onEra = [this](std::uint64_t era) {
        restoreRegistration(era);
        m_blockRecords.restore();
    };
    observer.onPromptBlock = [this](const PromptBlockRecord& record) { m_services.crashes().adopt(record); };
    observer.onPromptBlockGone = [this](const std::string& block) { m_services.crashes().release(block); };
    observer.onVersion = [this](const WeightsVersion& version, TimePoint earliestPublication) { m_services.addVersion(version, earliestPublication); };
    observer.onEvacuation = [this](const Evacuation& evacuation) { m_services.setEvacuated(evacuation, true); };
    observer.onEvacuationEnd = [this](const Evacuation& evacuation) {
        m_services.setEvacuated(evacuation, false);
        m_services.allowances().endEvacuation(evacuation.failureDomain);
    };
    observer.onNode = [this](const RegisteredNode& node) { m_gossip.addRegisteredNode(node); };
    observer.onBatchEnd = [this] {
        m_services.allowances().completeFirstView();
        m_services.refresh();
        reconsiderCalls();
        m_subscriptions.send();
        updateReadiness();
    };
    m_view.start(std::move(observer));
    m_gossip.start();
    registerInStore();
    m_subscriptions.start();
    maintain();
    return success();
}

void EntryGateway::serveCaller(const ServerExchangePointer& exchange)
{
    const auto call = std::make_shared<CallFlow>(
        m_services, exchange, [this](const std::string& service) { scheduleQueueAdvance(service); }, [this](CallFlow* ended) { m_calls.erase(ended->id()); });
    m_calls[call->id()] = call;
    call->start();
}

// Advances a queue once for all events that are ready now.
void EntryGateway::scheduleQueueAdvance(const std::string& service)
{
    if (!m_queuesToAdvance.insert(service).second || m_queuesToAdvance.size() > 1)
        return;
    asio::post(m_context.loop, [this] {
        const auto services = std::move(m_queuesToAdvance);
        m_queuesToAdvance.clear();
        for (const auto& name : services)
            advanceQueue(name);
    });
}

void EntryGateway::advanceQueue(const std::string& service)
{
    auto& queue = m_services.queue(service);
    const auto decisions = queue.advance(monotonicNow());
    for (const auto& decision : decisions.sent) {
        const auto call = m_calls.find(decision.call);
        if (call != m_calls.end())
            std::shared_ptr<CallFlow>(call->second)->sendTo(decision);
    }
    for (const auto id : decisions.refused) {
        const auto call = m_calls.find(id);
        if (call != m_calls.end())
            std::shared_ptr<CallFlow>(call->second)->refuseUnservable(decisions.retryAfterOf(id));
    }
    const auto wake = queue.nextWake();
    if (!wake)
        return;
    auto& timer = m_queueTimers.try_emplace(service, m_context.loop).first->second;
    timer.expires_at(*wake);
    timer.async_wait([this, service](boost::system::error_code error) {
        if (!error)
            advanceQueue(service);
    });
}

void EntryGateway::serveDirectory(const ServerExchangePointer& exchange)
{
    const auto& request = exchange->request();
    const auto query = m_context.ports.directory->decodeQuery(request.method, request.target);
    if (!query)
        return exchange->respond(statusNotFound, {}, "");
    const auto addresses = callerAddresses(*query);
    if (addresses.empty())
        return exchange->respond(statusUnavailable, {}, "");
    m_context.metrics.count("address_answers_total");
    const auto lifetime = std::min(addressLifetime, m_context.description.addressLifetime);
    exchange->respond(statusOk, { { "Content-Type", "application/json" } }, m_context.ports.directory->encodeAnswer(addresses, lifetime));
}

std::vector<std::string> EntryGateway::callerAddresses(const AddressQuery& query)
{
    const auto allowed = m_services.routes() ? addressRegions(query.host, *m_services.routes()) : RegionSet();
    return m_addresses.choose(entriesForQuery(m_gossip.servingEntries(), query, allowed), query, monotonicNow());
}

void EntryGateway::serveReadiness(const ServerExchangePointer& exchange)
{
    const auto& request = exchange->request();
    if (!m_context.ports.directory->isReadinessCheck(request.method, request.target))
        return exchange->respond(statusNotFound, {}, "");
    exchange->respond(m_isReady && !m_isStopping ? statusOk : statusUnavailable, {}, "");
}

void EntryGateway::serveInternal(const ServerExchangePointer& exchange)
{
    if (!m_view.serve(exchange))
        exchange->respond(statusNotFound, {}, "");
}

void EntryGateway::serveMetrics(const ServerExchangePointer& exchange)
{
    m_peerSocket.exportTraffic();
    m_budgetReport.exportMetrics();
    m_context.metrics.gauge("calls_open", double(m_calls.size()));
    m_context.metrics.gauge("answer_bytes_held", double(m_services.answerMemory()->heldBytes()));
    m_context.metrics.gauge("answers_unread", double(m_callers.unreadAnswers()));
    m_context.metrics.gauge("view_age_milliseconds", double(m_view.age().count()));
    m_context.metrics.gauge("view_confirmed_age_milliseconds", double(m_view.confirmedAge().count()));
    exchange->respond(statusOk, { { "Content-Type", "text/plain; version=0.0.4" } }, m_context.metrics.prometheusText());
}

void EntryGateway::receive(const PeerMessage& message, const std::string& sender)
{
    struct Visitor {
        EntryGateway& entry;
        const std::string& sender;

        void operator()(const PingMessage& ping) const { entry.m_gossip.receive(ping, sender); }
        void operator()(const PingAnswer& answer) const { entry.m_gossip.receive(answer); }
        void operator()(const PingRequest& request) const { entry.m_gossip.receive(request, sender); }
        void operator()(const EngineUpdate& update) const
        {
            entry.m_services.allowances().recordUpdate(update);
            entry.m_services.recordEngineUpdate(update);
        }
        void operator()(const CrashObservation& observation) const { entry.m_services.crashes().receive(observation); }
        void operator()(const RecheckObservation& observation) const { entry.m_services.crashes().receive(observation); }
        void operator()(const AnswerObservation& observation) const { entry.m_services.crashes().receive(observation); }
        void operator()(const SuspicionDigest& digest) const { answer(entry.m_services.crashes().receive(digest)); }
        void operator()(const SuspicionUpdate& update) const { answer(entry.m_services.crashes().receive(update)); }
        void operator()(const LeavingObservation& observation) const { entry.m_services.recordLeaving(observation); }
        void operator()(const LimitObservation& observation) const { answer(entry.m_services.allowances().receive(observation)); }
        void operator()(const UpdateSubscription&) const { }
        void operator()(const ActivationUpdate&) const { }
        void operator()(const ChunksUpdate&) const { }

        void answer(const std::vector<PeerMessage>& answers) const
        {
            for (const auto& message : answers)
                entry.m_peerSocket.send(sender, message);
        }
    };
    std::visit(Visitor { *this, sender }, message);
}

void EntryGateway::sendToEntries(const PeerMessage& message)
{
    std::vector<std::string> addresses;
    for (const auto& peer : m_gossip.livePeers())
        addresses.push_back(peer.address);
    m_peerSocket.sendToAll(addresses, message);
}

// Entry VMs that missed observations learn of them from any other one.
void EntryGateway::repeatToPeer()
{
    const auto now = monotonicNow();
    const auto digest = m_services.crashes().digest();
    const auto limits = m_services.allowances().limits();
    const auto coldNotices = m_services.allowances().coldNotices();
    const auto departures = m_services.recentDepartures();
    if (now < m_repeatAt || (!digest && limits.empty() && coldNotices.empty() && departures.empty()))
        return;
    m_repeatAt = now + repeatPeriod;
    const auto peers = m_gossip.livePeers();
    if (peers.empty())
        return;
    const auto& address = peers[m_services.random().below(peers.size())].address;
    if (digest)
        m_peerSocket.send(address, *digest);
    for (const auto& limit : limits)
        m_peerSocket.send(address, LimitObservation { limit });
    for (const auto& notice : coldNotices) {
        LimitObservation observation;
        observation.cold = notice;
        m_peerSocket.send(address, observation);
    }
    for (const auto& departure : departures)
        m_peerSocket.send(address, departure);
}

void EntryGateway::membersChanged()
{
    const auto peers = m_gossip.livePeers();
    m_view.setEntries(peers);
    m_services.setEntries(peers, m_gossip.knownEntries());
}

void EntryGateway::updateReadiness()
{
    const bool isReady = m_services.routes() != nullptr;
    if (isReady == m_isReady || m_isStopping)
        return;
    m_isReady = isReady;
    m_gossip.setServing(isReady);
    m_context.log.write("entry.ready", { { "revision", std::to_string(m_view.revision()) }, { "age_ms", std::to_string(m_view.age().count()) }, { "confirmed_ms", std::to_string(m_view.confirmedAge().count()) } });
}

void EntryGateway::recordLoopDelay(TimePoint expectedAt)
{
    const auto delay = Milliseconds(millisecondsBetween(expectedAt, monotonicNow()));
    m_context.metrics.observe("loop_delay", double(delay.count()));
    if (delay >= reportedLoopDelay)
        m_context.log.write("loop.late", { { "delay_ms", std::to_string(delay.count()) }, { "calls", std::to_string(m_calls.size()) } });
}

void EntryGateway::maintain()
{
    const auto next = m_services.maintain();
    m_budgetReport.logChanges();
    reconsiderCalls();
    repeatToPeer();
    m_maintenanceTimer.expires_at(next);
    m_maintenanceTimer.async_wait([this, next](boost::system::error_code error) {
        if (error)
            return;
        recordLoopDelay(next);
        maintain();
    });
}

void EntryGateway::reconsiderCalls()
{
    const auto calls = m_calls;
    for (const auto& [id, call] : calls)
        call->reconsider();
}

void EntryGateway::registerInStore()
{
    const auto now = monotonicNow();
    fetchWhole(m_context.loop, m_context.description.storeAddress, m_context.ports.store->encodeLeaseGrant(registrationLifetime), now + connectTimeout, now + storeTimeout, [this](WholeResponse response) {
        m_context.metrics.count("store_calls_total", "lease");
        const auto lease = response.isComplete() && response.status == statusOk ? m_context.ports.store->decodeLease(response.body) : Outcome<std::uint64_t>(failure(ErrorCode::Unavailable, exchangeEndName(response.end)));
        if (!lease) {
            m_context.log.write("registration.failed", { { "step", "lease" }, { "status", std::to_string(response.status) }, { "problem", lease.error().message } });
            return scheduleRegistration(registrationRetry);
        }
        m_lease = lease.value();
        m_leaseEra = m_context.ports.store->decodeEra(response.fields);
        const auto now = monotonicNow();
        fetchWhole(m_context.loop, m_context.description.storeAddress, m_context.ports.store->encodeRegistration({ m_gossip.self(), m_context.incarnation, m_context.description.power() }, m_lease), now + connectTimeout, now + storeTimeout, [this](WholeResponse response) {
            m_context.metrics.count("store_calls_total", "register");
            const bool isOtherEra = m_context.ports.store->decodeEra(response.fields) != m_leaseEra;
            if (response.isComplete() && response.status == statusOk && !isOtherEra) {
                m_context.log.write("registration.done", { { "lease", std::to_string(m_lease) } });
                return scheduleRegistration(registrationRenewal);
            }
            m_context.log.write("registration.failed", { { "step", "write" }, { "status", std::to_string(response.status) }, { "problem", exchangeEndName(response.end) } });
            m_lease = 0;
            scheduleRegistration(registrationRetry);
        });
    });
}

// A store that came back from an older copy may have lost this VM's lease, and may grant its
// id again to another one. The VMs register again one after the other, to spread the load.
void EntryGateway::restoreRegistration(std::uint64_t era)
{
    if (m_leaseEra == era || m_isStopping)
        return;
    m_lease = 0;
    scheduleRegistration(Milliseconds(static_cast<std::int64_t>(stableHash(m_context.description.node) % registrationSpread.count())));
}

void EntryGateway::scheduleRegistration(Milliseconds delay)
{
    m_registrationTimer.expires_after(delay);
    m_registrationTimer.async_wait([this](boost::system::error_code error) {
        if (error || m_isStopping)
            return;
        if (m_lease == 0)
            registerInStore();
        else
            renewRegistration();
    });
}

void EntryGateway::renewRegistration()
{
    const auto now = monotonicNow();
    fetchWhole(m_context.loop, m_context.description.storeAddress, m_context.ports.store->encodeLeaseRenewal(m_lease), now + connectTimeout, now + storeTimeout, [this](WholeResponse response) {
        m_context.metrics.count("store_calls_total", "renew");
        const bool isOtherEra = response.isComplete() && m_context.ports.store->decodeEra(response.fields) != m_leaseEra;
        if (response.isComplete() && response.status == statusOk && !isOtherEra)
            return scheduleRegistration(registrationRenewal);
        m_context.log.write("registration.renewal-failed", { { "status", std::to_string(response.status) }, { "problem", exchangeEndName(response.end) } });
        if (isOtherEra || (response.isComplete() && response.status == statusNotFound))
            m_lease = 0;
        scheduleRegistration(registrationRetry);
    });
}

void EntryGateway::reload(const ProcessDescription& description)
{
    m_context.log.write("settings.reloaded", { { "changed", description == m_context.description ? "false" : "true" } });
    m_context.description = description;
    m_context.applyRequestLimits();
    if (m_services.routes())
        m_services.allowances().setConfiguration(m_services.routes()->configuration());
}

void EntryGateway::stop()
{
    if (m_isStopping)
        return;
    m_isStopping = true;
    const auto now = monotonicNow();
    m_stopBy = now + m_context.description.stopBound - stopMargin;
    m_services.setStopBy(m_stopBy);
    reconsiderCalls();
    m_listenUntil = std::min(now + addressLifetime * addressLifetimeFactor, m_stopBy - stopMargin);
    m_context.log.write("entry.stopping", { { "calls", std::to_string(m_calls.size()) } });
    m_gossip.setServing(false);
    m_callers.startClosing();
    // After a change of era the lease's id may be that of another VM.
    if (m_lease != 0 && m_leaseEra.value_or(m_view.position().era) == m_view.position().era)
        fetchWhole(m_context.loop, m_context.description.storeAddress, m_context.ports.store->encodeLeaseEnd(m_lease), now + connectTimeout, now + storeTimeout, [](const WholeResponse&) {});
    finishStopping();
}

void EntryGateway::finishStopping()
{
    const auto now = monotonicNow();
    if (now >= m_listenUntil) {
        m_callers.stopAccepting();
        m_callers.closeIdle();
    }
    // An open connection may still bring a request, or its caller may not have received the whole answer.
    const bool isDone = now >= m_listenUntil && m_callers.openConnections() == 0;
    if (!isDone && now < m_stopBy) {
        m_stopTimer.expires_after(stopCheckPeriod);
        m_stopTimer.async_wait([this](boost::system::error_code) { finishStopping(); });
        return;
    }
    const auto calls = m_calls;
    for (const auto& [id, call] : calls)
        call->abort();
    m_gossip.announceDeparture();
    m_context.log.write("entry.stopped", { { "cut", std::to_string(calls.size()) }, { "connections", std::to_string(m_callers.openConnections()) }, { "unsent", std::to_string(m_callers.bufferedBytes()) } });
    m_stopTimer.expires_after(stopCheckPeriod);
    m_stopTimer.async_wait([this](boost::system::error_code) {
        m_context.log.write("entry.exit", { { "calls", std::to_string(m_calls.size()) }, { "connections", std::to_string(m_callers.openConnections()) }, { "unsent", std::to_string(m_callers.bufferedBytes()) } });
        m_context.loop.stop();
    });
}

}
