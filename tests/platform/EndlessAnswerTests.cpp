#include "CallFlowSupport.h"

using namespace hyssopwick;

namespace {

/// Upstream that answers with a prefix and then sends a pattern until it is closed.
class EndlessUpstream {
public:
    EndlessUpstream(EventLoop& loop, std::string prefix, const std::string& pattern)
        : m_prefix(std::move(prefix))
        , m_acceptor(loop, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
        while (m_piece.size() < pieceBytes)
            m_piece += pattern;
        accept();
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()); }
    std::size_t sentBytes() const { return m_sentBytes; }
    bool isClosed() const { return m_isClosed; }

private:
    static constexpr std::size_t pieceBytes = 65536;

    void accept()
    {
        m_acceptor.async_accept([this](boost::system::error_code error, TcpSocket socket) {
            if (error)
                return;
            m_socket = std::make_shared<TcpSocket>(std::move(socket));
            asio::async_read_until(*m_socket, asio::dynamic_buffer(m_request), "\r\n\r\n", [this](boost::system::error_code, std::size_t) { write(m_prefix); });
        });
    }

    void write(const std::string& bytes)
    {
        asio::async_write(*m_socket, asio::buffer(bytes), [this](boost::system::error_code error, std::size_t size) {
            m_sentBytes += size;
            m_isClosed = static_cast<bool>(error);
            if (!error)
                write(m_piece);
        });
    }

    std::string m_prefix;
    std::string m_piece;
    asio::ip::tcp::acceptor m_acceptor;
    std::shared_ptr<TcpSocket> m_socket;
    std::string m_request;
    std::size_t m_sentBytes = 0;
    bool m_isClosed = false;
};

// What the system's socket buffers may hold of bytes that were sent and not read.
constexpr std::size_t socketBufferBytes = std::size_t(8) << 20;

}

/// Servers in trouble that send bytes until their caller closes.
TEST_GROUP_BASE(EndlessAnswer, CallFlowGroup)
{
    std::unique_ptr<EndlessUpstream> endless;
    std::size_t peakHeldBytes = 0;

    // Sends a call to an upstream that answers so, and waits until it is cut off.
    void callEndless(CallKind kind, const std::string& prefix, const std::string& pattern)
    {
        endless = std::make_unique<EndlessUpstream>(loop, prefix, pattern);
        route(kind, 1, false);
        for (const auto* id : { "i-1", "i-2" }) {
            Upstream upstream;
            upstream.id = id;
            upstream.service = "plain";
            upstream.address = endless->address();
            services.setUpstream(upstream);
        }
        services.refresh();
        send();
        while (!exchange->hasEnded || !endless->isClosed()) {
            loop.run_one();
            peakHeldBytes = std::max(peakHeldBytes, services.answerMemory()->heldBytes());
        }
        CHECK(endless->sentBytes() < (std::size_t(4) << 20) + socketBufferBytes);
        CHECK(peakHeldBytes <= (std::size_t(4) << 20));
        LONGS_EQUAL(0, services.answerMemory()->heldBytes());
    }

    ExchangeEnd fetchEnd(const std::string& prefix, const std::string& pattern, std::uint64_t maxBodyBytes)
    {
        EndlessUpstream server(loop, prefix, pattern);
        std::optional<WholeResponse> response;
        const auto end = monotonicNow() + Milliseconds(20000); // only ends a failing test
        fetchWhole(loop, server.address(), { "GET", "/", {}, "" }, TransferLimits { end, end, Milliseconds(20000), end, maxBodyBytes }, [&response](WholeResponse received) { response = std::move(received); });
        while (!response || !server.isClosed())
            loop.run_one();
        CHECK(server.sentBytes() < maxBodyBytes + socketBufferBytes);
        CHECK(response->body.size() <= maxBodyBytes);
        return response->end;
    }
};

TEST(EndlessAnswer, AHeadWithoutEndIsCut)
{
    callEndless(CallKind::Idempotent, "HTTP/1.1 200 OK\r\n", "X-More: and more\r\n");
    LONGS_EQUAL(502, exchange->status);
}

TEST(EndlessAnswer, BytesThatAreNoHeadAreCut)
{
    callEndless(CallKind::Idempotent, "", "zzzz");
    LONGS_EQUAL(502, exchange->status);
}

TEST(EndlessAnswer, AFieldWithoutEndIsCut)
{
    callEndless(CallKind::AtMostOnce, "HTTP/1.1 200 OK\r\nX-Long: ", "z");
    LONGS_EQUAL(502, exchange->status);
}

TEST(EndlessAnswer, InterimAnswersWithoutEndAreCut)
{
    callEndless(CallKind::Idempotent, "", "HTTP/1.1 100 Continue\r\n\r\n");
    LONGS_EQUAL(502, exchange->status);
}

TEST(EndlessAnswer, ABodyUntilTheConnectionsEndIsCut)
{
    callEndless(CallKind::Idempotent, okHead + "\r\n", "zzzz");
    LONGS_EQUAL(502, exchange->status);
}

TEST(EndlessAnswer, ChunksWithoutEndAreCut)
{
    callEndless(CallKind::Idempotent, okHead + "Transfer-Encoding: chunked\r\n\r\n", chunk(std::string(200, 'z')));
    LONGS_EQUAL(502, exchange->status);
}

TEST(EndlessAnswer, AChunkHeaderWithoutEndIsCut)
{
    callEndless(CallKind::Idempotent, okHead + "Transfer-Encoding: chunked\r\n\r\n4;", "z");
    LONGS_EQUAL(502, exchange->status);
}

TEST(EndlessAnswer, ABodyThatAnswersAnotherRequestIsCutAtItsHead)
{
    callEndless(CallKind::Idempotent, "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nServer-Seal: s\r\n\r\n", "zzzz");
    LONGS_EQUAL(502, exchange->status);
    LONGS_EQUAL(0, peakHeldBytes);
    CHECK(endless->sentBytes() < socketBufferBytes);
}

TEST(EndlessAnswer, AnEventWithoutEndIsCutAndNothingOfItForwarded)
{
    callEndless(CallKind::Stream, okHead + "Transfer-Encoding: chunked\r\n\r\n" + chunk("id: 1\ndata: a\n\n"), chunk("data: z\n"));
    CHECK(exchange->isAborted);
    STRCMP_EQUAL("id: 1\ndata: a\n\n", exchange->body.c_str());
}

TEST(EndlessAnswer, EventsWithoutEndAreCut)
{
    callEndless(CallKind::Stream, okHead + "Transfer-Encoding: chunked\r\n\r\n", chunk(":" + std::string(200, 'x') + "\n\n"));
    CHECK(exchange->isAborted);
}

// Reports, chunks and views are read into memory whole, by entries and agents.
TEST(EndlessAnswer, AnAnswerThatIsReadIntoMemoryIsBounded)
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    CHECK(ExchangeEnd::Malformed == fetchEnd("", "zzzz", 50000));
    CHECK(ExchangeEnd::Malformed == fetchEnd(head, "X-More: and more\r\n", 50000));
    CHECK(ExchangeEnd::Malformed == fetchEnd(head + "\r\n", "zzzz", 50000));
    CHECK(ExchangeEnd::Malformed == fetchEnd(head + "Content-Length: 99999999\r\n\r\n", "zzzz", 50000));
    CHECK(ExchangeEnd::Malformed == fetchEnd(head + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nzzzz\r\n", 50000));
    CHECK(ExchangeEnd::Malformed == fetchEnd(head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Trailer: and more\r\n", 50000));
}

// All incomplete answers together use a part of the process's memory only.
TEST(EndlessAnswer, ManyLongAnswersTogetherAreBounded)
{
    context.description.memoryBytes = std::size_t(1) << 20;
    callEndless(CallKind::Idempotent, okHead + "\r\n", "zzzz");
    LONGS_EQUAL(502, exchange->status);
    CHECK(peakHeldBytes <= (std::size_t(1) << 18));
}
