#include "CallFlowSupport.h"

using namespace hyssopwick;

namespace {

/// Server that answers a number of requests on each connection, and then closes it.
class CountingServer {
public:
    CountingServer(EventLoop& loop, unsigned answersPerConnection)
        : m_answersPerConnection(answersPerConnection)
        , m_acceptor(loop, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
        accept();
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()); }
    unsigned connections() const { return m_connections; }
    unsigned requests() const { return m_requests; }

    bool sendsExtraBytes = false;

private:
    struct Connection {
        explicit Connection(TcpSocket accepted)
            : socket(std::move(accepted))
        {
        }
        TcpSocket socket;
        std::string read;
        unsigned answers = 0;
    };

    void accept()
    {
        m_acceptor.async_accept([this](boost::system::error_code error, TcpSocket socket) {
            if (error)
                return;
            ++m_connections;
            serve(std::make_shared<Connection>(std::move(socket)));
            accept();
        });
    }

    // The connection is closed after the last answer, when the next request may be on its way.
    void serve(const std::shared_ptr<Connection>& connection)
    {
        asio::async_read_until(connection->socket, asio::dynamic_buffer(connection->read), "\r\n\r\n", [this, connection](boost::system::error_code error, std::size_t size) {
            if (error || connection->answers == m_answersPerConnection)
                return;
            connection->read.erase(0, size);
            ++m_requests;
            ++connection->answers;
            const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
            boost::system::error_code ignored;
            asio::write(connection->socket, asio::buffer(sendsExtraBytes ? answer + answer : answer), ignored);
            serve(connection);
        });
    }

    unsigned m_answersPerConnection;
    asio::ip::tcp::acceptor m_acceptor;
    unsigned m_connections = 0;
    unsigned m_requests = 0;
};

}

TEST_GROUP(KeptConnections)
{
    EventLoop loop { 1 };
    std::shared_ptr<KeptConnections> kept = std::make_shared<KeptConnections>();

    WholeResponse fetch(const std::string& address, const std::string& body = "")
    {
        std::optional<WholeResponse> result;
        const auto end = monotonicNow() + Milliseconds(10000); // only ends a failing test
        fetchWhole(
            loop, address, { body.empty() ? "GET" : "PUT", "/", {}, body }, TransferLimits { end, end, Milliseconds(0), end }, [&result](WholeResponse response) { result = std::move(response); }, kept);
        while (!result)
            loop.run_one();
        return *result;
    }
};

TEST(KeptConnections, RequestsOneAfterTheOtherShareAConnection)
{
    CountingServer server(loop, 100);
    for (int i = 0; i < 10; ++i)
        STRCMP_EQUAL("ok", fetch(server.address()).body.c_str());
    LONGS_EQUAL(1, server.connections());
    LONGS_EQUAL(10, server.requests());
}

TEST(KeptConnections, ARequestOnAConnectionThatTheServerEndsIsSentOnANewOne)
{
    CountingServer server(loop, 3);
    for (int i = 0; i < 9; ++i)
        CHECK(fetch(server.address(), std::string(100, 'b')).isComplete());
    LONGS_EQUAL(3, server.connections());
    LONGS_EQUAL(9, server.requests());
}

TEST(KeptConnections, BytesAfterAnAnswerEndItsConnection)
{
    CountingServer server(loop, 100);
    server.sendsExtraBytes = true;
    for (int i = 0; i < 3; ++i)
        STRCMP_EQUAL("ok", fetch(server.address()).body.c_str());
    LONGS_EQUAL(3, server.connections());
}
