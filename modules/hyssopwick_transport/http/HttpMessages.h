#pragma once

#include <hyssopwick_core.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace hyssopwick {

/// Header fields with lower-case names.
using HttpHeaders = std::map<std::string, std::string>;

/// A request as a server handler receives it.
struct HttpRequest {
    std::string method; ///< "GET", "POST", "PUT" or "DELETE"
    std::string path; ///< path without the query
    std::map<std::string, std::string> query;
    HttpHeaders headers;
    std::string body;

    /// Returns the header \p name (lower case), or \p fallback.
    std::string header(const std::string& name, const std::string& fallback = "") const
    {
        const auto found = headers.find(name);
        return found == headers.end() ? fallback : found->second;
    }

    /// Returns the query parameter \p name, or \p fallback.
    std::string parameter(const std::string& name, const std::string& fallback = "") const
    {
        const auto found = query.find(name);
        return found == query.end() ? fallback : found->second;
    }
};

/// Answers one request: either send(), or startStream(), write()... and finish().
/// Thread-safe; calls have no effect once the caller has disconnected.
class HttpResponder {
public:
    virtual ~HttpResponder() = default;

    /// Sends a complete response.
    virtual void send(int status, std::string body, const HttpHeaders& headers = {}) = 0;

    /// Starts a streamed response (chunked transfer encoding).
    virtual void startStream(int status, const HttpHeaders& headers) = 0;

    /// Sends a part of a streamed response; returns false once the caller has disconnected or
    /// isUnread().
    virtual bool write(std::string_view data) = 0;

    /// Ends a streamed response.
    virtual void finish() = 0;

    /// Returns false once the caller has closed the connection.
    virtual bool isConnected() const = 0;

    /// Returns whether the connection was closed because the caller left too much of a streamed
    /// response unread.
    virtual bool isUnread() const { return false; }
};

using HttpResponderPointer = std::shared_ptr<HttpResponder>;

/// Handles a request on a server thread; must not block.
using HttpHandler = std::function<void(HttpRequest, HttpResponderPointer)>;

}
