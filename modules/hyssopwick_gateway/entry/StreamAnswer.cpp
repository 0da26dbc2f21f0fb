#include "StreamAnswer.h"

#include "CallLimits.h"

namespace hyssopwick {

StreamAnswer::StreamAnswer(GatewayContext& context, ServerExchangePointer exchange, std::shared_ptr<AnswerMemory> memory)
    : m_context(context)
    , m_exchange(std::move(exchange))
    , m_memory(std::move(memory))
{
}

StreamAnswer::~StreamAnswer() { holdPartialEvent(0); }

void StreamAnswer::holdPartialEvent(std::size_t bytes)
{
    m_memory->release(m_heldPartialBytes);
    m_heldPartialBytes = bytes;
    m_memory->hold(bytes);
}

void StreamAnswer::beginAttempt(const HttpExchangePointer& attempt)
{
    clear();
    m_attempt = attempt;
    m_isContinuation = !m_lastEventId.empty();
    m_pause.beginAttempt(monotonicNow());
    if (m_pause.isPaused())
        attempt->pause();
}

void StreamAnswer::clear()
{
    m_splitter = {};
    m_events.clear();
    holdPartialEvent(0);
}

const char* StreamAnswer::receive(std::string_view bytes)
{
    m_events = m_splitter.feed(bytes);
    const auto partialBytes = m_splitter.partialEvent().size();
    std::size_t completeBytes = 0;
    auto previousId = m_lastEventId;
    for (const auto& event : m_events) {
        completeBytes += event.text.size();
        if (!EventStreamSplitter::mayFollow(event, previousId))
            return "repeated-event";
        if (!event.id.empty())
            previousId = event.id;
        else if (m_isContinuation && previousId == m_lastEventId && EventStreamSplitter::hasContent(event))
            return "event-without-id";
    }
    if (partialBytes > maxEventBytes)
        return "event-too-large";
    if (m_exchange->unsentBytes() + completeBytes > maxUnsentBytes)
        return "unsent-limit";
    holdPartialEvent(partialBytes);
    if (!m_memory->hasRoom(AnswerKind::Stream, completeBytes))
        return "no-memory";
    updatePause();
    return nullptr;
}

unsigned StreamAnswer::forward()
{
    std::string text;
    for (const auto& event : m_events) {
        text += event.text;
        if (event.id.empty())
            continue;
        m_lastEventId = event.id;
        m_isContinuation = false;
    }
    const auto count = static_cast<unsigned>(m_events.size());
    m_events.clear();
    m_exchange->onSent([weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->updatePause();
    });
    m_exchange->write(std::move(text));
    updatePause();
    return count;
}

void StreamAnswer::updatePause()
{
    const auto unsent = m_exchange->unsentBytes();
    const auto state = m_memory->state();
    if (!m_pause.update(unsent, m_splitter.partialEvent().size(), state != AnswerMemoryState::Normal, monotonicNow()))
        return;
    const auto attempt = m_attempt.lock();
    if (!m_pause.isPaused()) {
        if (attempt)
            attempt->resume();
        return;
    }
    if (attempt)
        attempt->pause();
    m_context.metrics.count("stream_pauses_total", answerMemoryStateName(state));
    // A call may pause often, so only its first pause is written; its end has the time of all.
    if (std::exchange(m_isPauseLogged, true))
        return;
    m_context.log.write("call.paused", { { "request", m_context.ports.calls->decodeCall(m_exchange->request().fields).requestId }, { "unsent", std::to_string(unsent) }, { "partial", std::to_string(m_splitter.partialEvent().size()) }, { "memory", answerMemoryStateName(state) }, { "held", std::to_string(m_memory->heldBytes()) } });
}

}
