#include "AgentActivation.h"

#include <algorithm>

namespace hyssopwick {

namespace {
    constexpr Milliseconds loadTimeout { 30'000 };
    constexpr Milliseconds grantSafetyMargin { 200 };
    constexpr Milliseconds expiredGrantRetention { 4000 };
}

AgentActivation::AgentActivation(NodeContext& context, AgentWeights& weights, UpstreamProxy& proxy)
    : m_context(context)
    , m_weights(weights)
    , m_proxy(proxy)
    , m_upstream(context)
{
}

void AgentActivation::setWanted(const std::vector<PlacementRecord>& wanted)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    for (auto& [name, state] : m_placements)
        state.isWanted = false;
    for (const auto& placement : wanted) {
        auto& state = m_placements[placement.name];
        if (state.wanted.manifest != placement.manifest) {
            state.failed = Digest();
            state.grant.reset();
        }
        state.wanted = placement;
        state.isWanted = true;
    }
}

void AgentActivation::receiveGrant(const ActivationGrant& grant)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    const auto state = m_placements.find(grant.placement);
    if (state == m_placements.end() || !state->second.isWanted || state->second.wanted.manifest != grant.manifest)
        return;
    if (grant.fencingToken < m_highestFencingToken) {
        m_context.metrics.count("grant_refusals_total", "old-fence");
        return;
    }
    m_highestFencingToken = grant.fencingToken;
    state->second.grant = grant;
}

void AgentActivation::advance()
{
    std::unique_lock<std::mutex> advancing(m_advanceMutex, std::try_to_lock);
    if (!advancing.owns_lock())
        return;
    confirmServing();
    std::vector<std::string> ready;
    const auto now = monotonicNow();
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        for (auto& [name, state] : m_placements) {
            const bool isDue = state.isWanted && state.serving.manifest != state.wanted.manifest && state.failed != state.wanted.manifest;
            if (!isDue || !state.grant || now + grantSafetyMargin >= state.grant->validUntil || !m_weights.isStaged(state.wanted.manifest))
                continue;
            state.isDraining = true;
            ready.push_back(name);
        }
    }
    publishServing();
    for (const auto& name : ready) {
        if (m_proxy.inFlightOn(name) == 0)
            orderLoad(name);
    }
    publishServing();
}

// Announces only what the engine itself reports as loaded. This detects a delayed order of an
// earlier coordinator that an engine without fencing has carried out.
void AgentActivation::confirmServing()
{
    bool hasWork = false;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        hasWork = !m_placements.empty();
    }
    if (!hasWork)
        return;
    const auto models = m_upstream.loadedModels();
    std::lock_guard<std::mutex> lock(m_mutex);
    for (auto& [name, state] : m_placements) {
        ServedVersion reported;
        for (const auto& model : models ? models.value() : std::vector<LoadedModel>()) {
            if (model.name == name)
                reported = { model.name, model.version, model.manifest };
        }
        if (reported == state.serving)
            continue;
        if (!reported.manifest.isEmpty() && reported.manifest == state.wanted.manifest && m_weights.isStaged(reported.manifest)) {
            state.isDraining = false;
            m_context.log.write("serving.started", { { "placement", name }, { "version", reported.version }, { "manifest", reported.manifest.hex() }, { "vm", m_context.settings.vm.id } });
            state.serving = reported;
            continue;
        }
        if (!state.serving.manifest.isEmpty()) {
            m_context.log.write("serving.stopped", { { "placement", name }, { "version", state.serving.version }, { "vm", m_context.settings.vm.id } });
            state.serving = ServedVersion();
        }
    }
}

void AgentActivation::orderLoad(const std::string& placement)
{
    PlacementRecord wanted;
    ActivationGrant grant;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        auto& state = m_placements[placement];
        if (!state.grant || !state.isWanted)
            return;
        wanted = state.wanted;
        grant = *state.grant;
        state.grant.reset();
    }
    m_context.log.write("engine.ordered", { { "placement", placement }, { "version", wanted.version }, { "manifest", wanted.manifest.hex() }, { "fence", std::to_string(grant.fencingToken) }, { "vm", m_context.settings.vm.id } });
    // The process may have been suspended after advance() checked the grant.
    if (monotonicNow() + grantSafetyMargin >= grant.validUntil) {
        m_context.metrics.count("order_refusals_total", "grant-expired");
        m_context.log.write("engine.order-dropped", { { "placement", placement }, { "reason", "grant-expired" } });
        return;
    }
    const auto ordered = m_upstream.orderLoad(wanted, grant.fencingToken, monotonicNow() + loadTimeout);
    if (ordered) {
        m_context.log.write("engine.loaded", { { "placement", placement }, { "version", wanted.version }, { "manifest", wanted.manifest.hex() }, { "vm", m_context.settings.vm.id } });
        confirmServing();
        return;
    }
    m_context.metrics.count("order_failures_total", errorCodeName(ordered.error().code));
    m_context.log.write("engine.load-failed", { { "placement", placement }, { "version", wanted.version }, { "manifest", wanted.manifest.hex() }, { "reason", errorCodeName(ordered.error().code) }, { "detail", ordered.error().message }, { "vm", m_context.settings.vm.id } });
    std::lock_guard<std::mutex> lock(m_mutex);
    auto& state = m_placements[placement];
    state.isDraining = false;
    if (ordered.error().code == ErrorCode::InvalidInput)
        state.failed = wanted.manifest;
}

void AgentActivation::publishServing()
{
    std::map<std::string, std::string> versions;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        for (auto& [name, state] : m_placements) {
            // Draining without a valid grant would keep the old version out of service.
            if (state.grant && monotonicNow() > state.grant->validUntil + expiredGrantRetention)
                state.grant.reset();
            if (state.isDraining && !state.grant && state.serving.manifest != state.wanted.manifest)
                state.isDraining = false;
            if (!state.serving.manifest.isEmpty() && !state.isDraining && state.isWanted)
                versions[name] = state.serving.version;
        }
        for (auto version = versions.begin(); version != versions.end();) {
            const auto& base = m_placements[version->first].wanted.base;
            const bool hasBase = base.empty() || versions.count(base) != 0;
            version = hasBase ? std::next(version) : versions.erase(version);
        }
    }
    m_proxy.setServing(versions);
}

std::map<std::string, ReplicaReport> AgentActivation::reports() const
{
    std::map<std::string, ReplicaReport> reports;
    std::lock_guard<std::mutex> lock(m_mutex);
    for (const auto& [name, state] : m_placements) {
        if (!state.isWanted)
            continue;
        ReplicaReport report;
        report.vm = m_context.settings.vm.id;
        if (!state.isDraining)
            report.serving = state.serving.manifest;
        report.staged = m_weights.isStaged(state.wanted.manifest) ? state.wanted.manifest : Digest();
        report.failed = state.failed;
        reports.emplace(name, report);
    }
    return reports;
}

std::vector<ServedVersion> AgentActivation::serving() const
{
    std::vector<ServedVersion> serving;
    std::lock_guard<std::mutex> lock(m_mutex);
    for (const auto& [name, state] : m_placements) {
        if (state.isWanted && !state.isDraining && !state.serving.manifest.isEmpty())
            serving.push_back(state.serving);
    }
    return serving;
}

std::set<Digest> AgentActivation::manifestsInService() const
{
    std::set<Digest> manifests;
    std::lock_guard<std::mutex> lock(m_mutex);
    for (const auto& [name, state] : m_placements) {
        if (!state.serving.manifest.isEmpty())
            manifests.insert(state.serving.manifest);
    }
    return manifests;
}

}
