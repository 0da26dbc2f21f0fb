#pragma once

#include <hyssopwick_core.h>
#include <optional>

namespace hyssopwick {

/// Decides when a process reads its whole view again because its content is in doubt: at the same position it differs
/// from that of its source or of a follower. Either may be wrong, and so may the source of the source, so a process in
/// doubt tells its source, and one that follows the store reads it again. Reads in a row get rarer, so that a
/// difference which they cannot end costs little. Pure: no clock, no I/O.
class ContentCheck {
public:
    /// Records that the content differs from that of another view at the same position.
    void recordDifference() { m_isInDoubt = true; }

    /// Returns whether the content is in doubt.
    bool isInDoubt() const { return m_isInDoubt; }

    /// Returns whether the whole view has to be read now.
    bool isReadDue(TimePoint now) const { return m_isInDoubt && (!m_notBefore || now >= *m_notBefore); }

    /// Records that the whole view was read.
    void recordRead(TimePoint now);

private:
    bool m_isInDoubt = false;
    unsigned m_readsInARow = 0;
    std::optional<TimePoint> m_notBefore; // of the next read
    std::optional<TimePoint> m_rowEndsAt; // later reads begin another row
};

}
