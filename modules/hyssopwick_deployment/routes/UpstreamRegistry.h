#pragma once

#include "../model/Upstream.h"

#include <map>
#include <optional>
#include <vector>

namespace hyssopwick {

/// The upstreams that are registered in the store. An upstream that says it is draining
/// is used no more at once; one whose registration ends without that is used for a short
/// while on, since registrations that end while the store is away come back. Pure.
class UpstreamRegistry {
public:
    /// \param removalGrace  how long an upstream is used after its registration has ended
    explicit UpstreamRegistry(Milliseconds removalGrace);

    /// Records a registration; returns whether it says anything new.
    bool set(const Upstream& upstream);

    /// Records that a registration ended. \param isReadable  false when its value became useless
    void remove(const std::string& id, bool isReadable, TimePoint now);

    /// Forgets upstreams whose grace has passed; returns whether any was.
    bool expire(TimePoint now);

    /// Returns when expire() has something to do next.
    std::optional<TimePoint> nextExpiry() const;

    /// Returns the upstreams of a service that may be sent calls. Pointers hold until the
    /// next change.
    std::vector<const Upstream*> usable(const std::string& service) const;

    /// Returns every registered upstream of a service, draining ones too.
    std::vector<const Upstream*> registered(const std::string& service) const;

    /// Returns the upstreams at an address that may be sent calls.
    std::vector<const Upstream*> usableAt(const std::string& address) const;

    /// Returns a number that rises with every change.
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
