#pragma once

#include "../runtime/GatewayContext.h"

#include <hyssopwick_requests.h>

namespace hyssopwick {

/// What upstreams in need said in their answers about further calls: for how long they want none,
/// and how many a second they take from all entry VMs together. Used by one event loop.
class UpstreamAllowances {
public:
    explicit UpstreamAllowances(GatewayContext& context);

    /// Sets the ids of all entry VMs that may serve, which share the limits.
    void setEntries(const std::vector<std::string>& ids) { m_limits.setEntries(ids, monotonicNow()); }

    /// Records for how long an upstream that refused a call with \p answer wants no further ones.
    void recordRest(const std::string& id, const AnswerDescription& answer);

    /// Records how many calls an upstream said to take. \param sentAt  when the answered call was sent
    void recordLimit(const std::string& id, const AnswerDescription& answer, TimePoint sentAt);
    /// Records what another entry VM knows of a limit.
    void recordLimit(const UpstreamLimit& limit);

    /// Returns the limits that an entry VM which missed messages should know.
    std::vector<UpstreamLimit> limits() const { return m_limits.known(); }

    /// Records that a call is sent to an upstream.
    void recordSend(const std::string& id);

    bool isResting(const std::string& id, TimePoint now) const;

    /// Returns when an upstream takes a call of this entry: \p now or later.
    TimePoint availableAt(const std::string& id, TimePoint now) const;

    /// Returns the limited upstreams that take no call of this entry now.
    std::set<std::string> withoutPlace() const { return m_limits.withoutPlace(monotonicNow()); }

    /// Sets the limits of a pool's engines.
    void applyTo(EnginePool& pool, const std::set<std::string>& engines) const;

    /// Drops what has expired. Returns when an upstream takes calls again, or TimePoint::max().
    TimePoint expire(TimePoint now);

    /// Called when it changed which upstreams take calls.
    void onChange(std::function<void()> handler) { m_onChange = std::move(handler); }
    /// Called with a limit that the other entry VMs should know.
    void onLimit(std::function<void(const UpstreamLimit&)> handler) { m_onLimit = std::move(handler); }

private:
    void changed(const UpstreamLimit& limit, const char* source);

    GatewayContext& m_context;
    std::map<std::string, TimePoint> m_restingUntil; // by upstream id
    UpstreamLimits m_limits;
    std::function<void()> m_onChange;
    std::function<void(const UpstreamLimit&)> m_onLimit;
};

}
