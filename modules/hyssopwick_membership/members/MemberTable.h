#pragma once

#include "MemberUpdate.h"

#include <array>
#include <map>
#include <set>
#include <vector>

namespace hyssopwick {

/// Number of buckets by which two tables are compared.
constexpr std::size_t memberBucketCount = 32;

/// Every VM that a process knows of, entries and upstreams. Pure.
class MemberTable {
public:
    /// \param self  this VM; its own entry is never overridden by others
    MemberTable(VmIdentity self, std::uint64_t incarnation);

    /// Merges an update. A claim that this VM is suspect or dead raises the own
    /// incarnation, which refutes it.
    /// \param isNews  spread it along with messages; false for what came in bulk, since
    ///                others learn that in bulk too
    /// \returns whether the table changed
    bool merge(const MemberUpdate& update, TimePoint now, bool isNews = true);

    /// Marks a VM with a new state at its current incarnation.
    bool mark(const std::string& vm, MemberState state, TimePoint now);

    /// Announces that this VM leaves.
    void announceLeaving(TimePoint now);

    /// Announces that this VM has left and will answer no more.
    void announceDeparture(TimePoint now);

    /// Announces that this VM serves again.
    void announceAlive(TimePoint now);

    /// Raises the own incarnation, for example after a pause.
    void raiseIncarnation(TimePoint now);

    /// Turns suspects whose deadline has passed into dead members, and forgets
    /// members that have been dead for long.
    /// \returns the ids that became dead
    std::vector<std::string> expire(TimePoint now);

    /// Returns updates to send along, those sent least often first.
    std::vector<MemberUpdate> takeUpdates(std::size_t most);

    /// Returns a digest for each bucket, to compare two tables.
    std::array<std::uint64_t, memberBucketCount> bucketDigests() const;

    /// Returns the members of one bucket.
    std::vector<MemberUpdate> bucket(std::size_t number) const;

    const MemberUpdate& self() const { return m_members.at(m_self).update; }

    /// Returns the member, or nullptr.
    const MemberUpdate* find(const std::string& vm) const;

    /// Returns all members that are not dead.
    std::vector<MemberUpdate> live() const;

    /// Returns the ids of dead members that are not forgotten yet.
    std::set<std::string> dead() const;

    /// Returns the ids of dead entry VMs that are not forgotten yet.
    std::vector<std::string> deadEntries() const;

    /// Returns the ids of live members of the kind "entry"; leaving ones excluded on request.
    std::vector<std::string> liveEntries(bool includeLeaving) const;

    /// Returns a digest of the live members, for change detection.
    std::uint64_t viewDigest() const { return m_viewDigest; }

private:
    struct Member {
        MemberUpdate update;
        TimePoint stateSince;
        unsigned sent = 0;
        bool isFresh = false; // still to be spread
        std::uint64_t digest = 0; // part of the view digest; 0 when dead
    };

    void changed(Member& member, TimePoint now, bool isNews = true);
    static std::uint64_t digestOf(const MemberUpdate& update);

    std::string m_self;
    std::map<std::string, Member> m_members;
    std::vector<std::string> m_fresh; // ids with updates still to spread
    std::uint64_t m_viewDigest = 0;
};

}
