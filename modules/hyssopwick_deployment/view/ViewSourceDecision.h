#pragma once

#include <hyssopwick_core.h>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace hyssopwick {

/// Follow the store itself.
struct StoreSource {
    bool operator==(const StoreSource&) const { return true; }
};

/// Follow another process's view.
struct PeerSource {
    std::string id;
    std::string address;

    bool operator==(const PeerSource& other) const { return id == other.id && address == other.address; }
};

using ViewSource = std::variant<StoreSource, PeerSource>;

/// Decides where a process learns of changes in the store. A few entry VMs of each
/// region follow the store, all others follow one of these, so that the calls to the
/// store grow with the regions and not with the fleet. A source that fails or whose own
/// knowledge is old is passed over for the next one of the region; entries only follow those
/// before them in the region's order, so that nobody follows in circles. The link between two
/// regions is narrow, so processes turn to the store or another region one after the other,
/// the first of the order at once: the others find what they need at those. Pure.
class ViewSourceDecision {
public:
    /// \param isEntry  whether this process may be one that follows the store
    /// \param seeds    addresses of the processes that read the store for all when a
    ///                 deployment starts; empty for one that reads it itself
    ViewSourceDecision(VmIdentity self, bool isEntry, std::vector<std::string> seeds = {});

    /// Replaces the entry VMs that live, without this one.
    void setEntries(const std::vector<VmIdentity>& entries);

    /// Returns the source to ask now.
    ViewSource source() const;

    /// Returns whether this process follows the store in ordinary times.
    bool isDesignated() const { return m_isDesignated; }

    /// Records an answer of \p source. \param age  how old its knowledge of the store is
    void recordAnswer(const ViewSource& source, Milliseconds age, TimePoint now);

    /// Records that a source answered, and that it has no current knowledge yet itself.
    void recordLag(const ViewSource& source, TimePoint now);

    /// Records that a source did not answer or gave an error.
    void recordFailure(const ViewSource& source, TimePoint now);

    /// Returns whether \p age is too old for others to follow this process.
    static bool isTooOld(Milliseconds age);

    /// Returns the earliest moment at which a change that the store tells now may have been
    /// made: just now while it answers in its ordinary time, and at any time in a gap in which
    /// this process did not run. While the store itself cannot be reached, bounds on its changes
    /// do not count. Call before recordAnswer().
    TimePoint earliestChangeTime(TimePoint now) const;

    /// Returns how old the knowledge of the store is; a very long time before the first answer.
    Milliseconds age(TimePoint now) const;

private:
    void rank();
    void rankSeeds();
    void advance(TimePoint now);
    bool mayCross(TimePoint now) const;

    VmIdentity m_self;
    bool m_isEntry;
    bool m_isDesignated;
    std::vector<std::string> m_seeds;
    std::vector<VmIdentity> m_entries;
    std::vector<ViewSource> m_sources; // in order of preference
    std::size_t m_inRegion = 0; // of the sources, those that may be asked at any time
    bool m_isRegionAnswering = false; // though its sources lag
    std::size_t m_place = 0; // of this process in the order in which regions are left
    std::size_t m_position = 0;
    unsigned m_failures = 0; // of sources since the last answer
    std::optional<TimePoint> m_lostAt; // since when no source in the region is current
    bool m_hasAnswer = false;
    TimePoint m_knownAt; // instant for which the knowledge of the store held
    TimePoint m_preferredRetryAt;
};

}
