#include "CallFlowSupport.h"
#include "SlowEngine.h"

#include <linux/filter.h>

using namespace hyssopwick;

namespace {

// Makes the system drop packets that arrive at a socket and have more bytes than a header without data,
// as a path would that loses them. Accepted connections inherit that from their listener.
void dropArrivingData(int socket)
{
    sock_filter code[] = { BPF_STMT(BPF_LD | BPF_W | BPF_LEN, 0), BPF_JUMP(BPF_JMP | BPF_JGT | BPF_K, 60, 0, 1), BPF_STMT(BPF_RET | BPF_K, 0), BPF_STMT(BPF_RET | BPF_K, 0xffff) };
    const sock_fprog program { 4, code };
    LONGS_EQUAL(0, setsockopt(socket, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program));
}

/// Upstream whose connections open, and lose all data that is sent to them until restore().
class UnreachableUpstream {
public:
    explicit UnreachableUpstream(EventLoop& loop)
        : m_acceptor(loop, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , m_socket(loop)
    {
        dropArrivingData(m_acceptor.native_handle());
        m_acceptor.async_accept(m_socket, [this](boost::system::error_code error) { m_isConnected = !error; });
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()); }

    bool isConnected() const { return m_isConnected; }

    void restore() { setsockopt(m_socket.native_handle(), SOL_SOCKET, SO_DETACH_FILTER, nullptr, 0); }

    // Returns the bytes that arrive until the connection ends.
    std::string readAll()
    {
        std::string bytes;
        boost::system::error_code error;
        asio::read(m_socket, asio::dynamic_buffer(bytes), error);
        return bytes;
    }

private:
    asio::ip::tcp::acceptor m_acceptor;
    TcpSocket m_socket;
    bool m_isConnected = false;
};

}

TEST_GROUP_BASE(Delivery, CallFlowGroup) {
    // Registers an upstream in the place of the first one.
    void replaceFirst(const std::string& address) {
        Upstream registered;
registered.id = "i-1";
registered.service = "plain";
registered.address = address;
registered.failureDomain = "north-a";
services.setUpstream(registered);
services.removeUpstream("i-2", RegistrationEnd::Unreadable);
services.refresh();
}

void addSecond()
{
    Upstream registered;
    registered.id = "i-2";
    registered.service = "plain";
    registered.address = second.address();
    registered.failureDomain = "north-a";
    services.setUpstream(registered);
    services.refresh();
}
}
;

// Guards against a call that reaches an upstream long after it was sent, and works on there when its caller has left.
TEST(Delivery, ARequestThatDoesNotArriveGoesToAnotherUpstream)
{
    UnreachableUpstream unreachable(loop);
    route(CallKind::Idempotent, 2, false);
    replaceFirst(unreachable.address());
    second.answer(okHead + "Content-Length: 2\r\n\r\nok");
    const auto sentAt = monotonicNow();
    send();
    while (!unreachable.isConnected())
        loop.run_one();
    addSecond();
    finish();
    LONGS_EQUAL(200, exchange->status);
    CHECK_COMPARE(millisecondsBetween(sentAt, monotonicNow()), <=, 500);
    unreachable.restore();
    STRCMP_EQUAL("", unreachable.readAll().c_str());
}

TEST(Delivery, ARequestThatMayRunOnlyOnceIsNotSentAgain)
{
    UnreachableUpstream unreachable(loop);
    route(CallKind::AtMostOnce, 2, false);
    replaceFirst(unreachable.address());
    send();
    while (!unreachable.isConnected())
        loop.run_one();
    addSecond();
    finish();
    LONGS_EQUAL(504, exchange->status);
    LONGS_EQUAL(0, second.requests().size());
}

TEST(Delivery, AnUpstreamThatReadsSlowlyKeepsItsRequest)
{
    SlowEngine slow(loop);
    route(CallKind::Idempotent, 2, false);
    replaceFirst(slow.address());
    const auto sendBody = [this](std::size_t bytes) {
        ServerRequest request;
        request.method = "POST";
        request.target = "/x/book";
        request.host = "a.example";
        request.fields = { { "Request-Id", "r1" }, { "Deadline-Ms", "1500" }, { "Authorization", "Bearer secret-key" } };
        request.body.assign(bytes, 'x');
        request.receivedAt = monotonicNow();
        exchange = std::make_shared<RecordedExchange>(std::move(request));
        flow = std::make_shared<CallFlow>(
            services, exchange, [](const std::string&) {}, [](CallFlow*) {});
        flow->start();
    };
    sendBody(std::size_t(1) << 20);
    while (!slow.isReceiving())
        loop.run_one();
    addSecond();
    finish();
    LONGS_EQUAL(504, exchange->status);
    LONGS_EQUAL(0, second.requests().size());
}
