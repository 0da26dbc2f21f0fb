#include "../TestSupport.h"

#include <array>
#include <cstdlib>
#include <future>
#include <hyssopwick_gateway.h>
#include <hyssopwick_transport.h>
#include <thread>

using namespace hyssopwick;

namespace {

const std::vector<std::string> requests {
    "GET /first?a=1&b HTTP/1.1\r\nHost: h\r\n\r\n",
    "POST /second HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody",
    "POST /third HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4;name=\"value\"\r\nbody\r\n3\r\nend\r\n0\r\nX-Trailer: a\r\n\r\n",
    "PUT /fourth HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "HEAD /fifth HTTP/1.0\r\nConnection: keep-alive\r\nX-Folded: a\r\n b\r\n\r\n",
};

const std::vector<std::string> answers {
    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;name=\"value\"\r\nbody\r\n3\r\nend\r\n0\r\nX-Trailer: a\r\n\r\n",
    "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n\r\nuntil the end",
    "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
    "HTTP/1.0 404 Not Found\r\nX-Folded: a\r\n b\r\n\r\n",
};

bool isToken(std::string_view name)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    const auto isTokenCharacter = [marks](unsigned char character) { return (character < 128 && std::isalnum(character) != 0) || marks.find(static_cast<char>(character)) != std::string_view::npos; };
    return !name.empty() && std::all_of(name.begin(), name.end(), isTokenCharacter);
}

/// Well-formed messages with random changes, in random pieces.
class MessageSource {
public:
    MessageSource(const std::vector<std::string>& messages, std::uint64_t seed)
        : m_messages(messages)
        , m_random(seed)
    {
    }

    std::vector<std::string> next()
    {
        auto text = one();
        if (below(3) == 0)
            text += one();
        for (auto changes = below(5); changes > 0; --changes)
            change(text);
        std::vector<std::string> pieces;
        for (std::size_t begin = 0; begin < text.size();) {
            const auto size = below(2) == 0 ? 1 + below(4) : 1 + below(text.size());
            pieces.push_back(text.substr(begin, size));
            begin += size;
        }
        return pieces;
    }

    std::size_t below(std::size_t limit) { return m_random.below(limit); }

private:
    const std::string& one() { return m_messages[below(m_messages.size())]; }

    void change(std::string& text)
    {
        static const std::vector<std::string> fragments { "\r\n", "\r\n\r\n", "0\r\n", ";", ":", " ", "\t", std::string(1, '\0'), "\x7f", "Content-Length: 9999999999\r\n", "Transfer-Encoding: chunked\r\n", "ffffffffffffffff\r\n", "-1", "000", "999", std::string(3000, 'z') };
        if (text.empty())
            return;
        const auto at = below(text.size());
        switch (below(4)) {
        case 0:
            text[at] = static_cast<char>(below(256));
            break;
        case 1:
            text.insert(at, fragments[below(fragments.size())]);
            break;
        case 2:
            text.erase(at, 1 + below(8));
            break;
        default:
            text.resize(at);
        }
    }

    const std::vector<std::string>& m_messages;
    RandomSource m_random;
};

}

/// Readers of requests and answers against malformed bytes; HYSSOPWICK_FUZZ_SEED chooses others.
TEST_GROUP(ReaderFuzz)
{
    static constexpr int rounds = 2000;
    static constexpr std::size_t bodyBytes = 1000;

    EventLoop loop { 1 };
    asio::executor_work_guard<EventLoop::executor_type> work { loop.get_executor() };

    static std::uint64_t seed()
    {
        const char* text = std::getenv("HYSSOPWICK_FUZZ_SEED");
        return text ? std::strtoull(text, nullptr, 10) : 1;
    }

    static std::string describe(int round) { return "seed " + std::to_string(seed()) + ", round " + std::to_string(round); }

    void poll()
    {
        for (int i = 0; i < 4; ++i)
            loop.poll();
    }

    void runUntil(const std::function<bool()>& isDone, int round)
    {
        // The upper bound only ends a failing test.
        for (const auto deadline = monotonicNow() + Milliseconds(10000); !isDone() && monotonicNow() < deadline;)
            loop.run_one_for(Milliseconds(1));
        CHECK_TEXT(isDone(), describe(round).c_str());
    }
};

TEST(ReaderFuzz, AListenerPassesOnWellFormedRequestsOnlyAndReleasesWhatItHeld)
{
    MessageSource source(requests, seed());
    const auto budget = std::make_shared<RequestBudget>(RequestBudgetLimits { 8, 1 << 20, 1 << 19 });
    std::vector<ServerExchangePointer> received;
    const auto limits = [] {
        CallerLimits result;
        result.bodyBytes = bodyBytes;
        return result;
    };
    HttpListener listener(
        loop, [&received](const ServerExchangePointer& exchange) { received.push_back(exchange); }, limits, budget);
    CHECK(listener.listen("127.0.0.1:0").has_value());
    for (int round = 0; round < rounds; ++round) {
        TcpSocket client(loop);
        client.connect({ asio::ip::address_v4::loopback(), listener.port() });
        boost::system::error_code error;
        for (const auto& piece : source.next()) {
            asio::write(client, asio::buffer(piece), error);
            poll();
            if (!received.empty() && source.below(2) == 0)
                received.back()->respond(200, {}, "ok");
        }
        for (const auto& exchange : received) {
            CHECK_TEXT(exchange->request().body.size() <= bodyBytes, describe(round).c_str());
            CHECK_TEXT(!exchange->request().method.empty() && !exchange->request().target.empty(), describe(round).c_str());
            for (const auto& [name, value] : exchange->request().fields)
                CHECK_TEXT(isToken(name) && value.find_first_of("\r\n") == std::string::npos, describe(round).c_str());
        }
        received.clear();
        client.close(error);
        runUntil([&] { return listener.openConnections() == 0; }, round);
        LONGS_EQUAL_TEXT(0, budget->heldBytes(), describe(round).c_str());
        LONGS_EQUAL_TEXT(0, budget->connections(), describe(round).c_str());
    }
}

TEST(ReaderFuzz, AnExchangeCompletesWellFormedAnswersOnly)
{
    MessageSource source(answers, seed());
    asio::ip::tcp::acceptor acceptor(loop, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    const auto address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    for (int round = 0; round < rounds; ++round) {
        std::optional<WholeResponse> response;
        const auto end = monotonicNow() + Milliseconds(10000); // only ends a failing test
        fetchWhole(loop, address, { "POST", "/", {}, "body" }, TransferLimits { end, end, Milliseconds(10000), end, bodyBytes }, [&response](WholeResponse whole) { response = std::move(whole); });
        auto server = acceptor.accept();
        boost::system::error_code error;
        for (const auto& piece : source.next()) {
            asio::write(server, asio::buffer(piece), error);
            poll();
        }
        if (source.below(3) == 0)
            server.set_option(asio::socket_base::linger(true, 0), error);
        server.close(error);
        runUntil([&] { return response.has_value(); }, round);
        CHECK_TEXT(response->body.size() <= bodyBytes, describe(round).c_str());
        if (!response->isComplete())
            continue;
        CHECK_TEXT(response->status >= 200 && response->status <= 599, describe(round).c_str());
        for (const auto& [name, value] : response->fields)
            CHECK_TEXT(isToken(name), describe(round).c_str());
    }
}

TEST(ReaderFuzz, AServerOfTheProjectsOwnInterfaceAnswersAfterwards)
{
    MessageSource source(requests, seed());
    HttpServerOptions options;
    options.address = "127.0.0.1:0";
    options.maxRequestBytes = bodyBytes;
    options.budget = { 64, 1 << 20, 1 << 19 };
    std::atomic<bool> isWellFormed { true };
    HttpServer server(options, [&isWellFormed](const HttpRequest& request, const HttpResponderPointer& responder) {
        for (const auto& [name, value] : request.headers)
            isWellFormed = isWellFormed && isToken(name);
        isWellFormed = isWellFormed && request.body.size() <= bodyBytes && !request.method.empty();
        responder->send(200, "ok");
    });
    CHECK(server.start().has_value());
    const auto endpoint = parseEndpoint(server.address()).value();
    for (int round = 0; round < rounds / 4; ++round) {
        TcpSocket client(loop);
        client.connect(endpoint);
        boost::system::error_code error;
        for (const auto& piece : source.next())
            asio::write(client, asio::buffer(piece), error);
        CHECK_TEXT(isWellFormed.load(), describe(round).c_str());
    }
    HttpClient client;
    HttpClientRequest request;
    request.method = "GET";
    request.url = "http://" + server.address() + "/";
    request.deadline = monotonicNow() + Milliseconds(10000); // only ends a failing test
    CHECK(client.send(std::move(request)).has_value());
}

TEST(ReaderFuzz, AClientOfTheProjectsOwnInterfaceReturnsWellFormedAnswersOnly)
{
    MessageSource source(answers, seed());
    asio::ip::tcp::acceptor acceptor(loop, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    HttpClient client;
    for (int round = 0; round < rounds / 4; ++round) {
        HttpClientRequest request;
        request.method = "GET";
        request.url = "http://127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()) + "/";
        request.deadline = monotonicNow() + Milliseconds(10000); // only ends a failing test
        request.maxResponseBytes = bodyBytes;
        request.freshConnection = true;
        std::promise<Outcome<HttpClientResponse>> promise;
        client.start(std::move(request), [&promise](Outcome<HttpClientResponse> outcome) { promise.set_value(std::move(outcome)); });
        auto server = acceptor.accept();
        boost::system::error_code error;
        for (const auto& piece : source.next())
            asio::write(server, asio::buffer(piece), error);
        server.shutdown(TcpSocket::shutdown_both, error);
        server.close(error);
        const auto answer = promise.get_future().get();
        if (!answer)
            continue;
        CHECK_TEXT(answer.value().status >= 200 && answer.value().status <= 599, describe(round).c_str());
        CHECK_TEXT(answer.value().body.size() <= bodyBytes, describe(round).c_str());
        for (const auto& [name, value] : answer.value().headers)
            CHECK_TEXT(isToken(name), describe(round).c_str());
    }
}

// Regression: a body in chunks of which a part was missing kept a thread of the server busy for good.
TEST(ReaderFuzz, ABodyInChunksMayArriveInPieces)
{
    HttpServerOptions options;
    options.address = "127.0.0.1:0";
    HttpServer server(options, [](const HttpRequest& request, const HttpResponderPointer& responder) { responder->send(200, request.path + " " + request.parameter("a") + " " + request.body); });
    CHECK(server.start().has_value());
    TcpSocket client(loop);
    client.connect(parseEndpoint(server.address()).value());
    for (const auto& piece : { "POST /x?a=1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nzzzz", "zzzz\r\n", "3\r", "\nend\r\n0\r\n", "X-Trailer: a\r\n\r\n" }) {
        asio::write(client, asio::buffer(std::string(piece)));
        std::this_thread::sleep_for(Milliseconds(20));
    }
    std::string answer;
    asio::read_until(client, asio::dynamic_buffer(answer), "end");
    CHECK(answer.find("/x 1 zzzzzzzzend") != std::string::npos);
}
