#pragma once

#include "HttpMessages.h"

namespace hyssopwick {

/// Limits of an HttpServer.
struct HttpServerOptions {
    std::string address; ///< "ip:port"; port 0 picks a free one
    unsigned threads = 2;
    std::size_t maxRequestBytes = 1 << 20;
    Milliseconds bodyTimeout { 20000 }; ///< for each request, from its first byte (of the first one: from the connection) to its end
    RequestBudgetLimits budget = {}; ///< of all clients together
};

/// HTTP/1.1 server on Pistache.
class HttpServer {
public:
    HttpServer(HttpServerOptions options, HttpHandler handler);
    ~HttpServer();

    /// Binds the address and serves requests on its own threads.
    /// Fails with ErrorCode::Unavailable when the address cannot be bound.
    Outcome<void> start();

    /// Closes the listening socket and all connections. The server does not start again.
    void stop();

    /// Returns the number of answers and parts of streamed ones that are not yet written whole,
    /// as when callers read slowly. stop() discards them.
    std::size_t pendingWrites() const;

    /// Sets gauges that tell which clients were turned away.
    void exportMetrics(MetricsRegistry& metrics) const;

    /// Returns the bound "ip:port".
    std::string address() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

}
