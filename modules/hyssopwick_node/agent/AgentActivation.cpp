#include "AgentActivation.h"

#include <algorithm>

namespace hyssopwick {

namespace {
    constexpr Milliseconds longestLoad { 30'000 };
    constexpr Milliseconds orderMargin { 200 };
    constexpr Milliseconds expiredGrantPatience { 4000 };
}

AgentActivation::AgentActivation(NodeContext& context, AgentWeights& weights, AgentDoor& door)
    : m_context(context)
    , m_weights(weights)
    , m_door(door)
    , m_upstream(context)
{
}

void AgentActivation::setWanted(const std::vector<PlacementRecord>& wanted)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    for (auto& [name, state] : m_states)
        state.isWanted = false;
    for (const auto& placement : wanted) {
        auto& state = m_states[placement.name];
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
    const auto state = m_states.find(grant.placement);
    if (state == m_states.end() || !state->second.isWanted || state->second.wanted.manifest != grant.manifest)
        return;
    if (grant.fencingToken < m_highestFence) {
        m_context.metrics.count("grant_refusals_total", "old-fence");
        return;
    }
    m_highestFence = grant.fencingToken;
    state->second.grant = grant;
}

void AgentActivation::advance()
{
    std::unique_lock<std::mutex> advancing(m_advanceMutex, std::try_to_lock);
    if (!advancing.owns_lock())
        return;
    confirm();
    std::vector<std::string> ready;
    const auto now = monotonicNow();
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        for (auto& [name, state] : m_states) {
            const bool isDue = state.isWanted && state.serving.manifest != state.wanted.manifest && state.failed != state.wanted.manifest;
            if (!isDue || !state.grant || now + orderMargin >= state.grant->validUntil || !m_weights.isStaged(state.wanted.manifest))
                continue;
            state.isPaused = true;
            ready.push_back(name);
        }
    }
    publish();
    for (const auto& name : ready) {
        if (m_door.inFlightOn(name) == 0)
            order(name);
    }
    publish();
}

// What the engine says decides what is announced: a late order of an earlier
// coordinator to an engine that ignores fencing shows here.
void AgentActivation::confirm()
{
    bool hasWork = false;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        hasWork = !m_states.empty();
    }
    if (!hasWork)
        return;
    const auto models = m_upstream.loadedModels();
    std::lock_guard<std::mutex> lock(m_mutex);
    for (auto& [name, state] : m_states) {
        ServedVersion confirmed;
        for (const auto& model : models ? models.value() : std::vector<LoadedModel>()) {
            if (model.name == name)
                confirmed = { model.name, model.version, model.manifest };
        }
        if (confirmed == state.serving)
            continue;
        if (!confirmed.manifest.isEmpty() && confirmed.manifest == state.wanted.manifest && m_weights.isStaged(confirmed.manifest)) {
            state.isPaused = false;
            m_context.log.write("serving.started", { { "placement", name }, { "version", confirmed.version }, { "manifest", confirmed.manifest.hex() }, { "vm", m_context.settings.vm.id } });
            state.serving = confirmed;
            continue;
        }
        if (!state.serving.manifest.isEmpty()) {
            m_context.log.write("serving.stopped", { { "placement", name }, { "version", state.serving.version }, { "vm", m_context.settings.vm.id } });
            state.serving = ServedVersion();
        }
    }
}

void AgentActivation::order(const std::string& placement)
{
    PlacementRecord wanted;
    ActivationGrant grant;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        auto& state = m_states[placement];
        if (!state.grant || !state.isWanted)
            return;
        wanted = state.wanted;
        grant = *state.grant;
        state.grant.reset();
    }
    m_context.log.write("engine.ordered", { { "placement", placement }, { "version", wanted.version }, { "manifest", wanted.manifest.hex() }, { "fence", std::to_string(grant.fencingToken) }, { "vm", m_context.settings.vm.id } });
    // The process may have been paused since the grant was looked at.
    if (monotonicNow() + orderMargin >= grant.validUntil) {
        m_context.metrics.count("order_refusals_total", "grant-expired");
        m_context.log.write("engine.order-dropped", { { "placement", placement }, { "reason", "grant-expired" } });
        return;
    }
    const auto ordered = m_upstream.orderLoad(wanted, grant.fencingToken, monotonicNow() + longestLoad);
    if (ordered) {
        m_context.log.write("engine.loaded", { { "placement", placement }, { "version", wanted.version }, { "manifest", wanted.manifest.hex() }, { "vm", m_context.settings.vm.id } });
        confirm();
        return;
    }
    m_context.metrics.count("order_failures_total", errorCodeName(ordered.error().code));
    m_context.log.write("engine.load-failed", { { "placement", placement }, { "version", wanted.version }, { "manifest", wanted.manifest.hex() }, { "reason", errorCodeName(ordered.error().code) }, { "detail", ordered.error().message }, { "vm", m_context.settings.vm.id } });
    std::lock_guard<std::mutex> lock(m_mutex);
    auto& state = m_states[placement];
    state.isPaused = false;
    if (ordered.error().code == ErrorCode::InvalidInput)
        state.failed = wanted.manifest;
}

void AgentActivation::publish()
{
    std::map<std::string, std::string> versions;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        for (auto& [name, state] : m_states) {
            // A pause without a valid grant would keep the old version out of service.
            if (state.grant && monotonicNow() > state.grant->validUntil + expiredGrantPatience)
                state.grant.reset();
            if (state.isPaused && !state.grant && state.serving.manifest != state.wanted.manifest)
                state.isPaused = false;
            if (!state.serving.manifest.isEmpty() && !state.isPaused && state.isWanted)
                versions[name] = state.serving.version;
        }
        for (auto version = versions.begin(); version != versions.end();) {
            const auto& base = m_states[version->first].wanted.base;
            const bool hasBase = base.empty() || versions.count(base) != 0;
            version = hasBase ? std::next(version) : versions.erase(version);
        }
    }
    m_door.setServing(versions);
}

std::map<std::string, ReplicaReport> AgentActivation::reports() const
{
    std::map<std::string, ReplicaReport> reports;
    std::lock_guard<std::mutex> lock(m_mutex);
    for (const auto& [name, state] : m_states) {
        if (!state.isWanted)
            continue;
        ReplicaReport report;
        report.vm = m_context.settings.vm.id;
        if (!state.isPaused)
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
    for (const auto& [name, state] : m_states) {
        if (state.isWanted && !state.isPaused && !state.serving.manifest.isEmpty())
            serving.push_back(state.serving);
    }
    return serving;
}

std::set<Digest> AgentActivation::manifestsInService() const
{
    std::set<Digest> manifests;
    std::lock_guard<std::mutex> lock(m_mutex);
    for (const auto& [name, state] : m_states) {
        if (!state.serving.manifest.isEmpty())
            manifests.insert(state.serving.manifest);
    }
    return manifests;
}

}
