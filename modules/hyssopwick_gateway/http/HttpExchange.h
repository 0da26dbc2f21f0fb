#pragma once

#include "NetworkTypes.h"

#include <functional>
#include <memory>

namespace hyssopwick {

/// How an exchange with a server ended.
enum class ExchangeEnd {
    Complete, ///< the whole answer arrived
    NotSent, ///< no connection; no byte of the request left this VM
    Lost, ///< the request may have arrived, and no whole answer came
    Malformed, ///< what came back is no answer in the protocol
    Timeout, ///< the deadline passed after the request was sent
    Cancelled,
};

/// Returns the log name of an end, for example "not-sent".
const char* exchangeEndName(ExchangeEnd end);

/// The head of a server's answer.
struct ResponseHead {
    unsigned status = 0;
    HeaderFields fields;
};

/// What happens in an exchange. Handlers that are not set are not called.
struct ExchangeHandlers {
    std::function<void(const ResponseHead&)> onHead;
    std::function<void(std::string_view)> onBody;
    std::function<void(ExchangeEnd)> onEnd; ///< called once, unless the exchange is cancelled
};

/// When to give up an exchange. An answer of unknown size is given up when it stops to
/// arrive and not when it is long, since asking anew would begin it from zero.
struct TransferLimits {
    TimePoint connectBy;
    TimePoint beginBy; ///< the answer has to begin until then
    Milliseconds longestPause { 0 }; ///< between its pieces, once it has begun
    TimePoint endBy; ///< also of an answer that still arrives
};

/// One request to a server and its answer, on a connection of its own. A connection of
/// its own cannot carry the late answer of an earlier request, and is not closed by the
/// server at the moment when a request that may run only once is sent on it.
class HttpExchange : public std::enable_shared_from_this<HttpExchange> {
public:
    /// Sends \p call to \p address.
    static std::shared_ptr<HttpExchange> start(EventLoop& loop, const std::string& address, HttpCall call, const TransferLimits& limits, ExchangeHandlers handlers);

    /// Sends \p call to \p address.
    /// \param connectBy  when to give up connecting
    /// \param deadline   when to give up the exchange, however far it is
    static std::shared_ptr<HttpExchange> start(EventLoop& loop, const std::string& address, HttpCall call, TimePoint connectBy, TimePoint deadline, ExchangeHandlers handlers);

    ~HttpExchange();

    /// Closes the connection. No handler is called any more.
    void cancel();

    /// Returns whether a byte of the request may have left this VM.
    bool isSent() const;

private:
    struct State;

    explicit HttpExchange(EventLoop& loop);
    void run();
    void sendRequest();
    void readHead();
    void readBody();
    void end(ExchangeEnd end);
    void awaitAnswer();
    void noteProgress();
    void answerOverdue();

    std::unique_ptr<State> m_state;
};

using HttpExchangePointer = std::shared_ptr<HttpExchange>;

/// A whole answer that was read into memory.
struct WholeResponse {
    ExchangeEnd end = ExchangeEnd::NotSent;
    unsigned status = 0;
    HeaderFields fields;
    TimePoint beganAt; ///< arrival of the head
    std::string body;

    bool isComplete() const { return end == ExchangeEnd::Complete; }
};

/// Sends a request and reads the whole answer.
/// \param handler  called once, unless the exchange is cancelled
HttpExchangePointer fetchWhole(EventLoop& loop, const std::string& address, HttpCall call, const TransferLimits& limits, std::function<void(WholeResponse)> handler);

/// Sends a request and reads the whole answer.
/// \param handler  called once, unless the exchange is cancelled
HttpExchangePointer fetchWhole(EventLoop& loop, const std::string& address, HttpCall call, TimePoint connectBy, TimePoint deadline, std::function<void(WholeResponse)> handler);

}
