#include "EndlessServer.h"

using namespace hyssopwick;

namespace {

const std::vector<std::string> malformedStatuses { "000", "001", "099", "600", "999" };
const std::vector<std::string> malformedNames { "Bad Name", "Bad\tName", "Bad\x01Name", "Bad\x7fName", "Name ", " Name", "Bad(Name", "" };

/// Server that answers each connection with some bytes once a head has arrived, then ends it.
class OneAnswerServer {
public:
    OneAnswerServer(std::string answer, bool isReset)
        : m_answer(std::move(answer))
        , m_isReset(isReset)
        , m_listener(socket(AF_INET, SOCK_STREAM, 0))
    {
        auto bound = socketAddress("127.0.0.1:0");
        LONGS_EQUAL(0, bind(m_listener, reinterpret_cast<const sockaddr*>(&bound), sizeof bound));
        LONGS_EQUAL(0, listen(m_listener, 16));
        socklen_t size = sizeof bound;
        getsockname(m_listener, reinterpret_cast<sockaddr*>(&bound), &size);
        m_port = ntohs(bound.sin_port);
        m_thread = std::thread([this] { serve(); });
    }

    ~OneAnswerServer()
    {
        shutdown(m_listener, SHUT_RDWR);
        m_thread.join();
        ::close(m_listener);
    }

    std::string url() const { return "http://127.0.0.1:" + std::to_string(m_port) + "/"; }

private:
    void serve()
    {
        for (int connection = 0; (connection = ::accept(m_listener, nullptr, nullptr)) >= 0; ::close(connection)) {
            char buffer[4096];
            std::string request;
            while (request.find("\r\n\r\n") == std::string::npos) {
                const auto received = recv(connection, buffer, sizeof buffer, 0);
                if (received <= 0)
                    break;
                request.append(buffer, static_cast<std::size_t>(received));
            }
            send(connection, m_answer.data(), m_answer.size(), MSG_NOSIGNAL);
            if (!m_isReset)
                continue;
            // The peer has filled the buffers of both sides by then.
            std::this_thread::sleep_for(Milliseconds(20));
            const linger reset { 1, 0 };
            setsockopt(connection, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        }
    }

    std::string m_answer;
    bool m_isReset;
    int m_listener;
    std::uint16_t m_port = 0;
    std::thread m_thread;
};

}

/// Answers that are none, as the HTTP client of the project's own interface reads them.
TEST_GROUP(MalformedResponse) {
    void setup() override { std::signal(SIGPIPE, SIG_IGN);
} // as in the programs
void teardown() override { std::signal(SIGPIPE, SIG_DFL); }

static Outcome<HttpClientResponse> fetch(const std::string& answer, const std::string& method, const std::string& body, bool isReset)
{
    OneAnswerServer server(answer, isReset);
    HttpClient client;
    HttpClientRequest request;
    request.method = method;
    request.url = server.url();
    request.body = std::make_shared<const std::string>(body);
    request.deadline = monotonicNow() + Milliseconds(8000); // only ends a failing test
    return client.send(std::move(request));
}

static void checkNoAnswer(const std::string& answer)
{
    const auto received = fetch(answer, "GET", "", false);
    CHECK_TEXT(!received.has_value(), answer.c_str());
    CHECK_TEXT(received.error().code == ErrorCode::UnknownResult, answer.c_str());
}
}
;

TEST(MalformedResponse, AnAnswerWithoutLengthThatIsResetDuringTheUploadIsNotComplete)
{
    const std::string longBody(std::size_t(16) << 20, 'u');
    for (const char* method : { "PUT", "POST" }) {
        for (int round = 0; round < 10; ++round)
            CHECK_FALSE(fetch("HTTP/1.1 200 OK\r\n\r\nonly a part", method, longBody, true).has_value());
    }
}

TEST(MalformedResponse, AStatusOutOfRangeIsNoAnswer)
{
    for (const auto& status : malformedStatuses)
        checkNoAnswer("HTTP/1.1 " + status + " Odd\r\nContent-Length: 2\r\n\r\nno");
}

TEST(MalformedResponse, AFieldWhoseNameIsNoTokenIsNoAnswer)
{
    for (const auto& name : malformedNames)
        checkNoAnswer("HTTP/1.1 200 OK\r\n" + name + ": value\r\nContent-Length: 2\r\n\r\nno");
}

TEST(MalformedResponse, ATrailerWhoseNameIsNoTokenMakesAnAnswerIncomplete)
{
    for (const auto& name : malformedNames)
        checkNoAnswer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n" + name + ": value\r\n\r\n");
}

TEST(MalformedResponse, AnInterimAnswerThatIsMalformedIsNoAnswer)
{
    for (const auto& name : malformedNames)
        checkNoAnswer("HTTP/1.1 103 Early Hints\r\n" + name + ": value\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno");
    checkNoAnswer("HTTP/1.1 099 Odd\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno");
}

TEST(MalformedResponse, ALineWithoutAColonIsNoAnswer)
{
    checkNoAnswer("HTTP/1.1 200 OK\r\nno field\r\nContent-Length: 2\r\n\r\nno");
}

// An interim answer and trailers have fields of their own.
TEST(MalformedResponse, FieldsOfTheHeadAreNotReplaced)
{
    const auto answer = fetch("HTTP/1.1 103 Early Hints\r\nX-Interim: a\r\n\r\nHTTP/1.1 200 OK\r\nX-Run: ran\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Run: not-run\r\n\r\n", "GET", "", false);
    CHECK(answer.has_value());
    STRCMP_EQUAL("ran", answer.value().headers.at("x-run").c_str());
    LONGS_EQUAL(0, answer.value().headers.count("x-interim"));
}

// Guards against a check that rejects answers which are well-formed.
TEST(MalformedResponse, AWellFormedAnswerIsReceived)
{
    const auto answer = fetch("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 599 Odd\r\nX!#$%&'*+-.^_`|~1: value\r\nEmpty:\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Trailer: a\r\n\r\n", "GET", "", false);
    CHECK(answer.has_value());
    LONGS_EQUAL(599, answer.value().status);
    STRCMP_EQUAL("ok", answer.value().body.c_str());
    STRCMP_EQUAL("value", answer.value().headers.at("x!#$%&'*+-.^_`|~1").c_str());
}
