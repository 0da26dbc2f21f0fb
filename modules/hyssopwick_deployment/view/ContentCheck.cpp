#include "ContentCheck.h"

#include <algorithm>

namespace hyssopwick {

namespace {
    // A difference between a source and its followers may take two reads: the source may be the one that is wrong.
    constexpr Milliseconds firstDelay { 250 };
    constexpr unsigned maxDoublings = 8; // 64 s
    constexpr Milliseconds quietTime { 120000 };
}

void ContentCheck::recordRead(TimePoint now)
{
    if (!m_isInDoubt)
        return;
    m_isInDoubt = false;
    if (m_rowEndsAt && now >= *m_rowEndsAt)
        m_readsInARow = 0;
    m_notBefore = now + firstDelay * (1 << std::min(m_readsInARow++, maxDoublings));
    m_rowEndsAt = *m_notBefore + quietTime;
}

}
