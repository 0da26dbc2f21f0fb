#pragma once

#include "ServerExchange.h"

namespace hyssopwick {

/// Accepts connections on one address and reads requests from them.
class HttpListener {
public:
    using Handler = std::function<void(ServerExchangePointer)>;
    /// Returns the active limits; called for each request.
    using LimitsSource = std::function<CallerLimits()>;

    /// Limits of addresses whose requests need no body: those for processes of the deployment, for
    /// the platform's checks and for callers that ask for addresses.
    static CallerLimits limitsWithoutBodies();

    /// \param handler  called for each whole, well-formed request
    /// \param budget   of the process, shared by its listeners; without one, nothing limits all clients together
    HttpListener(EventLoop& loop, Handler handler, LimitsSource limits, std::shared_ptr<RequestBudget> budget = nullptr);
    ~HttpListener();

    /// Starts to listen. Fails with ErrorCode::Unavailable when the address is taken.
    Outcome<void> listen(const std::string& address);

    /// Sets the header fields of answers that refuse a request for lack of memory.
    void setBusyFields(HeaderFields fields);

    /// Returns the port that it listens on, or 0.
    std::uint16_t port() const;

    /// Closes idle connections, and from now on each other connection after its next answer.
    /// New connections are still accepted.
    void startClosing();

    /// Closes the connections on which no request is being read or answered.
    void closeIdle();

    /// Closes the listening socket; open connections stay.
    void stopAccepting();

    /// Returns the number of requests that are read and not answered in full.
    std::size_t openExchanges() const;

    /// Returns the number of open connections.
    std::size_t openConnections() const;

    /// Returns the bytes of answers that are held for all callers.
    std::size_t bufferedBytes() const;

    /// Returns how many connections were closed because an answer was not read by its deadline.
    std::uint64_t unreadAnswers() const;

    /// Returns how many connections and requests were refused before the handler, by reason.
    const std::map<std::string, std::uint64_t>& rejections() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

}
