#pragma once

#include <hyssopwick_core.h>
#include <map>
#include <optional>
#include <vector>

namespace hyssopwick {

/// The records that a process knew and that are missing since the store came back from an
/// older copy. Their owners write them again if they live, so such a record counts as removed
/// only after the time that this takes. Pure: no clock, no I/O.
class RestoredRecords {
public:
    /// Time after the store's return within which live owners have written their records again
    /// (the platform's protocol).
    static constexpr Milliseconds restorationTime { 2000 };

    /// Records that a key is missing in a copy from which the store came back at \p returnedAt.
    void recordMissing(const std::string& key, TimePoint returnedAt) { m_removeAt[key] = returnedAt + restorationTime; }

    /// Records that the store came back again, so that owners have that time once more.
    void recordReturn(TimePoint returnedAt);

    /// Records that the store holds a key.
    void recordPresent(const std::string& key) { m_removeAt.erase(key); }

    /// Returns the keys that are still missing although their time has passed, and forgets them.
    std::vector<std::string> expire(TimePoint now);

    /// Returns when the next of them expires.
    std::optional<TimePoint> nextExpiry() const;

private:
    std::map<std::string, TimePoint> m_removeAt; // by key
};

}
