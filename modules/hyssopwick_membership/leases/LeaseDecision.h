#pragma once

#include <hyssopwick_core.h>

namespace hyssopwick {

/// What the holder of a lease, or a candidate for it, should do now.
enum class LeaseStep {
    Wait,
    Acquire, ///< write the key if it is absent
    Renew, ///< write the key at the known revision
    Release, ///< remove the key at the known revision
};

/// Decides about one lease: a key with a time to live in the key-value service. The
/// stored deadline counts from before the write was sent and is shortened by a
/// margin for clock rates, so that this process stops relying on the lease before
/// the service lets another have it. The key's revision is the fencing number. Pure.
class LeaseDecision {
public:
    /// Time to live of a lease's key.
    static constexpr Milliseconds timeToLive { 6000 };

    /// \param holder  value to write: unique to this run of the process
    explicit LeaseDecision(std::string holder);

    /// Sets whether this process should hold the lease.
    void setWanted(bool isWanted) { m_isWanted = isWanted; }

    /// Returns the next step.
    LeaseStep step(TimePoint now) const;

    /// Records that the key was written at \p revision.
    /// \param sentAt  instant before the write was sent
    void recordWritten(std::uint64_t revision, TimePoint sentAt);

    /// Records that another holds the lease, or that it was lost.
    void recordLost(TimePoint now);

    /// Records that the service did not answer or that the result is unknown.
    void recordFailure(TimePoint now);

    /// Records that the key was removed by this process.
    void recordReleased(TimePoint now);

    /// Returns whether the lease is held beyond doubt at \p now. Ask again before
    /// each action that needs the lease: a pause may lie between two calls.
    bool isHeld(TimePoint now) const { return m_revision != 0 && now < m_validUntil; }

    /// Returns the fencing number; 0 when the lease was never held.
    std::uint64_t fencingToken() const { return m_revision; }

    /// Returns the instant from which the lease may not be relied on.
    TimePoint validUntil() const { return m_validUntil; }

    const std::string& holder() const { return m_holder; }

private:
    std::string m_holder;
    bool m_isWanted = false;
    std::uint64_t m_revision = 0;
    TimePoint m_validUntil;
    TimePoint m_renewAt;
    TimePoint m_nextTryAt;
};

}
