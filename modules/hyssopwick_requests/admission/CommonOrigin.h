#pragma once

#include <cstddef>
#include <hyssopwick_core.h>

namespace hyssopwick {

/// The instant from which all entry VMs count their places at cold upstreams (ColdUpstreams). Clocks
/// are not shared, so entry VMs state its age to each other, and the earliest one counts. It is agreed on before any
/// upstream is cold, so that nothing has to be exchanged when one starts. Pure.
class CommonOrigin {
public:
    /// \param start  of this process
    explicit CommonOrigin(TimePoint start);

    /// Sets how many entry VMs are known, with this one.
    void setEntryCount(std::size_t count) { m_entryCount = count; }

    /// Merges what another entry VM states. Returns whether that one should be told of an earlier one.
    bool merge(TimePoint theirs, TimePoint now);

    TimePoint origin() const { return m_origin; }

    /// Returns whether other entry VMs are known to count from this origin. It stays so while none
    /// is heard: the clocks of entry VMs that are cut off go on alike.
    bool isAgreed(TimePoint now) const;

private:
    TimePoint m_origin;
    TimePoint m_unchangedSince;
    TimePoint m_lastAgreement;
    std::size_t m_agreements = 0; // heard since the last change
    std::size_t m_entryCount = 1;
};

}
