#include "ReadingPause.h"

namespace hyssopwick {

namespace {
    // Upstreams cut an answer that stays unread for some seconds.
    constexpr Milliseconds longPause { 1000 };
}

bool ReadingPause::update(std::size_t unsentBytes, std::size_t partialBytes, bool isCrowded, TimePoint now)
{
    const bool wasPaused = m_isPaused;
    if (wasPaused)
        m_isPaused = isCrowded ? unsentBytes > 0 : unsentBytes >= resumeBytes;
    else
        m_isPaused = unsentBytes > 0 && (isCrowded || unsentBytes + partialBytes > pauseBytes);
    if (m_isPaused == wasPaused)
        return false;
    if (m_isPaused) {
        m_pausedSince = now;
    } else {
        m_hadLongPause = mayHaveBeenCut(now) || now >= m_pausedSince + longPause;
        m_pausedTime += Milliseconds(millisecondsBetween(m_pausedSince, now));
    }
    return true;
}

void ReadingPause::beginAttempt(TimePoint now)
{
    m_pausedTime = pausedTime(now);
    m_pausedSince = now;
    m_hadLongPause = false;
}

bool ReadingPause::mayHaveBeenCut(TimePoint now) const { return m_hadLongPause || (m_isPaused && now >= m_pausedSince + longPause); }

Milliseconds ReadingPause::pausedTime(TimePoint now) const
{
    return m_pausedTime + Milliseconds(m_isPaused ? millisecondsBetween(m_pausedSince, now) : 0);
}

}
