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
/// local deadline counts from before the write was sent and is shortened by a margin
/// for differing clock rates, so that this process stops relying on the lease before
/// the service grants it to another. The key's revision is the fencing token. Pure.
class LeaseDecision {
public:
    /// Time to live of a lease's key.
    static constexpr Milliseconds timeToLive { 6000 };

    /// \param holder  value of the key, unique to this run of the process
    explicit LeaseDecision(std::string holder);

    /// Sets whether this process should hold the lease.
    void setWanted(bool isWanted) { m_isWanted = isWanted; }

    LeaseStep step(TimePoint now) const;

    /// Records that the key was written at \p revision.
    /// \param sentAt  instant before the write was sent
    void recordWritten(std::uint64_t revision, TimePoint sentAt);

    /// Records that another process holds the lease or that it was lost.
    void recordLost(TimePoint now);

    /// Records that the service did not answer or that the result is unknown.
    void recordFailure(TimePoint now);

    /// Records that the key was removed by this process.
    void recordReleased(TimePoint now);

    /// Returns whether the lease is certainly held at \p now. Call it again before each
    /// action that needs the lease, since the process may be paused in between.
    bool isHeld(TimePoint now) const { return m_revision != 0 && now < m_validUntil; }

    /// Returns the fencing token; 0 when the lease was never held.
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
