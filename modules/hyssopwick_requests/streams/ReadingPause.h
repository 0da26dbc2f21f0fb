#pragma once

#include <hyssopwick_core.h>

namespace hyssopwick {

/// Decides when the reading of a stream from its upstream pauses because the caller reads slower
/// than the upstream sends. Pure.
class ReadingPause {
public:
    static constexpr std::size_t pauseBytes = std::size_t(64) << 10;
    static constexpr std::size_t resumeBytes = std::size_t(16) << 10;

    /// Records what is held of the stream.
    /// \param unsentBytes   that the caller's socket has not taken; with none, nothing would end a pause
    /// \param partialBytes  of an incomplete event
    /// \param isCrowded     the process has little memory, so that nothing is read ahead
    /// \returns whether the reading paused or resumed
    bool update(std::size_t unsentBytes, std::size_t partialBytes, bool isCrowded, TimePoint now);

    /// Records that another upstream continues the stream.
    void beginAttempt(TimePoint now);

    bool isPaused() const { return m_isPaused; }

    /// Returns whether the attempt was paused for so long that the upstream may have cut it, so that
    /// the end of its connection does not show that the answer is complete.
    bool mayHaveBeenCut(TimePoint now) const;

    /// Returns for how long all attempts together were paused.
    Milliseconds pausedTime(TimePoint now) const;

private:
    bool m_isPaused = false;
    bool m_hadLongPause = false;
    TimePoint m_pausedSince;
    Milliseconds m_pausedTime { 0 };
};

}
