#include "HttpListener.h"

#include "ServerConnection.h"

namespace hyssopwick {

namespace {
    constexpr int acceptBacklog = 512;
    constexpr std::size_t maxUnusedBodyBytes = std::size_t(64) << 10;

    // A failed accept leaves the client in the queue, so that the next one would fail at once.
    constexpr Milliseconds acceptRetryDelay { 20 };

    void acceptNext(const std::shared_ptr<ListenerState>& listener);

    // Descriptors may be used up in spite of the budget, since the process has others.
    void handleAcceptFailure(const std::shared_ptr<ListenerState>& listener)
    {
        ++listener->rejections["accept-failed"];
        listener->budget->evictForConnection();
        listener->acceptTimer.expires_after(acceptRetryDelay);
        listener->acceptTimer.async_wait([listener](boost::system::error_code error) {
            if (!error && listener->acceptor.is_open())
                acceptNext(listener);
        });
    }

    void acceptNext(const std::shared_ptr<ListenerState>& listener)
    {
        listener->acceptor.async_accept([listener](boost::system::error_code error, TcpSocket socket) {
            if (!listener->acceptor.is_open())
                return;
            if (error)
                return handleAcceptFailure(listener);
            std::make_shared<ServerConnection>(std::move(socket), listener)->start();
            acceptNext(listener);
        });
    }
}

struct HttpListener::State {
    std::shared_ptr<ListenerState> listener;
};

HttpListener::HttpListener(EventLoop& loop, Handler handler, LimitsSource limits, std::shared_ptr<RequestBudget> budget)
    : m_state(std::make_shared<State>())
{
    m_state->listener = std::make_shared<ListenerState>(loop);
    m_state->listener->handler = std::move(handler);
    m_state->listener->limits = std::move(limits);
    m_state->listener->budget = budget ? std::move(budget) : std::make_shared<RequestBudget>();
}

CallerLimits HttpListener::limitsWithoutBodies()
{
    CallerLimits limits;
    limits.bodyBytes = maxUnusedBodyBytes;
    return limits;
}

HttpListener::~HttpListener()
{
    stopAccepting();
    // The loop keeps the connections alive, and their exchanges could call this listener's owner after its end.
    const auto connections = m_state->listener->connections;
    for (auto* connection : connections)
        connection->close();
}

Outcome<void> HttpListener::listen(const std::string& address)
{
    BOOST_OUTCOME_TRY(endpoint, parseEndpoint(address));
    auto& acceptor = m_state->listener->acceptor;
    boost::system::error_code error;
    acceptor.open(endpoint.protocol(), error);
    if (!error)
        acceptor.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
        acceptor.bind(endpoint, error);
    if (!error)
        acceptor.listen(acceptBacklog, error);
    if (error)
        return failure(ErrorCode::Unavailable, "cannot listen on " + address + ": " + error.message());
    m_state->listener->address = address;
    acceptNext(m_state->listener);
    return success();
}

void HttpListener::setBusyFields(HeaderFields fields) { m_state->listener->busyFields = std::move(fields); }

std::uint16_t HttpListener::port() const
{
    boost::system::error_code error;
    const auto endpoint = m_state->listener->acceptor.local_endpoint(error);
    return error ? std::uint16_t(0) : endpoint.port();
}

void HttpListener::startClosing()
{
    m_state->listener->isClosing = true;
    closeIdle();
}

void HttpListener::closeIdle()
{
    const auto connections = m_state->listener->connections;
    for (auto* connection : connections)
        connection->closeIfIdle();
}

void HttpListener::stopAccepting()
{
    boost::system::error_code ignored;
    m_state->listener->acceptor.close(ignored);
    m_state->listener->acceptTimer.cancel(ignored);
}

std::size_t HttpListener::openExchanges() const { return m_state->listener->openExchanges; }

std::size_t HttpListener::openConnections() const { return m_state->listener->connections.size(); }

std::size_t HttpListener::bufferedBytes() const { return m_state->listener->bufferedBytes; }

std::uint64_t HttpListener::unreadAnswers() const { return m_state->listener->unreadAnswers; }

const std::map<std::string, std::uint64_t>& HttpListener::rejections() const { return m_state->listener->rejections; }

}
