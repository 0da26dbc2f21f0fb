#pragma once

#include "KeptConnections.h"
#include "TransmissionState.h"

#include <functional>
#include <memory>

namespace hyssopwick {

/// How an exchange with a server ended.
enum class ExchangeEnd {
    Complete, ///< the whole answer arrived
    NotSent, ///< no connection; no byte of the request left this VM
    Withheld, ///< ExchangeHandlers::onConnected returned false; no byte of the request left this VM
    Lost, ///< the request may have arrived, but no whole answer was received
    Malformed, ///< the answer violates the protocol
    Timeout, ///< the deadline passed after the request was sent
    Undelivered, ///< the server's host acknowledged no byte of the request in TransferLimits::deliveryTimeout
    Cancelled,
};

/// Returns the name of an end in the log, for example "not-sent".
const char* exchangeEndName(ExchangeEnd end);

/// The head of a server's answer.
struct ResponseHead {
    unsigned status = 0;
    HeaderFields fields;

    /// Returns whether the body has a length or chunks; otherwise it ends with its connection, so
    /// that the end of the server looks like that of the body.
    bool isFramed() const { return !headerValue(fields, "Content-Length").empty() || !headerValue(fields, "Transfer-Encoding").empty(); }

    /// Returns whether the body may be a stream of events: it is declared as one, or as nothing.
    bool mayBeEventStream() const;
};

/// Handlers of the events of an exchange. Any of them may be empty.
struct ExchangeHandlers {
    /// Called when the connection is established, before anything is sent. Completes header fields
    /// that depend on the time; returns false if the call is not to be sent any more.
    std::function<bool(HttpCall&)> onConnected;
    std::function<void(const ResponseHead&)> onHead;
    std::function<void(std::string_view)> onBody;
    std::function<void(ExchangeEnd)> onEnd; ///< called once, unless the exchange is cancelled
};

/// When to abandon an exchange, and how much it may receive. A server in trouble may send
/// bytes without end. An answer of unknown size is abandoned when it stalls, not when
/// it takes long, since a new request would begin it from zero.
struct TransferLimits {
    TimePoint connectBy;
    TimePoint beginBy; ///< the answer has to begin before this time
    Milliseconds stallTimeout { 0 }; ///< maximum time between its pieces, once it has begun
    TimePoint endBy; ///< applies to an answer that still makes progress, too
    std::uint64_t maxBodyBytes = defaultMaxBodyBytes; ///< a longer body is malformed
    Milliseconds deliveryTimeout { 0 }; ///< maximum time, twice this at most, in which bytes of the request are in flight and none is acknowledged; 0 for no limit

    /// Far more than a report, an order's answer or a manifest has.
    static constexpr std::uint64_t defaultMaxBodyBytes = std::uint64_t(1) << 20;
};

/// One request to a server and its answer, on a separate connection unless kept ones are
/// given. A separate connection cannot carry the late answer to an earlier request, and the
/// server does not close it as idle at the moment when a request that may run only once is sent.
class HttpExchange : public std::enable_shared_from_this<HttpExchange> {
public:
    /// Sends \p call to \p address.
    /// \param kept  connections to that address, for a call that may run more than once; a call
    ///              on one of them that gets no byte of an answer is sent once more on a new one
    static std::shared_ptr<HttpExchange> start(EventLoop& loop, const std::string& address, HttpCall call, const TransferLimits& limits, ExchangeHandlers handlers, std::shared_ptr<KeptConnections> kept = nullptr);

    /// Sends \p call to \p address.
    /// \param connectBy  when to abandon connecting
    /// \param deadline   when to abandon the exchange, whatever its progress
    static std::shared_ptr<HttpExchange> start(EventLoop& loop, const std::string& address, HttpCall call, TimePoint connectBy, TimePoint deadline, ExchangeHandlers handlers);

    ~HttpExchange();

    /// Closes the connection; the server gets nothing more. No handler is called afterwards.
    void cancel();

    /// Stops reading the answer's body; the server then cannot send more than the socket's buffer
    /// takes. The time between two pieces is not limited meanwhile, the exchange's end is.
    void pause();

    /// Reads on after pause().
    void resume();

    /// Returns whether a byte of the request may have left this VM.
    bool isSent() const;

    /// Returns whether a byte of the answer has arrived.
    bool hasAnswerBegun() const;

    /// Returns when the connection was established, or nothing before that.
    std::optional<TimePoint> connectedAt() const;

    /// Returns the state of the open connection, or nothing without one.
    std::optional<TransmissionState> transmission() const;

private:
    struct State;

    explicit HttpExchange(EventLoop& loop);

    void run();
    void connect();
    bool retryOnNewConnection();
    void sendRequest();
    void discardUnsent();
    void watchDelivery(std::size_t unacknowledgedBefore);
    void handleWritten(boost::system::error_code error);
    void readHead();
    void receive(void (HttpExchange::*parse)());
    void parseHead();
    void handleHead();
    void failHead(boost::system::error_code error);
    void readBody();
    bool parseBody();
    void forwardBody(std::size_t size);
    void handleAnswerEnd();
    void end(ExchangeEnd end);
    void armDeadlineTimer();
    void extendDeadline();
    void handleDeadline();

    std::unique_ptr<State> m_state;
};

using HttpExchangePointer = std::shared_ptr<HttpExchange>;

/// An answer that was read into memory.
struct WholeResponse {
    ExchangeEnd end = ExchangeEnd::NotSent;
    unsigned status = 0;
    HeaderFields fields;
    TimePoint beganAt; ///< when the head arrived
    std::string body;

    bool isComplete() const { return end == ExchangeEnd::Complete; }
};

/// Sends a request and reads the whole answer.
/// \param handler  called once, unless the exchange is cancelled
/// \param kept  as for HttpExchange::start()
/// \param onConnected  as in ExchangeHandlers
HttpExchangePointer fetchWhole(EventLoop& loop, const std::string& address, HttpCall call, const TransferLimits& limits, std::function<void(WholeResponse)> handler, std::shared_ptr<KeptConnections> kept = nullptr, std::function<bool(HttpCall&)> onConnected = nullptr);

/// Sends a request and reads the whole answer.
/// \param handler  called once, unless the exchange is cancelled
HttpExchangePointer fetchWhole(EventLoop& loop, const std::string& address, HttpCall call, TimePoint connectBy, TimePoint deadline, std::function<void(WholeResponse)> handler);

}
