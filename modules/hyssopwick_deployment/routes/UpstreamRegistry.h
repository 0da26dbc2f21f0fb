#pragma once

#include "../model/Upstream.h"

#include <map>
#include <optional>
#include <vector>

namespace hyssopwick {

/// How a registration was read.
enum class RegistrationSource {
    Owner, ///< its owner wrote it
    RestoredCopy, ///< from an older copy from which the store came back; its owner may be gone
};

/// Why a registration ended.
enum class RegistrationEnd {
    Ended, ///< removed by its owner, or expired
    Unreadable, ///< its new value cannot be decoded
    NotRestored, ///< not written again after the store came back from an older copy
};

/// The upstreams that are registered in the store. A draining upstream stops being used at
/// once. One whose registration ends without draining stays usable for a grace period,
/// since registrations that were lost in an outage of the store are renewed after it.
/// What is known to leave, or to be gone, does not come back with an older copy of the store:
/// a start of an upstream that leaves never becomes usable again, and one whose registration
/// had ended only if the store keeps it for longer than that of a dead one.
/// Pure: no clock, no I/O.
class UpstreamRegistry {
public:
    /// \param removalGrace  how long an upstream is used after its registration has ended
    explicit UpstreamRegistry(Milliseconds removalGrace);

    /// Records a registration; returns whether it changed anything.
    bool set(const Upstream& upstream, RegistrationSource source = RegistrationSource::Owner, TimePoint now = TimePoint());

    /// Records that a registration ended.
    void remove(const std::string& id, RegistrationEnd end, TimePoint now);

    /// Records that a start of an upstream said that it leaves. \param startedAt  0 when unknown.
    /// Returns whether this is new.
    bool recordLeaving(const std::string& id, UnixMilliseconds startedAt, TimePoint now);

    /// Removes upstreams whose grace period has ended, and forgets old departures; returns
    /// whether the usable upstreams changed.
    bool expire(TimePoint now);

    /// Returns when expire() may change something next.
    std::optional<TimePoint> nextExpiry() const;

    /// Returns the upstreams of a service that may be sent calls. The pointers are valid
    /// until the next change.
    std::vector<const Upstream*> usable(const std::string& service) const;

    /// Returns the upstreams of a service whose registration has not ended, draining ones too.
    std::vector<const Upstream*> registered(const std::string& service) const;

    /// Returns the upstreams of a service in any state, those whose registration has ended but which are
    /// still used too.
    std::vector<const Upstream*> known(const std::string& service) const;

    /// Returns the upstreams at an address that may be sent calls.
    std::vector<const Upstream*> usableAt(const std::string& address) const;

    /// Returns whether an upstream may be sent calls.
    bool isUsable(const std::string& id) const;

    /// Returns a number that increases with every change.
    std::uint64_t revision() const { return m_revision; }

    /// Returns the upstream, or nullptr.
    const Upstream* find(const std::string& id) const;

private:
    struct Entry {
        Upstream upstream;
        std::optional<TimePoint> usedUntil; // set when the registration ended
        std::optional<TimePoint> usedFrom; // set while it may be that of a dead upstream

        bool isUsable() const { return upstream.state == UpstreamState::Ready && !usedFrom; }
    };

    // A start that left or whose registration ended.
    struct Departure {
        UnixMilliseconds startedAt;
        bool isLeaving; // it said so, or was draining
        TimePoint forgetAt;
    };

    const Departure* departureOf(const Upstream& upstream) const;

    Milliseconds m_removalGrace;
    std::map<std::string, Entry> m_entries;
    std::map<std::string, Departure> m_departures; // by id
    std::uint64_t m_revision = 0;
};

}
