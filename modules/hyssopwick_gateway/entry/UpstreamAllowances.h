#pragma once

#include "../runtime/GatewayContext.h"
#include "../runtime/PeerMessage.h"

#include <hyssopwick_requests.h>

namespace hyssopwick {

/// What upstreams in need said in their answers about further calls: for how long they want none,
/// and how many a second they take from all entry VMs together; and which are cold and take few
/// calls for that. Of two limits of an upstream the smaller one counts. Used by one event loop.
class UpstreamAllowances {
public:
    explicit UpstreamAllowances(GatewayContext& context);

    /// Sets the ids of all entry VMs that may serve, which share the limits.
    void setEntries(const std::vector<std::string>& ids);

    /// Sets the configuration in force, which says what cold upstreams take.
    void setConfiguration(const DeploymentConfiguration& configuration);

    void recordRegistration(const Upstream& upstream) { m_cold.recordRegistration(upstream, monotonicNow(), unixNow()); }
    void recordRemoval(const std::string& id);
    /// Records that the upstreams of the first view of the store are all registered.
    void completeFirstView() { m_cold.completeFirstView(); }
    /// Records what an engine's agent reports.
    void recordUpdate(const EngineUpdate& update);
    /// Records that the evacuation of a failure domain ended: its upstreams may be cold.
    void endEvacuation(const std::string& failureDomain);

    /// Records for how long an upstream that refused a call with \p answer wants no further ones.
    void recordRest(const std::string& id, const AnswerDescription& answer);

    /// Records how many calls an upstream said to take. \param sentAt  when the answered call was sent
    void recordLimit(const std::string& id, const AnswerDescription& answer, TimePoint sentAt);
    /// Records what another entry VM knows of a limit.
    void recordLimit(const UpstreamLimit& limit);
    /// Records what another entry VM knows of a limit or of a cold upstream. Returns what that one should be told.
    std::vector<PeerMessage> receive(const LimitObservation& observation);

    /// Returns the limits that an entry VM which missed messages should know.
    std::vector<UpstreamLimit> limits() const { return m_limits.known(); }
    /// Returns the same of cold upstreams.
    std::vector<ColdNotice> coldNotices() const { return m_cold.notices(monotonicNow()); }

    /// Records that a call is sent to an upstream.
    void recordSend(const std::string& id);

    bool isResting(const std::string& id, TimePoint now) const;

    /// Returns when an upstream takes a call of this entry: \p now or later.
    TimePoint availableAt(const std::string& id, TimePoint now) const;

    /// Returns the limited upstreams that take no call of this entry now. \param service  of the call
    std::set<std::string> withoutPlace(const std::string& service);

    /// Sets the limits of a pool's engines.
    void applyTo(EnginePool& pool, const std::set<std::string>& engines);

    /// Drops what has expired. Returns when an upstream takes calls again, or TimePoint::max().
    TimePoint expire(TimePoint now);

    /// Called when it changed which upstreams take calls.
    void onChange(std::function<void()> handler) { m_onChange = std::move(handler); }
    /// Called with a limit that the other entry VMs should know.
    void onLimit(std::function<void(const LimitObservation&)> handler) { m_onLimit = std::move(handler); }

private:
    void changed(const UpstreamLimit& limit, const char* source);
    void noteState(const std::string& id, TimePoint now);
    void wakeAt(TimePoint time, TimePoint now);

    GatewayContext& m_context;
    std::map<std::string, TimePoint> m_restingUntil; // by upstream id
    UpstreamLimits m_limits;
    ColdUpstreams m_cold;
    std::map<std::string, ColdReason> m_notedStates; // of cold upstreams, as last logged
    LoopTimer m_wakeTimer; // for changes that no event tells
    std::optional<TimePoint> m_wakeAt;
    std::function<void()> m_onChange;
    std::function<void(const LimitObservation&)> m_onLimit;
};

}
