#pragma once

#include "MemberUpdate.h"

#include <array>
#include <map>
#include <set>
#include <vector>

namespace hyssopwick {

/// Number of buckets by which two tables are compared and synchronised.
constexpr std::size_t memberBucketCount = 32;

/// All VMs known to a process, entries and upstreams. Pure.
class MemberTable {
public:
    /// \param self  this VM, whose state is never overridden by others
    MemberTable(VmIdentity self, std::uint64_t incarnation);

    /// Merges an update. The own incarnation rises above that of an update that says this
    /// VM is suspect or dead, which refutes it, or that is from an earlier run of this VM.
    /// \param shouldSpread  piggyback it on messages to others; false for updates received
    ///                      in bulk, since others receive them in bulk too
    /// \returns whether the table changed
    bool merge(const MemberUpdate& update, TimePoint now, bool shouldSpread = true);

    /// Sets the state of another VM at its current incarnation.
    bool mark(const std::string& vm, MemberState state, TimePoint now);

    /// Announces that this VM is leaving.
    void announceLeaving(TimePoint now);

    /// Announces that this VM stops and will not answer any more.
    void announceDeparture(TimePoint now);

    /// Announces that this VM serves again.
    void announceAlive(TimePoint now);

    /// Raises the own incarnation, for example after a pause of the process.
    void raiseIncarnation(TimePoint now);

    /// Marks suspects whose deadline has passed as dead, and removes members that have
    /// been dead for long.
    /// \returns the ids that became dead
    std::vector<std::string> expire(TimePoint now);

    /// Returns updates to piggyback on a message, those sent least often first.
    std::vector<MemberUpdate> takeUpdates(std::size_t maxCount);

    /// Returns a digest for each bucket, to compare two tables.
    std::array<std::uint64_t, memberBucketCount> bucketDigests() const;

    std::vector<MemberUpdate> bucket(std::size_t number) const;

    const MemberUpdate& self() const { return m_members.at(m_self).update; }

    /// Returns the member, or nullptr.
    const MemberUpdate* find(const std::string& vm) const;

    /// Returns all members that are not dead.
    std::vector<MemberUpdate> live() const;

    /// Returns the ids of dead members that are not removed yet.
    std::set<std::string> dead() const;

    /// Returns the ids of dead entry VMs that are not removed yet.
    std::vector<std::string> deadEntries() const;

    /// Returns the ids of live members of the kind "entry".
    std::vector<std::string> liveEntries(bool includeLeaving) const;

    /// Returns a digest of the live members, for change detection.
    std::uint64_t viewDigest() const { return m_viewDigest; }

private:
    struct Member {
        MemberUpdate update;
        TimePoint stateSince;
        unsigned sendCount = 0; // of the current update
        bool isToBeSpread = false;
        std::uint64_t digest = 0; // part of the view digest; 0 when dead
    };

    void recordChange(Member& member, TimePoint now, bool shouldSpread = true);
    static std::uint64_t digestOf(const MemberUpdate& update);

    std::string m_self;
    std::map<std::string, Member> m_members;
    std::vector<std::string> m_idsToSpread;
    std::uint64_t m_viewDigest = 0;
};

}
