#pragma once

#include <cstddef>
#include <cstdint>
#include <hyssopwick_core.h>
#include <limits>
#include <optional>

namespace hyssopwick {

/// The places of one entry VM among the calls that an upstream takes per second from all entry VMs
/// together. Places begin at equal distances from a common origin, and the entry VMs have them in
/// turn, in the order of their ids; a place that is not used ends soon after it began. So entry VMs
/// that know the same members and origin never send together, however few places there are, and an
/// idle one saves up none for a burst. Made for limits far below one call a second for each of many
/// entry VMs that cannot ask each other before each call. Pure.
class UpstreamLimitShare {
public:
    /// \param callsPerSecond  of all entry VMs together
    /// \param origin  common to all entry VMs
    UpstreamLimitShare(double callsPerSecond, TimePoint origin, TimePoint now);

    void setLimit(double callsPerSecond, TimePoint now);
    void setOrigin(TimePoint origin, TimePoint now);
    /// Sets how long an unused place lives, and how many an entry VM may have at once.
    void setUnusedPlaces(Milliseconds lifetime, std::size_t maxCount);
    /// Sets the position of this entry VM, from 0, among \p count of them.
    void setPosition(std::size_t position, std::size_t count, TimePoint now);

    double callsPerSecond() const { return m_callsPerSecond; }
    TimePoint origin() const { return m_origin; }

    /// Returns how many calls this entry VM may send now.
    std::size_t availableCalls(TimePoint now) const;

    /// Uses a place. A call without one uses the next.
    void recordSend(TimePoint now);

    /// Returns when this entry VM may send a call: now, or when its next place begins.
    TimePoint nextPlace(TimePoint now) const;

private:
    double placesUntil(TimePoint time) const;
    TimePoint startOf(std::int64_t place) const;
    std::int64_t firstOwnPlaceAfter(TimePoint time) const;
    TimePoint unusedSince(TimePoint now) const;
    std::size_t startedPlaces(TimePoint now) const;

    double m_callsPerSecond;
    TimePoint m_origin;
    std::size_t m_position = 0;
    std::size_t m_count = 1;
    std::optional<Milliseconds> m_unusedLifetime;
    std::size_t m_maxUnused = std::numeric_limits<std::size_t>::max();
    TimePoint m_usedUntil; // places that began until then are used
};

}
