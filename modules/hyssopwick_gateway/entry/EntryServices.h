#pragma once

#include "../runtime/GatewayContext.h"
#include "../runtime/PeerSocket.h"
#include "../view/EvacuationRecord.h"
#include "CrashContainment.h"
#include "HeldAnswer.h"
#include "UpstreamAllowances.h"
#include "UpstreamChecks.h"

#include <hyssopwick_requests.h>

namespace hyssopwick {

/// The last update of an engine from its agent.
struct EngineStatus {
    EngineUpdate update;
    TimePoint receivedAt;
};

/// How old the view of the store is.
struct ViewAge {
    Milliseconds likely { 0 }; ///< since it was known to be current, if this process reads answers at once
    Milliseconds confirmed { 0 }; ///< since it certainly was
};

/// What the calls of one entry VM share: the active configuration, the upstreams and the
/// decisions about them. Used by one event loop.
class EntryServices {
public:
    explicit EntryServices(GatewayContext& context);

    void setConfiguration(const DeploymentConfiguration& configuration);
    void setUpstream(const Upstream& upstream, RegistrationSource source = RegistrationSource::Owner);
    void removeUpstream(const std::string& id, RegistrationEnd end);
    /// \param earliestPublication  the earliest time at which the version may have been published
    void addVersion(const WeightsVersion& version, TimePoint earliestPublication);
    void recordEngineUpdate(const EngineUpdate& update);
    /// Begins or ends the evacuation of a failure domain.
    void setEvacuated(const Evacuation& evacuation, bool hasBegun) { m_usedEnginesRevision += recordEvacuation(m_context, m_eligibility, evacuation, hasBegun); }

    /// Records that an upstream said in an answer to this process that it leaves, and passes it on.
    void recordLeaving(const std::string& id);
    /// Records what another process observed.
    void recordLeaving(const LeavingObservation& observation);

    /// Returns the departures that an entry VM which missed messages should know.
    std::vector<LeavingObservation> recentDepartures() const;

    /// Records what an upstream says of itself in the head of an answer: that it leaves, for how long
    /// it wants no further calls, and how many it takes.
    /// \param sentAt  when the answered call was sent
    void recordAnswerHead(const std::string& id, unsigned status, const AnswerDescription& answer, TimePoint sentAt);

    /// Chooses an upstream of a plain service that has a place for a call, or nothing.
    std::optional<std::string> choosePlain(const std::string& service, const std::set<std::string>& excluded, const RegionSet& allowed);

    /// Returns for how long no upstream of a service in the allowed regions takes a call of this entry, or
    /// nothing if one takes calls or none is registered.
    std::optional<Milliseconds> restOfAll(const std::string& service, const RegionSet& allowed) const;

    const std::shared_ptr<AnswerMemory>& answerMemory() const { return m_answerMemory; }

    /// Recomputes which upstreams may be chosen. Call after each batch of changes.
    void refresh();

    /// Drops what has expired. Returns when to call this next.
    TimePoint maintain();

    /// Sets the other entry VMs, which share the engines.
    /// \param known  ids of all that may serve, heard or not, which share the retry budget and the
    ///               limits of upstreams
    void setEntries(const std::vector<VmIdentity>& entries, const std::vector<std::string>& known);

    /// Returns the active configuration, or nullptr before the first.
    const RouteTablePointer& routes() const { return m_routes; }

    /// Sets the source of viewAge(). Without one, the view is taken for current.
    void setViewAge(std::function<ViewAge()> source) { m_viewAge = std::move(source); }
    /// Returns how old the view is from which the active configuration was read.
    ViewAge viewAge() const { return m_viewAge ? m_viewAge() : ViewAge(); }

    /// Returns the pool of a service with engines, or nullptr.
    EnginePool* enginePool(const std::string& service);
    /// Returns the queue of a service that has engines.
    CallQueue& queue(const std::string& service);
    /// Returns the pool of a plain service.
    UpstreamPool& plainPool(const std::string& service);

    const Upstream* upstream(const std::string& id) const { return m_registry.find(id); }

    /// Returns whether an upstream may be sent a call now: it does not leave, wants calls, and serves in the allowed
    /// regions; an engine serves and holds weights that may be used. Its load is not considered.
    bool mayReceiveCalls(const ServiceDescription& service, const std::string& id, const RegionSet& allowed) const;

    /// Returns the status of the engine at an address, or nullptr.
    const EngineStatus* engineAt(const std::string& address) const;

    /// Returns the versions that an engine has loaded as far as known, by model.
    std::map<std::string, std::uint64_t> loadedVersions(const Upstream& upstream) const;

    /// Returns the version that an engine has loaded of its first model as far as known; 0 for none.
    std::uint64_t loadedVersion(const Upstream& upstream) const;

    /// Returns until when calls may begin on the weights that an engine has loaded, or nothing
    /// while no newer version was published.
    std::optional<TimePoint> usableUntil(const Upstream& upstream) const;

    /// Returns the same for a call that waits at an engine. An engine that is loading or no
    /// longer registered may still begin the call on the weights that were loaded at the send.
    std::optional<TimePoint> usableUntil(const std::string& upstreamId, const std::map<std::string, std::uint64_t>& loadedVersionsAtSend) const;

    /// Returns whether the engine at \p address did not answer its agent when that was last heard.
    bool seemsDown(const std::string& address) const;

    /// Returns for how long after the publication of a version calls may begin on older weights.
    Milliseconds oldWeightsGracePeriod() const;

    /// Returns the engines of a service that this entry uses, until the next change of the registry.
    const std::vector<const Upstream*>& enginesInUse(const std::string& service) { return usedEngines(service).upstreams; }

    /// Sets when this process, which is stopping, aborts the calls that still run.
    void setStopBy(TimePoint stopBy) { m_stopBy = stopBy; }
    /// Returns when that is, or nothing while the process is not stopping.
    std::optional<TimePoint> stopBy() const { return m_stopBy; }

    RetryBudget& budget() { return m_retryBudget; }
    CrashContainment& crashes() { return m_crashes; }
    UpstreamAllowances& allowances() { return m_allowances; }
    const UpstreamEligibility& eligibility() const { return m_eligibility; }
    RandomSource& random() { return m_random; }
    GatewayContext& context() { return m_context; }

    /// Called when an engine was found to be down, with its address.
    void onEngineDown(std::function<void(const std::string&)> handler) { m_onEngineDown = std::move(handler); }
    /// Called when an upstream said to this process that it leaves.
    void onLeaving(std::function<void(const LeavingObservation&)> handler) { m_onLeaving = std::move(handler); }
    /// Called when the times until which calls may begin on old weights may have changed: a version was published, or
    /// an engine reports other versions than before.
    void onBeginLimits(std::function<void()> handler) { m_onBeginLimits = std::move(handler); }
    /// Called when a pool changed or an engine update arrived.
    void onCapacity(std::function<void()> handler) { m_onCapacity = std::move(handler); }

private:
    bool markLeaving(const std::string& id, UnixMilliseconds startedAt, const char* source);
    bool isUsableEngine(const Upstream& upstream) const;
    OldWeightsGrace oldWeightsGrace() const;
    // The engines of a service that this entry uses, computed at changes of the registry or of the entries.
    struct UsedEngines {
        EngineSubset subset;
        std::vector<const Upstream*> upstreams; // valid at registryRevision
        std::uint64_t registryRevision = 0;
        std::uint64_t entriesRevision = 0;
    };

    const UsedEngines& usedEngines(const std::string& service);
    std::map<std::string, ExpectedEngines> expectedEngines(const std::vector<const Upstream*>& engines) const;
    void updateEligibility(const std::string& service);

    GatewayContext& m_context;
    RouteTablePointer m_routes;
    std::function<ViewAge()> m_viewAge;
    UpstreamRegistry m_registry;
    UpstreamEligibility m_eligibility;
    std::map<std::string, EngineStatus> m_engineStatus; // by engine address
    OldWeightsBounds m_oldWeights { monotonicNow() };
    std::map<std::string, EnginePool> m_enginePools;
    std::map<std::string, CallQueue> m_queues;
    std::map<std::string, std::string> m_entries; // the others' regions, by id
    std::uint64_t m_usedEnginesRevision = 1; // changes with the entries, the restricted regions and the evacuations
    std::map<std::string, UsedEngines> m_usedEngines; // by service
    std::map<std::string, std::uint64_t> m_eligibleAt; // by service: revision for which its eligible upstreams were found
    std::optional<TimePoint> m_stopBy;
    std::map<std::string, UpstreamPool> m_plainPools;
    RetryBudget m_retryBudget;
    CrashContainment m_crashes;
    RandomSource m_random;
    std::function<void(const std::string&)> m_onEngineDown;
    UpstreamChecks m_checks;
    std::map<std::string, std::pair<LeavingObservation, TimePoint>> m_recentDepartures; // by upstream id: and until when to repeat it
    UpstreamAllowances m_allowances;
    std::shared_ptr<AnswerMemory> m_answerMemory;
    std::function<void(const LeavingObservation&)> m_onLeaving;
    std::function<void()> m_onBeginLimits;
    std::function<void()> m_onCapacity;
};

}
