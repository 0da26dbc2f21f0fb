#pragma once

#include <hyssopwick_core.h>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace hyssopwick {

/// The store itself.
struct StoreSource {
    bool operator==(const StoreSource&) const { return true; }
};

/// The view of another process.
struct PeerSource {
    std::string id;
    std::string address;

    bool operator==(const PeerSource& other) const { return id == other.id && address == other.address; }
};

using ViewSource = std::variant<StoreSource, PeerSource>;

/// Why a source gave no answer, as far as the process can tell.
enum class FailureCause {
    Source, ///< or the network
    Self, ///< the process was late, or it exceeded the source's limits
};

/// Selects the source from which a process replicates the store. A few entry VMs of each
/// region follow the store, all others follow one of these, so that the calls to the
/// store grow with the number of regions, not of processes. A source that fails or whose own
/// view is stale is replaced by the next one of the region. Entry VMs follow only those
/// before them in the region's order, which excludes cycles within it; a source other than the
/// preferred one has to know more than this process, which excludes others. The one that is asked
/// in place of the preferred one changes from try to try: some VMs may not reach the store. The link between two regions
/// has little bandwidth, so processes switch to the store or another region one after the
/// other, the first of the order at once: the others can then follow it. Pure: no clock, no I/O.
class ViewSourceDecision {
public:
    /// \param isEntry  whether this process may be one that follows the store
    /// \param seeds    addresses of the processes that read the store for the others when
    ///                 a deployment starts; empty for a process that reads it itself
    ViewSourceDecision(VmIdentity self, bool isEntry, std::vector<std::string> seeds = {});

    /// Replaces the list of live entry VMs, which excludes this one.
    void setEntries(const std::vector<VmIdentity>& entries);

    /// Returns the source to ask now.
    ViewSource source() const;

    /// Returns a peer to ask beside the current one, whose answer arrives slowly: of another region if
    /// there is one, since all followers of the region share the slow link. Nothing if there is none, or if
    /// the store is followed, whose answers share no link but this VM's own.
    std::optional<PeerSource> alternative() const;

    /// Returns whether this process follows the store while all sources work.
    bool isDesignated() const { return m_isDesignated; }

    /// Records an answer of \p source. \param age  of its view of the store
    void recordAnswer(const ViewSource& source, Milliseconds age, TimePoint now);

    /// Records that the view holds all changes from before \p time, however late the answer that shows so was read.
    void confirmCurrentAt(TimePoint time);

    /// Records that a source answered but that its own view is stale or still empty.
    void recordLag(const ViewSource& source, TimePoint now);

    /// Records that a source did not answer or gave an error.
    void recordFailure(const ViewSource& source, TimePoint now, FailureCause cause = FailureCause::Source);

    /// Returns the greatest age that the view of any process has while all sources work.
    static Milliseconds maxUsableAge();

    /// Returns the least age that is too old for any other process to follow this one.
    static Milliseconds minStaleAge();

    /// Returns the greatest age that the view of a source of this process has while it works.
    Milliseconds maxSourceAge() const;

    /// Returns whether a source whose view has this age lags.
    bool isTooOld(Milliseconds age) const { return age > maxSourceAge(); }

    /// Returns the earliest time at which a change may have been made that an answer tells of: the time for which
    /// the view was last confirmed as current. The time limits for changes do not run in an outage of the store:
    /// after one, the result is \p sentAfter, a time before the answer was sent. Call before confirmCurrentAt().
    TimePoint earliestChangeTime(TimePoint sentAfter) const;

    /// Returns whether the store was unreachable since the view was last confirmed as current, and not only this process late.
    bool isAfterOutage(TimePoint now) const;

    /// Returns whether any source has answered.
    bool hasAnswer() const { return m_hasAnswer; }

    /// Returns the age of this process's view of the store; one hour while there is no answer yet.
    Milliseconds age(TimePoint now) const;

    /// Returns the time since this process's view was certainly current; one hour while there is no answer yet.
    Milliseconds confirmedAge(TimePoint now) const;

private:
    // A position in the sources whose peer changes each time that it is entered.
    struct Roaming {
        std::vector<ViewSource> candidates;
        std::size_t next = 0;
    };

    void rankSources();
    void addRoaming(std::vector<ViewSource> candidates, const ViewSource& current);
    void rankSeeds();
    void advance(TimePoint now);
    bool returnToWorkingSource(TimePoint now);
    bool mayLeaveRegion(TimePoint now) const;

    VmIdentity m_self;
    bool m_isEntry;
    bool m_isDesignated;
    std::vector<std::string> m_seeds;
    std::vector<VmIdentity> m_entries;
    std::vector<ViewSource> m_sources; // in order of preference
    std::map<std::size_t, Roaming> m_roaming; // by position
    std::size_t m_regionalSources = 0; // number of first sources that may be asked without waiting for the leave slot
    bool m_isRegionAnswering = false; // with stale views
    std::size_t m_leaveSlot = 0; // time at which this process may leave the region, in intervals after its views became stale
    std::size_t m_position = 0;
    std::optional<std::size_t> m_retriedFrom; // the position that worked, while the preferred one is tried again
    unsigned m_failures = 0; // of any source since the last current answer, stale answers too
    unsigned m_storeFailures = 0; // those of the store among them
    std::optional<TimePoint> m_staleSince; // since when no source in the region is up to date
    bool m_isSourceNew = false; // it has not answered since it was selected
    bool m_hasAnswer = false;
    TimePoint m_currentAsOf; // time at which the view matched the store, if its answer was read at once
    std::optional<TimePoint> m_confirmedAsOf; // time at which it certainly did
    TimePoint m_preferredRetryAt;
};

}
