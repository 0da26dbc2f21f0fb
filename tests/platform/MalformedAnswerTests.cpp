#include "CallFlowSupport.h"

using namespace hyssopwick;

namespace {

const std::vector<std::string> malformedStatuses { "000", "001", "099", "600", "999" };
const std::vector<std::string> malformedNames { "Bad Name", "Bad\tName", "Bad\x01Name", "Bad\x7fName", "Name ", " Name", "Bad(Name", "" };

/// Server that answers a request as soon as its head arrives, and resets the connection while the
/// request's body is still being written.
class ResettingServer {
public:
    ResettingServer(EventLoop& loop, std::string answer)
        : m_answer(std::move(answer))
        , m_acceptor(loop, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , m_timer(loop)
    {
        accept();
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()); }

private:
    void accept()
    {
        m_acceptor.async_accept([this](boost::system::error_code error, TcpSocket socket) {
            if (error)
                return;
            m_socket = std::make_shared<TcpSocket>(std::move(socket));
            asio::write(*m_socket, asio::buffer(m_answer));
            // The peer has filled the buffers of both sides by then.
            m_timer.expires_after(Milliseconds(20));
            m_timer.async_wait([this](boost::system::error_code) {
                boost::system::error_code ignored;
                m_socket->set_option(asio::socket_base::linger(true, 0), ignored);
                m_socket->close(ignored);
            });
            accept();
        });
    }

    std::string m_answer;
    asio::ip::tcp::acceptor m_acceptor;
    LoopTimer m_timer;
    std::shared_ptr<TcpSocket> m_socket;
};

/// Server that answers a request as soon as its head arrives, ends its own side of the connection,
/// and reads the rest of the request afterwards.
class EarlyServer {
public:
    EarlyServer(EventLoop& loop, std::string answer)
        : m_answer(std::move(answer))
        , m_acceptor(loop, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , m_socket(loop)
        , m_timer(loop)
    {
        m_acceptor.async_accept(m_socket, [this](boost::system::error_code) {
            asio::write(m_socket, asio::buffer(m_answer));
            m_socket.shutdown(TcpSocket::shutdown_send);
            m_timer.expires_after(Milliseconds(50));
            m_timer.async_wait([this](boost::system::error_code) { read(); });
        });
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()); }

private:
    void read()
    {
        m_socket.async_read_some(asio::buffer(m_buffer), [this](boost::system::error_code error, std::size_t) {
            if (!error)
                read();
        });
    }

    std::string m_answer;
    asio::ip::tcp::acceptor m_acceptor;
    TcpSocket m_socket;
    LoopTimer m_timer;
    std::array<char, 65536> m_buffer;
};

}

/// Answers that are none: callers must not get them as answers.
TEST_GROUP_BASE(MalformedAnswer, CallFlowGroup)
{
    const std::string longBody = std::string(std::size_t(16) << 20, 'u');

    WholeResponse fetch(const std::string& address, HttpCall call)
    {
        std::optional<WholeResponse> response;
        const auto deadline = monotonicNow() + Milliseconds(10000); // only ends a failing test
        fetchWhole(loop, address, std::move(call), deadline, deadline, [&response](WholeResponse received) { response = std::move(received); });
        while (!response)
            loop.run_one();
        return std::move(*response);
    }

    // Both upstreams answer so; the caller must get a failure of the entry's own.
    void checkNotForwarded(const std::string& answer)
    {
        ++configuration.version;
        route(CallKind::AtMostOnce, 1, false);
        first.clearAnswers();
        second.clearAnswers();
        answerBoth(answer);
        send();
        finish();
        const auto text = answer.substr(0, 200);
        LONGS_EQUAL_TEXT(502, exchange->status, text.c_str());
        CHECK_FALSE(exchange->isStream);
    }
};

// A write that takes the reset from the socket leaves a plain end of the connection to the next read.
TEST(MalformedAnswer, AnAnswerWithoutLengthThatIsResetDuringTheUploadIsNotComplete)
{
    for (int round = 0; round < 20; ++round) {
        ResettingServer server(loop, "HTTP/1.1 200 OK\r\nServer-Seal: s\r\n\r\nonly a part");
        CHECK_FALSE(fetch(server.address(), { "PUT", "/x", {}, longBody }).isComplete());
    }
}

TEST(MalformedAnswer, AStreamWithoutLengthThatIsResetDuringTheUploadIsNotComplete)
{
    for (int round = 0; round < 20; ++round) {
        ResettingServer server(loop, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n");
        CHECK_FALSE(fetch(server.address(), { "POST", "/x", {}, longBody }).isComplete());
    }
}

// Guards against a fix that takes every early answer for an incomplete one.
TEST(MalformedAnswer, AnEarlyAnswerIsCompleteWhateverItsFraming)
{
    for (const char* framing : { "", "Content-Length: 4\r\n" }) {
        EarlyServer server(loop, std::string("HTTP/1.1 200 OK\r\n") + framing + "\r\ndone");
        const auto response = fetch(server.address(), { "PUT", "/x", {}, longBody });
        CHECK(response.isComplete());
        STRCMP_EQUAL("done", response.body.c_str());
    }
}

// Each write ends with a line, so that nothing of the head is left over between them.
TEST(MalformedAnswer, AHeadWithoutEndIsCutHoweverItsLinesArrive)
{
    asio::ip::tcp::acceptor acceptor(loop, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    std::optional<WholeResponse> response;
    const auto deadline = monotonicNow() + Milliseconds(10000); // only ends a failing test
    fetchWhole(loop, "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()), { "GET", "/", {}, "" }, deadline, deadline, [&response](WholeResponse received) { response = std::move(received); });
    auto server = acceptor.accept();
    server.set_option(asio::ip::tcp::no_delay(true));
    boost::system::error_code error;
    asio::write(server, asio::buffer(std::string("HTTP/1.1 200 OK\r\n")), error);
    for (int line = 0; line < 2000 && !response; ++line) {
        asio::write(server, asio::buffer("X-More: " + std::string(100, 'm') + "\r\n"), error);
        for (int i = 0; i < 3; ++i)
            loop.run_one_for(Milliseconds(1));
    }
    CHECK(response.has_value());
    CHECK(response->end == ExchangeEnd::Malformed);
}

TEST(MalformedAnswer, AStatusOutOfRangeIsNoAnswer)
{
    for (const auto& status : malformedStatuses) {
        first.answer("HTTP/1.1 " + status + " Odd\r\nContent-Length: 2\r\n\r\nno");
        CHECK_TEXT(fetch(first.address(), { "GET", "/", {}, "" }).end == ExchangeEnd::Malformed, status.c_str());
        checkNotForwarded("HTTP/1.1 " + status + " Odd\r\nRequest-Id: r1\r\nServer-Seal: s1\r\nContent-Length: 2\r\n\r\nno");
    }
}

TEST(MalformedAnswer, AFieldWhoseNameIsNoTokenIsNoAnswer)
{
    for (const auto& name : malformedNames)
        checkNotForwarded(okHead + name + ": value\r\nContent-Length: 2\r\n\r\nno");
}

TEST(MalformedAnswer, ATrailerWhoseNameIsNoTokenMakesAnAnswerIncomplete)
{
    for (const auto& name : malformedNames)
        checkNotForwarded(okHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n" + name + ": value\r\n\r\n");
}

TEST(MalformedAnswer, AnInterimAnswerThatIsMalformedIsNoAnswer)
{
    for (const auto& name : malformedNames)
        checkNotForwarded("HTTP/1.1 103 Early Hints\r\n" + name + ": value\r\n\r\n" + okHead + "Content-Length: 2\r\n\r\nno");
    checkNotForwarded("HTTP/1.1 099 Odd\r\n\r\n" + okHead + "Content-Length: 2\r\n\r\nno");
}
