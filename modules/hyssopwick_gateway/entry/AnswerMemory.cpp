#include "AnswerMemory.h"

namespace hyssopwick {

namespace {
    // Requests, connections and tables need the rest of the process's memory.
    constexpr std::size_t memoryDivisor = 4;
    // Parts of the memory for answers, in eighths. New calls are refused before streams are cut,
    // and streams are cut before whole answers are.
    constexpr std::size_t eighths = 8;
    constexpr std::size_t crowdedEighths = 4;
    constexpr std::size_t fullEighths = 5;
    constexpr std::size_t streamEighths = 6;
    // A state ends one eighth below where it began, so that it does not alternate.
    constexpr std::size_t hysteresisEighths = 1;
}

const char* answerMemoryStateName(AnswerMemoryState state)
{
    switch (state) {
    case AnswerMemoryState::Normal:
        return "normal";
    case AnswerMemoryState::Crowded:
        return "crowded";
    case AnswerMemoryState::Full:
        return "full";
    }
    return "normal";
}

AnswerMemory::AnswerMemory(GatewayContext& context)
    : m_context(context)
{
}

std::size_t AnswerMemory::maxBytes() const { return m_context.description.memoryBytes / memoryDivisor; }

std::size_t AnswerMemory::heldBytes() const { return m_heldBytes + (m_bufferedBytes ? m_bufferedBytes() : 0); }

bool AnswerMemory::hasRoom(AnswerKind kind, std::size_t bytes)
{
    const auto limit = kind == AnswerKind::Whole ? maxBytes() : maxBytes() / eighths * streamEighths;
    return heldBytes() + bytes <= limit;
}

AnswerMemoryState AnswerMemory::state()
{
    const auto held = heldBytes();
    const auto isAbove = [this, held](std::size_t limitEighths, AnswerMemoryState limitState) {
        return held > maxBytes() / eighths * (limitEighths - (m_state >= limitState ? hysteresisEighths : 0));
    };
    const auto state = isAbove(fullEighths, AnswerMemoryState::Full) ? AnswerMemoryState::Full
        : isAbove(crowdedEighths, AnswerMemoryState::Crowded)        ? AnswerMemoryState::Crowded
                                                                     : AnswerMemoryState::Normal;
    if (state != m_state) {
        m_state = state;
        m_context.log.write("answer-memory", { { "state", answerMemoryStateName(state) }, { "held", std::to_string(held) }, { "for_sockets", std::to_string(held - m_heldBytes) }, { "limit", std::to_string(maxBytes()) } });
    }
    return state;
}

}
