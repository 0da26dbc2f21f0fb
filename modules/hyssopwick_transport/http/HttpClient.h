#pragma once

#include "HttpMessages.h"

#include <optional>
#include <utility>
#include <vector>

namespace hyssopwick {

/// A request to send.
struct HttpClientRequest {
    std::string method;
    std::string url;
    std::vector<std::pair<std::string, std::string>> headers;
    std::shared_ptr<const std::string> body; ///< shared, so that a chunk is not copied
    TimePoint deadline; ///< the transfer fails with ErrorCode::Timeout after it
    std::size_t maxResponseBytes = std::size_t(64) << 20;

    /// Opens a connection of its own. A kept connection that turns out closed makes
    /// libcurl send again, which a non-idempotent call must not risk.
    bool freshConnection = false;
};

/// A whole answer, or the head of a streamed one.
struct HttpClientResponse {
    int status = 0;
    HttpHeaders headers;
    std::string body;
};

/// HTTP client on one libcurl multi handle with a thread of its own.
/// Errors: ErrorCode::Unavailable when no byte of the request was sent,
/// ErrorCode::Timeout and ErrorCode::UnknownResult when it may have arrived.
class HttpClient {
public:
    using TransferId = std::uint64_t;

    /// Receives the head and each part of a streamed answer; returns false to cancel.
    using DataHandler = std::function<bool(const HttpClientResponse& head, std::string_view data)>;
    using DoneHandler = std::function<void(Outcome<HttpClientResponse>)>;

    HttpClient();

    ~HttpClient();

    /// Fails the transfers in progress and joins the thread; later transfers fail at
    /// once. Call it before what the handlers refer to is destroyed.
    void stop();

    /// Sets how many idle connections are kept; set it before the first transfer.
    void setMaxIdleConnections(long most);

    /// Sets what turns a request's URL into the one that is dialled. For tests and
    /// benches, to cut links; set it before the first transfer.
    void setUrlRedirect(std::function<std::string(const std::string& url)> redirect);

    /// Starts a transfer. Handlers run on the client's thread and must not block.
    /// \param onData  for a streamed answer with status 200; the body is then not kept
    TransferId start(HttpClientRequest request, DoneHandler onDone, DataHandler onData = nullptr);

    /// Cancels a transfer; its done handler receives ErrorCode::UnknownResult.
    void cancel(TransferId id);

    /// Sends and waits.
    /// \param isCancelled  asked every few milliseconds; true cancels the transfer
    Outcome<HttpClientResponse> send(HttpClientRequest request, DataHandler onData = nullptr,
        const std::function<bool()>& isCancelled = nullptr);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

}
