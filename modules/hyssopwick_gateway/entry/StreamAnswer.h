#pragma once

#include "../http/HttpExchange.h"
#include "../http/ServerExchange.h"
#include "AnswerMemory.h"

#include <hyssopwick_requests.h>

namespace hyssopwick {

/// The streamed answer of one call: forwards whole events to the caller, and pauses the reading
/// from the upstream while the caller reads slowly.
class StreamAnswer : public std::enable_shared_from_this<StreamAnswer> {
public:
    StreamAnswer(GatewayContext& context, ServerExchangePointer exchange, std::shared_ptr<AnswerMemory> memory);
    ~StreamAnswer();

    StreamAnswer(const StreamAnswer&) = delete;
    StreamAnswer& operator=(const StreamAnswer&) = delete;

    /// Begins an attempt, from whose upstream the answer is read from now on.
    void beginAttempt(const HttpExchangePointer& attempt);

    /// Holds nothing further of an answer whose call has ended.
    void clear();

    /// Adds bytes of the answer. Returns why it cannot be forwarded, or nullptr.
    const char* receive(std::string_view bytes);

    /// Returns whether whole events were received that are not forwarded yet.
    bool hasEvents() const { return !m_events.empty(); }

    /// Forwards the whole events that were received. Returns their number.
    unsigned forward();

    /// Returns whether the upstream is not read because the caller reads slowly.
    bool isPaused() const { return m_pause.isPaused(); }

    /// Returns whether bytes of an incomplete event were received.
    bool hasPartialEvent() const { return m_splitter.hasPartialEvent(); }

    /// Returns the id of the last event that was forwarded and has one.
    const std::string& lastEventId() const { return m_lastEventId; }

    /// Returns whether the upstream may have cut the attempt because it was left unread.
    bool mayHaveBeenCut() const { return m_pause.mayHaveBeenCut(monotonicNow()); }

    Milliseconds pausedTime() const { return m_pause.pausedTime(monotonicNow()); }

private:
    void updatePause();
    void holdPartialEvent(std::size_t bytes);

    GatewayContext& m_context;
    ServerExchangePointer m_exchange;
    std::shared_ptr<AnswerMemory> m_memory;
    std::weak_ptr<HttpExchange> m_attempt;
    EventStreamSplitter m_splitter;
    std::vector<EventStreamSplitter::Event> m_events;
    std::string m_lastEventId;
    ReadingPause m_pause;
    std::size_t m_heldPartialBytes = 0;
    bool m_isPauseLogged = false;
    bool m_isContinuation = false; // of an answer whose events have ids, before the first of this attempt's
};

}
