#pragma once

#include "ServerExchange.h"

namespace hyssopwick {

/// Accepts connections on one address and reads requests from them.
class HttpListener {
public:
    using Handler = std::function<void(ServerExchangePointer)>;
    /// Returns the limits in force; read for each request.
    using LimitsSource = std::function<CallerLimits()>;

    /// \param handler  called for each whole, well-formed request
    HttpListener(EventLoop& loop, Handler handler, LimitsSource limits);
    ~HttpListener();

    /// Starts to listen. Fails with ErrorCode::Unavailable when the address is taken.
    Outcome<void> listen(const std::string& address);

    /// Ends connections politely from now on: idle ones are closed, others with their
    /// next answer. New connections are still accepted.
    void startClosing();

    /// Accepts nothing more.
    void stopAccepting();

    /// Returns the requests that are read and not answered in full.
    std::size_t openExchanges() const;

    /// Returns the open connections.
    std::size_t openConnections() const;

    /// Counts of what was refused before the handler saw it, by reason.
    const std::map<std::string, std::uint64_t>& rejections() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

}
