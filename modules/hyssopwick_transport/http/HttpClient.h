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
    /// Largest body, in bytes, that is stored; set it for answers that may be longer. A body that
    /// goes to a DataHandler is not stored.
    std::size_t maxResponseBytes = std::size_t(4) << 20;

    /// Opens a new connection. When a reused connection turns out to be closed, libcurl
    /// sends the request again, which a non-idempotent call must not risk.
    bool freshConnection = false;
};

/// A complete response, or the status and headers of a streamed one.
struct HttpClientResponse {
    int status = 0;
    HttpHeaders headers;
    std::string body;
};

/// HTTP client that runs one libcurl multi handle on its own thread.
/// Errors: ErrorCode::Unavailable when no byte of the request was sent,
/// ErrorCode::Timeout and ErrorCode::UnknownResult when it may have been received.
class HttpClient {
public:
    using TransferId = std::uint64_t;

    /// Receives the head and each part of a streamed response; returns false to cancel.
    using DataHandler = std::function<bool(const HttpClientResponse& head, std::string_view data)>;
    using DoneHandler = std::function<void(Outcome<HttpClientResponse>)>;

    /// Receives the limit that an answer exceeded ("head" or "body") and the URL of its request.
    using LimitHandler = std::function<void(const char* limit, const std::string& url)>;

    HttpClient();

    ~HttpClient();

    /// Fails the transfers in progress and joins the thread; later transfers fail at
    /// once. Call it before any object that the handlers use is destroyed.
    void stop();

    /// Sets the largest number of idle connections. Call it before the first transfer.
    void setMaxIdleConnections(long maximum);

    /// Sets a function that replaces the URL of each request, by which tests and benches
    /// simulate broken links. Call it before the first transfer.
    void setUrlRedirect(std::function<std::string(const std::string& url)> redirect);

    /// Sets a function that is called, on the client's thread, for each transfer that is ended
    /// because its answer exceeded a limit. Call it before the first transfer.
    void setLimitHandler(LimitHandler handler);

    /// Starts a transfer. Handlers run on the client's thread and must not block.
    /// \param onData  receives the body of a response with status 200; the body is not stored then
    TransferId start(HttpClientRequest request, DoneHandler onDone, DataHandler onData = nullptr);

    /// Cancels a transfer; its done handler receives ErrorCode::UnknownResult.
    void cancel(TransferId id);

    /// Sends a request and waits for the response.
    /// \param isCancelled  polled every few milliseconds; true cancels the transfer
    Outcome<HttpClientResponse> send(HttpClientRequest request, DataHandler onData = nullptr,
        const std::function<bool()>& isCancelled = nullptr);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

}
