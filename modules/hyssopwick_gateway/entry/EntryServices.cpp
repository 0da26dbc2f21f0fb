#include "EntryServices.h"

namespace hyssopwick {

namespace {
    // Registrations that expired while the store was unreachable are restored within 2 s of its
    // return (the platform's protocol), so a removed upstream stays usable for half of the bound
    // within which a leaving one may still get calls. The other half is for the change to reach all.
    constexpr int removalGraceDivisor = 2;
    // Entry VMs share the retry budget without coordination, so each uses only this part of its share.
    constexpr double budgetShare = 0.8;
    // Agents send updates at least twice a second.
    constexpr Milliseconds maxUpdateAge { 1500 };
    // An upstream that leaves serves for the bound on draining and a little longer; by then the store
    // has said so too.
    constexpr Milliseconds departureRepeatTime { 10000 };
    constexpr Milliseconds maxMaintenanceDelay { 500 };
    // Time left before the bound on weights versions when calls that have not begun on older
    // weights are withdrawn: the record of the version took some time to arrive, and the
    // withdrawal has to reach the engine.
    constexpr Milliseconds versionMargin { 500 };

    const char* registrationEndName(RegistrationEnd end)
    {
        switch (end) {
        case RegistrationEnd::Ended:
            return "registration-ended";
        case RegistrationEnd::Unreadable:
            return "unreadable";
        case RegistrationEnd::NotRestored:
            return "not-restored";
        }
        return "registration-ended";
    }

    std::string servedText(const std::set<std::string>& regions) { return regions.empty() ? "none" : RegionSet::listed({ regions.begin(), regions.end() }).text(); }

    // An engine that started again at its address holds nothing of before.
    bool isSameStart(const Upstream& upstream, const EngineStatus& status)
    {
        const auto reported = status.update.report.startedAt;
        return upstream.startedAt == 0 || reported == 0 || upstream.startedAt == reported;
    }

    const char* availabilityName(EngineAvailability availability)
    {
        switch (availability) {
        case EngineAvailability::Serving:
            return "serving";
        case EngineAvailability::Draining:
            return "closing";
        }
        return "serving";
    }
}

EntryServices::EntryServices(GatewayContext& context)
    : m_context(context)
    , m_registry(context.description.drainBound / removalGraceDivisor)
    , m_eligibility(context.description)
    , m_retryBudget(context.description.retryRatio * budgetShare, context.description.retrySlack * budgetShare)
    , m_crashes(context)
    , m_random(stableHash(context.description.node) ^ context.incarnation)
    , m_checks(context, [this](const std::string& address) { m_crashes.recordUpstreamDown(address); })
    , m_allowances(context)
    , m_answerMemory(std::make_shared<AnswerMemory>(context))
{
    m_allowances.onChange([this] { refresh(); });
    m_crashes.onUnexplainedLoss([this](const std::string& address) { m_checks.start(address); });
}

void EntryServices::setConfiguration(const DeploymentConfiguration& configuration)
{
    if (m_routes && configuration.version < m_routes->configuration().version)
        return;
    const auto before = m_routes ? m_routes->restrictedRegions() : std::set<std::string>();
    m_routes = std::make_shared<RouteTable>(configuration);
    m_usedEnginesRevision += m_routes->restrictedRegions() != before;
    m_context.log.write("configuration.in-force", { { "version", std::to_string(configuration.version) }, { "routes", std::to_string(configuration.routes.size()) }, { "accounts", std::to_string(configuration.accounts.size()) }, { "restricted_regions", std::to_string(m_routes->restrictedRegions().size()) } });
}

void EntryServices::setUpstream(const Upstream& upstream, RegistrationSource source)
{
    if (!m_registry.set(upstream, source, monotonicNow()))
        return;
    m_context.log.write("upstream.registered", { { "upstream", upstream.id }, { "service", upstream.service }, { "address", upstream.address }, { "state", upstream.state == UpstreamState::Ready ? "ready" : "draining" }, { "held", upstream.loadedVersions.empty() ? "none" : std::to_string(upstream.loadedVersions.begin()->second) } });
}

void EntryServices::removeUpstream(const std::string& id, RegistrationEnd end)
{
    m_registry.remove(id, end, monotonicNow());
    m_context.log.write("upstream.unregistered", { { "upstream", id }, { "reason", registrationEndName(end) } });
}

bool EntryServices::markLeaving(const std::string& id, UnixMilliseconds startedAt, const char* source)
{
    if (!m_registry.recordLeaving(id, startedAt, monotonicNow()))
        return false;
    m_recentDepartures[id] = { { id, startedAt }, monotonicNow() + departureRepeatTime };
    m_context.metrics.count("upstreams_leaving_total", source);
    m_context.log.write("upstream.leaving", { { "upstream", id }, { "source", source }, { "started_at", std::to_string(startedAt) } });
    return true;
}

void EntryServices::recordLeaving(const std::string& id)
{
    const auto* leaving = upstream(id);
    const LeavingObservation observation { id, leaving ? leaving->startedAt : 0 };
    if (!markLeaving(id, observation.startedAt, "answer"))
        return;
    if (m_onLeaving)
        m_onLeaving(observation);
    refresh();
}

void EntryServices::recordLeaving(const LeavingObservation& observation)
{
    if (markLeaving(observation.upstream, observation.startedAt, "peer"))
        refresh();
}

std::vector<LeavingObservation> EntryServices::recentDepartures() const
{
    std::vector<LeavingObservation> departures;
    for (const auto& [id, departure] : m_recentDepartures)
        departures.push_back(departure.first);
    return departures;
}

void EntryServices::recordAnswerHead(const std::string& id, unsigned status, const AnswerDescription& answer, TimePoint sentAt)
{
    if (answer.isWrongUpstream)
        return;
    if (answer.isLeaving)
        recordLeaving(id);
    if (status == statusUnavailable) // no other answer asks for a rest
        m_allowances.recordRest(id, answer);
    m_allowances.recordLimit(id, answer, sentAt);
}

std::optional<std::string> EntryServices::choosePlain(const std::string& service, const std::set<std::string>& excluded, const RegionSet& allowed)
{
    auto unavailable = m_allowances.withoutPlace(service);
    unavailable.merge(m_eligibility.excludedFor(service, allowed));
    unavailable.insert(excluded.begin(), excluded.end());
    return plainPool(service).choose(unavailable, monotonicNow());
}

std::optional<Milliseconds> EntryServices::restOfAll(const std::string& service, const RegionSet& allowed) const
{
    const auto now = monotonicNow();
    std::optional<TimePoint> until;
    for (const auto* upstream : m_registry.usable(service)) {
        if (!m_eligibility.isEligible(service, upstream->id, allowed))
            continue;
        const auto availableFrom = m_allowances.availableAt(upstream->id, now);
        if (availableFrom <= now)
            return std::nullopt;
        until = std::min(until.value_or(availableFrom), availableFrom);
    }
    if (!until)
        return std::nullopt;
    return Milliseconds(millisecondsBetween(now, *until) + 1);
}

void EntryServices::addVersion(const WeightsVersion& version, TimePoint earliestPublication)
{
    if (!m_oldWeights.add(version, earliestPublication))
        return;
    m_context.log.write("weights.named", { { "model", version.model }, { "version", std::to_string(version.version) }, { "at_most_ms_ago", std::to_string(millisecondsBetween(earliestPublication, monotonicNow())) } });
    if (m_onBeginLimits)
        m_onBeginLimits();
}

bool EntryServices::mayReceiveCalls(const ServiceDescription& service, const std::string& id, const RegionSet& allowed) const
{
    if (!m_registry.isUsable(id) || m_allowances.isResting(id, monotonicNow()) || !m_eligibility.isEligible(service.name, id, allowed))
        return false;
    return !service.engine || isUsableEngine(*upstream(id));
}

const EngineStatus* EntryServices::engineAt(const std::string& address) const
{
    const auto found = m_engineStatus.find(address);
    return found == m_engineStatus.end() || monotonicNow() - found->second.receivedAt > maxUpdateAge ? nullptr : &found->second;
}

bool EntryServices::seemsDown(const std::string& address) const
{
    const auto found = m_engineStatus.find(address);
    return found != m_engineStatus.end() && !found->second.update.isAnswering;
}

bool EntryServices::isUsableEngine(const Upstream& upstream) const
{
    const auto loaded = loadedVersions(upstream);
    if (const auto* status = engineAt(upstream.address)) {
        const auto& update = status->update;
        if (!update.isAnswering || update.availability != EngineAvailability::Serving || !isSameStart(upstream, *status))
            return false;
    }
    if (loaded.empty())
        return false;
    const auto until = usableUntil(upstream);
    return !until || monotonicNow() < *until;
}

std::map<std::string, std::uint64_t> EntryServices::loadedVersions(const Upstream& upstream) const
{
    const auto* status = engineAt(upstream.address);
    if (!status)
        return upstream.loadedVersions;
    auto loaded = status->update.report.loadedVersions;
    if (isSameStart(upstream, *status))
        return loaded;
    // Which of the two starts is the later one is not certain, since clocks may be set.
    for (const auto& [model, version] : upstream.loadedVersions) {
        auto& known = loaded.emplace(model, version).first->second;
        known = std::min(known, version);
    }
    return loaded;
}

std::uint64_t EntryServices::loadedVersion(const Upstream& upstream) const
{
    const auto loaded = loadedVersions(upstream);
    return loaded.empty() ? 0 : loaded.begin()->second;
}

std::optional<TimePoint> EntryServices::usableUntil(const Upstream& upstream) const { return m_oldWeights.usableUntil(loadedVersions(upstream), oldWeightsGrace()); }

std::optional<TimePoint> EntryServices::usableUntil(const std::string& upstreamId, const std::map<std::string, std::uint64_t>& loadedVersionsAtSend) const
{
    const auto* registered = upstream(upstreamId);
    const auto loaded = registered ? loadedVersions(*registered) : loadedVersionsAtSend;
    return m_oldWeights.usableUntil(loaded.empty() ? loadedVersionsAtSend : loaded, oldWeightsGrace());
}

Milliseconds EntryServices::oldWeightsGracePeriod() const { return m_context.description.versionBound - versionMargin; }

OldWeightsGrace EntryServices::oldWeightsGrace() const
{
    return { oldWeightsGracePeriod(), std::max(Milliseconds(0), m_context.description.contactBound - versionMargin) };
}

void EntryServices::updateEligibility(const std::string& service)
{
    // Both revisions rise, so their sum changes with each of them.
    const auto revision = m_registry.revision() + m_usedEnginesRevision;
    if (std::exchange(m_eligibleAt[service], revision) == revision)
        return;
    if (m_eligibility.setService(service, m_registry.known(service)))
        m_context.log.write("service.regions", { { "service", service }, { "regions", servedText(m_eligibility.servedRegions(service)) }, { "upstreams", std::to_string(m_eligibility.regionsOf(service).size()) }, { "configuration", std::to_string(m_routes->configuration().version) } });
}

void EntryServices::refresh()
{
    if (!m_routes)
        return;
    const auto now = monotonicNow();
    for (const auto& [name, service] : m_routes->configuration().services) {
        updateEligibility(name);
        if (service.engine) {
            auto& pool = m_enginePools.try_emplace(name, m_random.next()).first->second;
            pool.setSpeed(*service.engine);
            std::set<std::string> usable;
            std::map<std::string, TimePoint> beginBy;
            std::set<std::string> remote;
            const auto& used = usedEngines(name);
            for (const auto* upstream : used.upstreams) {
                if (m_allowances.isResting(upstream->id, now) || !isUsableEngine(*upstream))
                    continue;
                usable.insert(upstream->id);
                if (m_eligibility.regionOf(upstream->failureDomain) != m_context.description.region)
                    remote.insert(upstream->id);
                if (const auto until = usableUntil(*upstream))
                    beginBy[upstream->id] = *until;
            }
            pool.setEngines(usable);
            pool.setRegions(m_eligibility.regionsOf(name));
            m_allowances.applyTo(pool, usable);
            pool.setReloadingSoon(std::move(beginBy));
            pool.setRemoteEngines(remote);
            queue(name).setEntryCount(used.subset.entriesPerEngine());
            queue(name).setExpectedEngines(expectedEngines(used.upstreams));
            for (const auto& id : usable) {
                if (const auto* status = engineAt(m_registry.find(id)->address))
                    pool.recordReport(id, status->update.report, status->receivedAt, status->update.division);
            }
        } else if (service.originAddress.empty()) {
            std::map<std::string, unsigned> slots;
            for (const auto* upstream : m_registry.usable(name)) {
                if (!m_allowances.isResting(upstream->id, now) && m_eligibility.isEligible(name, upstream->id, {}))
                    slots[upstream->id] = upstream->slots;
            }
            plainPool(name).setUpstreams(slots);
        }
    }
    if (m_onCapacity)
        m_onCapacity();
}

// The earliest of the times at which engines that rest or have no weights are expected to serve, by region.
std::map<std::string, ExpectedEngines> EntryServices::expectedEngines(const std::vector<const Upstream*>& engines) const
{
    std::map<std::string, ExpectedEngines> expected;
    const auto now = monotonicNow();
    for (const auto* upstream : engines) {
        auto& [soonest, count] = expected[m_eligibility.regionOf(upstream->failureDomain)];
        ++count;
        if (m_allowances.isResting(upstream->id, now)) {
            const auto restEnd = m_allowances.availableAt(upstream->id, now);
            soonest = std::min(soonest.value_or(restEnd), restEnd);
        }
        const auto* status = engineAt(upstream->address);
        if (!status || !status->update.readyIn)
            continue;
        const auto at = status->receivedAt + *status->update.readyIn;
        soonest = std::min(soonest.value_or(at), at);
    }
    return expected;
}

void EntryServices::recordEngineUpdate(const EngineUpdate& update)
{
    const auto known = m_engineStatus.find(update.engineAddress);
    const bool wasAnswering = known == m_engineStatus.end() || known->second.update.isAnswering;
    const bool hasOtherVersions = known == m_engineStatus.end() || known->second.update.report.loadedVersions != update.report.loadedVersions;
    const bool isStateChange = update.readyIn.has_value() || hasOtherVersions || wasAnswering != update.isAnswering || known->second.update.availability != update.availability
        || known->second.update.report.startedAt != update.report.startedAt;
    const bool isRestart = known != m_engineStatus.end() && known->second.update.report.startedAt != update.report.startedAt;
    m_engineStatus[update.engineAddress] = { update, monotonicNow() };
    bool isNewlyLeaving = false;
    if (update.report.isLeaving) {
        std::vector<std::string> leaving;
        for (const auto* upstream : m_registry.usableAt(update.engineAddress))
            leaving.push_back(upstream->id);
        for (const auto& id : leaving)
            isNewlyLeaving = markLeaving(id, update.report.startedAt, "report") || isNewlyLeaving;
    }
    if (isStateChange || isNewlyLeaving) {
        if (!update.readyIn)
            m_context.log.write("engine.state", { { "engine", update.engineAddress }, { "answering", update.isAnswering ? "true" : "false" }, { "availability", availabilityName(update.availability) }, { "held", update.report.loadedVersions.empty() ? "none" : std::to_string(update.report.loadedVersions.begin()->second) } });
        refresh();
        if ((hasOtherVersions || isRestart) && m_onBeginLimits)
            m_onBeginLimits();
        if ((wasAnswering && !update.isAnswering) || isRestart)
            m_crashes.recordUpstreamDown(update.engineAddress);
        if (wasAnswering && !update.isAnswering && m_onEngineDown)
            m_onEngineDown(update.engineAddress);
        return;
    }
    for (const auto* upstream : m_registry.usableAt(update.engineAddress)) {
        if (auto* pool = enginePool(upstream->service))
            pool->recordReport(upstream->id, update.report, monotonicNow(), update.division);
    }
    if (m_onCapacity)
        m_onCapacity();
}

TimePoint EntryServices::maintain()
{
    const auto now = monotonicNow();
    m_crashes.expire(now);
    const auto available = m_allowances.expire(now);
    for (auto departure = m_recentDepartures.begin(); departure != m_recentDepartures.end();)
        departure = departure->second.second < now ? m_recentDepartures.erase(departure) : std::next(departure);
    if (m_registry.expire(now))
        m_context.log.write("upstream.grace-ended", {});
    refresh();
    auto next = std::min(available, now + maxMaintenanceDelay);
    if (const auto expiry = m_registry.nextExpiry())
        next = std::min(next, *expiry);
    if (const auto bound = m_oldWeights.nextBound(now, oldWeightsGrace()))
        next = std::min(next, *bound);
    return next;
}

void EntryServices::setEntries(const std::vector<VmIdentity>& entries, const std::vector<std::string>& known)
{
    m_allowances.setEntries(known);
    std::map<std::string, std::string> regions;
    for (const auto& entry : entries)
        regions[entry.id] = entry.region;
    m_retryBudget.setCapacity(m_context.description.retrySlack * budgetShare / double(std::max(known.size(), entries.size() + 1)));
    if (regions == m_entries)
        return;
    m_entries = std::move(regions);
    ++m_usedEnginesRevision;
    refresh();
}

const EntryServices::UsedEngines& EntryServices::usedEngines(const std::string& service)
{
    const auto& description = m_context.description;
    auto& used = m_usedEngines.try_emplace(service, UsedEngines { EngineSubset(description.node, description.region), {} }).first->second;
    if (used.registryRevision == m_registry.revision() && used.entriesRevision == m_usedEnginesRevision)
        return used;
    used.registryRevision = m_registry.revision();
    used.entriesRevision = m_usedEnginesRevision;
    // By address, so that the restart of an engine does not move others.
    auto registered = m_registry.usable(service);
    registered.erase(std::remove_if(registered.begin(), registered.end(), [this](const Upstream* upstream) { return m_eligibility.isEvacuated(upstream->failureDomain); }), registered.end());
    std::map<std::string, std::string> regions;
    for (const auto* upstream : registered)
        regions[upstream->address] = m_eligibility.regionOf(upstream->failureDomain);
    used.subset.update(m_entries, regions, m_routes->restrictedRegions());
    used.upstreams.clear();
    for (const auto* upstream : registered) {
        if (used.subset.contains(upstream->address))
            used.upstreams.push_back(upstream);
    }
    return used;
}

EnginePool* EntryServices::enginePool(const std::string& service)
{
    const auto found = m_enginePools.find(service);
    return found == m_enginePools.end() ? nullptr : &found->second;
}

CallQueue& EntryServices::queue(const std::string& service)
{
    const auto found = m_queues.find(service);
    if (found != m_queues.end())
        return found->second;
    auto& pool = m_enginePools.try_emplace(service, m_random.next()).first->second;
    auto& queue = m_queues.try_emplace(service, pool).first->second;
    return queue;
}

UpstreamPool& EntryServices::plainPool(const std::string& service) { return m_plainPools.try_emplace(service, m_random.next()).first->second; }

}
