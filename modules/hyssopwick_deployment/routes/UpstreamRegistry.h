#pragma once

#include "../model/Upstream.h"

#include <map>
#include <optional>
#include <vector>

namespace hyssopwick {

/// The upstreams that are registered in the store. A draining upstream stops being used at
/// once. One whose registration ends without draining stays usable for a grace period,
/// since registrations that were lost in an outage of the store are renewed after it.
/// Pure: no clock, no I/O.
class UpstreamRegistry {
public:
    /// \param removalGrace  how long an upstream is used after its registration has ended
    explicit UpstreamRegistry(Milliseconds removalGrace);

    /// Records a registration; returns whether it changed anything.
    bool set(const Upstream& upstream);

    /// Records that a registration ended. \param isReadable  false when its new value cannot be decoded
    void remove(const std::string& id, bool isReadable, TimePoint now);

    /// Removes upstreams whose grace period has ended; returns whether there were any.
    bool expire(TimePoint now);

    /// Returns when the next grace period ends.
    std::optional<TimePoint> nextExpiry() const;

    /// Returns the upstreams of a service that may be sent calls. The pointers are valid
    /// until the next change.
    std::vector<const Upstream*> usable(const std::string& service) const;

    /// Returns the upstreams of a service whose registration has not ended, draining ones too.
    std::vector<const Upstream*> registered(const std::string& service) const;

    /// Returns the upstreams at an address that may be sent calls.
    std::vector<const Upstream*> usableAt(const std::string& address) const;

    /// Returns a number that increases with every change.
    std::uint64_t revision() const { return m_revision; }

    /// Returns the upstream, or nullptr.
    const Upstream* find(const std::string& id) const;

private:
    struct Entry {
        Upstream upstream;
        std::optional<TimePoint> usedUntil; // set when the registration ended
    };

    Milliseconds m_removalGrace;
    std::map<std::string, Entry> m_entries;
    std::uint64_t m_revision = 0;
};

}
