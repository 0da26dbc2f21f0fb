#include "HttpListener.h"

#include "ServerConnection.h"

namespace hyssopwick {

namespace {
    constexpr int acceptBacklog = 512;

    void acceptNext(const std::shared_ptr<ServerShared>& shared)
    {
        shared->acceptor.async_accept([shared](boost::system::error_code error, TcpSocket socket) {
            if (!shared->acceptor.is_open())
                return;
            if (!error)
                std::make_shared<ServerConnection>(std::move(socket), shared)->start();
            else
                ++shared->rejections["accept-failed"];
            acceptNext(shared);
        });
    }
}

struct HttpListener::State {
    std::shared_ptr<ServerShared> shared;
};

HttpListener::HttpListener(EventLoop& loop, Handler handler, LimitsSource limits)
    : m_state(std::make_shared<State>())
{
    m_state->shared = std::make_shared<ServerShared>(loop);
    m_state->shared->handler = std::move(handler);
    m_state->shared->limits = std::move(limits);
}

HttpListener::~HttpListener()
{
    stopAccepting();
    // The loop holds the connections for longer than the owner lives that their exchanges call.
    const auto connections = m_state->shared->connections;
    for (auto* connection : connections)
        connection->close();
}

Outcome<void> HttpListener::listen(const std::string& address)
{
    BOOST_OUTCOME_TRY(endpoint, parseEndpoint(address));
    auto& acceptor = m_state->shared->acceptor;
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
    acceptNext(m_state->shared);
    return success();
}

void HttpListener::startClosing()
{
    m_state->shared->isClosing = true;
    const auto connections = m_state->shared->connections;
    for (auto* connection : connections)
        connection->closeIfIdle();
}

void HttpListener::stopAccepting()
{
    boost::system::error_code ignored;
    m_state->shared->acceptor.close(ignored);
}

std::size_t HttpListener::openExchanges() const { return m_state->shared->openExchanges; }

std::size_t HttpListener::openConnections() const { return m_state->shared->connections.size(); }

const std::map<std::string, std::uint64_t>& HttpListener::rejections() const { return m_state->shared->rejections; }

}
