#pragma once

#include "UpstreamLimitShare.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace hyssopwick {

/// What an upstream last said of the calls that it takes.
struct UpstreamLimit {
    std::string upstream; ///< id
    std::optional<double> callsPerSecond; ///< from all entry VMs together; nothing when it named no limit any more
    TimePoint origin; ///< from which the places of all entry VMs are counted
    TimePoint namedAt; ///< when it said so

    auto tied() const { return std::tie(upstream, callsPerSecond, origin, namedAt); }
    bool operator==(const UpstreamLimit& other) const { return tied() == other.tied(); }
    bool operator!=(const UpstreamLimit& other) const { return !(*this == other); }
};

/// The limits that upstreams named, as one entry VM knows them from its own answers and from the
/// others, and its share of each. The share does not grow when entry VMs are not heard any more,
/// since they may still send. Pure.
class UpstreamLimits {
public:
    /// \param self  id of this entry VM
    explicit UpstreamLimits(std::string self);

    /// Sets all entry VMs that may send calls.
    void setEntries(std::vector<std::string> ids, TimePoint now);

    /// Records whether an answer named a limit. Returns what the other entry VMs should know, if they
    /// should now.
    /// \param sentAt  when the answered call was sent
    std::optional<UpstreamLimit> recordAnswer(const std::string& upstream, std::optional<double> callsPerSecond, TimePoint sentAt, TimePoint now);

    /// Merges what another entry VM knows. Returns whether it changed anything.
    bool merge(const UpstreamLimit& theirs, TimePoint now);

    /// Returns what an entry VM that missed messages should know.
    std::vector<UpstreamLimit> known() const;

    /// Returns how many calls this entry VM may send to an upstream now, or nothing without a limit.
    std::optional<std::size_t> availableCalls(const std::string& upstream, TimePoint now) const;
    /// Returns the limit of an upstream in calls per second, or nothing without one.
    std::optional<double> callsPerSecond(const std::string& upstream) const;
    /// Returns when this entry VM may send a call to an upstream: now, or when its next place begins.
    TimePoint nextPlace(const std::string& upstream, TimePoint now) const;
    /// Returns the limited upstreams to which this entry VM may not send a call now.
    std::set<std::string> withoutPlace(TimePoint now) const;
    /// Returns when this entry VM has a place at one of these, or nothing if there is none.
    std::optional<TimePoint> firstPlace(TimePoint now) const;

    void recordSend(const std::string& upstream, TimePoint now);

    /// Forgets upstreams that nothing was heard of for long.
    void expire(TimePoint now);

private:
    struct State {
        UpstreamLimit limit;
        std::optional<UpstreamLimitShare> share; // while there is a limit
        TimePoint toldAt;
    };

    void update(State& state, TimePoint now);
    const UpstreamLimitShare* shareOf(const std::string& upstream) const;

    std::string m_self;
    std::size_t m_position = 0;
    std::size_t m_entryCount = 1;
    std::map<std::string, State> m_states; // by upstream
};

}
