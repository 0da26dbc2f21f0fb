#pragma once

#include "../runtime/GatewayContext.h"

#include <cstddef>
#include <functional>

namespace hyssopwick {

/// What bytes of an answer are held for.
enum class AnswerKind {
    Whole, ///< forwarded once it is complete
    Stream, ///< forwarded event by event
};

/// How much of the memory for answers is in use.
enum class AnswerMemoryState {
    Normal,
    Crowded, ///< streams are read from their upstreams only as fast as their callers read
    Full, ///< new calls are refused
};

/// Returns the name of a state in the log, for example "crowded".
const char* answerMemoryStateName(AnswerMemoryState state);

/// Bounds the bytes of answers that a process holds for all calls together: a quarter of its
/// memory. Streams may use three quarters of that, so that whole answers come first.
class AnswerMemory {
public:
    explicit AnswerMemory(GatewayContext& context);

    /// Sets the source of the bytes that wait for the sockets of callers.
    void setBufferedBytes(std::function<std::size_t()> source) { m_bufferedBytes = std::move(source); }

    /// Returns the bytes that are held, including those that wait for sockets.
    std::size_t heldBytes() const;

    /// Returns whether \p bytes more may be held.
    bool hasRoom(AnswerKind kind, std::size_t bytes);

    /// Records that \p bytes more are held outside of the callers' sockets.
    void hold(std::size_t bytes) { m_heldBytes += bytes; }
    void release(std::size_t bytes) { m_heldBytes -= bytes; }

    /// Returns the state at this moment.
    AnswerMemoryState state();

private:
    std::size_t maxBytes() const;

    GatewayContext& m_context;
    std::function<std::size_t()> m_bufferedBytes;
    std::size_t m_heldBytes = 0;
    AnswerMemoryState m_state = AnswerMemoryState::Normal;
};

}
