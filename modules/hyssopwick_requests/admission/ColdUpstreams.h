#pragma once

#include "CommonOrigin.h"
#include "UpstreamLimitShare.h"

#include <hyssopwick_deployment.h>
#include <map>
#include <set>

namespace hyssopwick {

/// How a service's upstreams have to be treated while cold.
struct ColdRule {
    Milliseconds coldTime { 0 }; ///< after a start
    double callsPerSecond = 0; ///< that a cold upstream takes from all entry VMs together
    double overshoot = 1; ///< factor by which that may be exceeded
    double slack = 0; ///< further calls in any second
    bool hasAgents = false; ///< an upstream that is not heard of may have started anew

    auto tied() const { return std::tie(coldTime, callsPerSecond, overshoot, slack, hasAgents); }
    bool operator==(const ColdRule& other) const { return tied() == other.tied(); }
    bool operator!=(const ColdRule& other) const { return !(*this == other); }
};

/// Why an upstream counts as cold.
enum class ColdReason {
    Registration, ///< its registration or its agent says so
    NewStart, ///< a registration of a start that was not known
    Restart, ///< its agent reported another start
    EvacuationEnd, ///< that of its failure domain
    Peer, ///< another entry VM says so
    NotHeard, ///< a new start cannot be excluded
};

struct ColdState {
    ColdReason reason;
    TimePoint since; ///< of what decided it
    std::optional<TimePoint> until; ///< nothing when it ends with the next report

    auto tied() const { return std::tie(reason, since, until); }
    bool operator==(const ColdState& other) const { return tied() == other.tied(); }
    bool operator!=(const ColdState& other) const { return !(*this == other); }
};

/// What entry VMs tell each other of cold upstreams.
struct ColdNotice {
    TimePoint origin; ///< CommonOrigin
    std::string upstream; ///< id; "" for the origin alone
    TimePoint coldUntil;

    auto tied() const { return std::tie(origin, upstream, coldUntil); }
    bool operator==(const ColdNotice& other) const { return tied() == other.tied(); }
    bool operator!=(const ColdNotice& other) const { return !(*this == other); }
};

/// Which upstreams are cold, as one entry VM knows, and its share of the calls that each takes
/// meanwhile from all entry VMs together. Made for entry VMs that may be cut off from each other, the
/// store and the agents: the share depends on the known entry VMs only, whether or not they are heard,
/// and on an origin that was agreed on before. Pure.
class ColdUpstreams {
public:
    /// \param self  id of this entry VM
    /// \param start  of this process
    ColdUpstreams(std::string self, TimePoint start);

    /// Sets all entry VMs that may send calls, heard or not. \param ids  distinct; with or without that of this one
    void setEntries(const std::vector<std::string>& ids, TimePoint now);
    /// Sets the rules of the services whose upstreams may be cold.
    void setRules(std::map<std::string, ColdRule> rules);
    bool hasRules() const { return !m_rules.empty(); }

    /// Records a registration. \param unixTime  wall clock, which may be seconds apart from others'
    void recordRegistration(const Upstream& upstream, TimePoint now, UnixMilliseconds unixTime);
    /// Records that a registration ended. A start that comes back within two minutes is not a new one.
    void recordRemoval(const std::string& id, TimePoint now);
    /// Records that the first view of the store is complete: starts that are not known are new from now on.
    void completeFirstView() { m_isFirstView = false; }
    /// Records the last report of an engine that does not answer its agent: not news of it.
    void recordOldReport(const std::string& address, const EngineReport& report, TimePoint now);
    /// Records the report of the engine at an address. Returns whether it may have changed which upstreams are cold.
    bool recordReport(const std::string& address, const EngineReport& report, TimePoint now);
    void recordEvacuationEnd(const std::string& failureDomain, TimePoint now) { m_evacuationEnds[failureDomain] = now; }

    /// Merges what another entry VM knows. Returns whether that one should be told of an earlier origin.
    bool merge(const ColdNotice& notice, TimePoint now);
    /// Returns what another entry VM that may have missed messages should know: few upstreams at once.
    std::vector<ColdNotice> notices(TimePoint now) const;
    ColdNotice originNotice(TimePoint now) const { return { m_origin.origin(), "", now }; }
    /// Returns what all other entry VMs should know of an upstream that turned cold, if this one is to
    /// tell them: a few of all do.
    std::optional<ColdNotice> announcement(const std::string& id, TimePoint now) const;

    /// Returns why and until when an upstream counts as cold, or nothing.
    std::optional<ColdState> stateOf(const std::string& id, TimePoint now) const;
    /// Returns when the state or the places of an upstream may change without an event.
    std::optional<TimePoint> nextChange(const std::string& id, TimePoint now) const;

    /// Returns the limit of a cold upstream for all entry VMs together, or nothing.
    std::optional<double> callsPerSecond(const std::string& id, TimePoint now) const;
    /// Returns how many calls this entry VM may send to an upstream now, or nothing without a limit.
    std::optional<std::size_t> availableCalls(const std::string& id, TimePoint now) const;
    /// Returns when this entry VM may send a call to an upstream: now, or when its next place begins.
    TimePoint nextPlace(const std::string& id, TimePoint now) const;
    /// Returns the registered upstreams of a service, none if they are never cold.
    const std::set<std::string>& upstreamsOf(const std::string& service) const;
    void recordSend(const std::string& id, TimePoint now);

    /// Returns whether the origin and the members are agreed on with other entry VMs. Without that, this one
    /// uses a third of its places or fewer, since others may have them at the same time.
    bool isInStep(TimePoint now) const { return now >= m_membersSettledAt && m_origin.isAgreed(now); }
    std::size_t entryCount() const { return m_entryCount; }

    /// Forgets what is not needed any more.
    void expire(TimePoint now);

private:
    struct State {
        Upstream upstream;
        TimePoint registeredAt; // this start, first
        TimePoint toldAt; // the last registration
        std::optional<Milliseconds> ageInFirstView; // by the wall clock, when only that tells it
        std::optional<TimePoint> newSince; // the start was not known before
        std::optional<TimePoint> peerUntil;
        std::optional<TimePoint> removedAt;
        mutable std::optional<UpstreamLimitShare> share; // made when it is needed
    };

    // What the agent at an address reported.
    struct Reported {
        UnixMilliseconds startedAt = 0;
        TimePoint since; // of the first report of this start
        bool isRestart = false; // another start was known before
        TimePoint heardAt;
        Milliseconds coldLeft { 0 };
    };

    const ColdRule* ruleOf(const State& state) const;
    const State* find(const std::string& id) const;
    std::optional<ColdState> stateOf(const State& state, TimePoint now) const;
    UpstreamLimitShare* shareOf(const std::string& id, TimePoint now) const;

    std::string m_self;
    CommonOrigin m_origin;
    std::size_t m_position = 0;
    std::size_t m_entryCount = 1;
    std::size_t m_turnCount = 1;
    TimePoint m_membersSettledAt; // until then, more entry VMs than known may be there
    bool m_isFirstView = true;
    std::map<std::string, ColdRule> m_rules; // by service
    std::map<std::string, State> m_states; // by upstream id
    std::map<std::string, std::set<std::string>> m_ids; // of the registered upstreams, by service
    std::map<std::string, Reported> m_reported; // by engine address
    std::map<std::string, TimePoint> m_evacuationEnds; // by failure domain
};

/// Returns the name of a reason in logs and metrics.
const char* coldReasonName(ColdReason reason);

}
