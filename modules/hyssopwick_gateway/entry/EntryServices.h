#pragma once

#include "../runtime/GatewayContext.h"
#include "../runtime/PeerSocket.h"

#include <hyssopwick_requests.h>

namespace hyssopwick {

/// An engine as its agent tells of it.
struct EngineStatus {
    EngineUpdate news;
    TimePoint receivedAt;
};

/// What the calls of one entry VM share: the configuration in force, the upstreams and
/// the decisions about them. Used by one event loop.
class EntryServices {
public:
    explicit EntryServices(GatewayContext& context);

    void setConfiguration(const DeploymentConfiguration& configuration);
    void setUpstream(const Upstream& upstream);
    void removeUpstream(const std::string& id, bool isReadable);
    /// \param namedAfter  the earliest moment at which the version may have been named
    void addVersion(const WeightsVersion& version, TimePoint namedAfter);
    void recordEngineNews(const EngineUpdate& news);

    /// Recomputes which upstreams may be chosen. Call after a batch of changes.
    void refresh();

    /// Drops what has expired; returns when to call this next.
    TimePoint maintain();

    /// Sets how many entry VMs share the retry budget.
    void setEntryCount(std::size_t entries);

    /// Returns the configuration in force, or nullptr before the first.
    const RouteTablePointer& routes() const { return m_routes; }

    /// Returns the pool of a service with engines, or nullptr.
    EnginePool* enginePool(const std::string& service);
    /// Returns the queue before a service's engines; the service must have some.
    CallQueue& queue(const std::string& service);
    /// Returns the pool of a plain service.
    UpstreamPool& plainPool(const std::string& service);

    const Upstream* upstream(const std::string& id) const { return m_registry.find(id); }

    /// Returns the status of the engine at an address, or nullptr.
    const EngineStatus* engineAt(const std::string& address) const;

    /// Returns the versions that an engine holds, by model, as far as is known here.
    std::map<std::string, std::uint64_t> loadedVersions(const Upstream& upstream) const;

    /// Returns the version of its model that an engine holds as far as is known here; 0 for none.
    std::uint64_t heldVersion(const Upstream& upstream) const;

    /// Returns until when calls may begin on the weights that an engine holds, or nothing
    /// while no newer ones were named.
    std::optional<TimePoint> usableUntil(const Upstream& upstream) const;

    /// Returns the same for a call that waits at an engine. One that is not registered any more,
    /// or loads, may still begin the call on what it held when the call was sent.
    std::optional<TimePoint> usableUntil(const std::string& upstreamId, const std::map<std::string, std::uint64_t>& heldAtSend) const;

    /// Returns for how long calls may still begin on weights after newer ones were named.
    Milliseconds oldWeightsGracePeriod() const;

    /// Returns the addresses of agents that were not heard of lately.
    std::vector<std::string> silentAgents() const;

    /// Sets when this process cuts what still runs, because it stops.
    void setStopBy(TimePoint stopBy) { m_stopBy = stopBy; }
    /// Returns that moment, or nothing while the process is not stopping.
    std::optional<TimePoint> stopBy() const { return m_stopBy; }

    RetryBudget& budget() { return m_budget; }
    CrashSuspicion& suspicion() { return m_suspicion; }
    RandomSource& random() { return m_random; }
    GatewayContext& context() { return m_context; }

    /// Records that a request was sent to an upstream whose connection ended without an answer.
    void recordLostCall(const std::string& address, const Digest& request);
    /// Records that an upstream turned out to be down: what it lost shortly before may have
    /// crashed it.
    void recordUpstreamDown(const std::string& address);

    /// Called with each request that was in flight when an upstream went down.
    void onCrashObservation(std::function<void(const CrashObservation&)> handler) { m_onCrashSighting = std::move(handler); }
    /// Called when an engine turned out to be down, with its address.
    void onEngineDown(std::function<void(const std::string&)> handler) { m_onEngineDown = std::move(handler); }
    /// Called when a version was named.
    void onVersion(std::function<void()> handler) { m_onVersion = std::move(handler); }
    /// Called when a pool changed or an engine reported.
    void onCapacity(std::function<void()> handler) { m_onCapacity = std::move(handler); }

private:
    bool isUsableEngine(const Upstream& upstream) const;
    std::string regionOf(const std::string& failureDomain) const;
    std::optional<TimePoint> usableUntil(const std::map<std::string, std::uint64_t>& loadedVersions) const;
    std::size_t answeringEngines(const std::vector<const Upstream*>& registered) const;
    std::optional<TimePoint> enginesExpectedAt(const std::string& service) const;

    GatewayContext& m_context;
    RouteTablePointer m_routes;
    UpstreamRegistry m_registry;
    std::map<std::string, EngineStatus> m_engineStatus; // by engine address
    std::map<std::string, std::map<std::uint64_t, TimePoint>> m_namedVersions; // model, version, when it may have been named
    std::map<std::string, EnginePool> m_engines;
    std::map<std::string, CallQueue> m_queues;
    std::size_t m_fleetSize = 1;
    std::optional<TimePoint> m_stopBy;
    std::map<std::string, UpstreamPool> m_plain;
    RetryBudget m_budget;
    CrashSuspicion m_suspicion;
    RandomSource m_random;
    std::map<std::string, std::vector<std::pair<Digest, TimePoint>>> m_lostCalls; // by upstream address
    std::function<void(const CrashObservation&)> m_onCrashSighting;
    std::function<void(const std::string&)> m_onEngineDown;
    std::function<void()> m_onVersion;
    std::function<void()> m_onCapacity;
};

}
