#include "TestSupport.h"

#include <algorithm>
#include <arpa/inet.h>
#include <condition_variable>
#include <future>
#include <hyssopwick_fakes.h>
#include <hyssopwick_membership.h>
#include <hyssopwick_node.h>
#include <hyssopwick_operator.h>
#include <hyssopwick_requests.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace hyssopwick;

namespace {

// Below the ephemeral range, so that the system does not assign it to other sockets.
constexpr const char* nodePort = ":21741";
// Two of them are more than the buffers of a connection hold; an upstream's answer may have no more than one.
constexpr std::size_t largeBodyBytes = 4'000'000;
constexpr Milliseconds startTimeout { 10'000 };
constexpr Milliseconds answerTimeout { 20'000 };

ProcessSettings settingsOf(const VmIdentity& vm, const std::string& keyValueAddress)
{
    ProcessSettings settings;
    settings.vm = vm;
    settings.listen = vm.address;
    settings.keyValueAddress = settings.vmListAddress = keyValueAddress;
    settings.peerKeyId = "k";
    settings.peerKey = "test-peer-key-0001";
    settings.keyValueCallsPerSecond = 40;
    settings.workerThreads = 3;
    return settings;
}

/// Upstream VM of the service "permit" that answers its calls when the test says so.
class HeldUpstream {
public:
    explicit HeldUpstream(const std::string& keyValueAddress)
        : m_context(
            settingsOf({ "permit-1", loopbackIp(213) + nodePort, "region-0", "region-0-0", "permit" }, keyValueAddress), [](const std::string&) {}, 1)
        , m_server({ m_context.settings.listen }, [this](HttpRequest request, HttpResponderPointer responder) { receive(request, std::move(responder)); })
    {
        CHECK(m_server.start().has_value());
    }

    ~HeldUpstream()
    {
        m_server.stop();
        m_context.stop();
    }

    /// Reports this VM to an entry VM, which may send calls to it for some seconds.
    void reportTo(const std::string& entryAddress)
    {
        const MemberUpdate member { m_context.settings.vm, 1, MemberState::Alive };
        const nlohmann::json report { { "member", memberUpdateToJson(member) }, { "ready", true }, { "capacity", 8 } };
        HttpClient client; // new, as an entry VM that has restarted does not know kept connections
        RpcPeer rpc(client, m_context.authenticator);
        CHECK(rpc.callAndWait(entryAddress, "report", report, monotonicNow() + startTimeout).has_value());
    }

    std::size_t callCount()
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        return m_calls.size();
    }

    void awaitCall(std::size_t index)
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        CHECK(m_wake.wait_for(lock, answerTimeout, [&] { return m_calls.size() > index; }));
    }

    /// Waits for call \p index and answers it.
    void answer(std::size_t index, const std::string& body)
    {
        awaitCall(index);
        std::lock_guard<std::mutex> lock(m_mutex);
        m_calls[index].second->send(200, body, { { "x-hyssopwick-attempt", m_calls[index].first } });
    }

private:
    void receive(const HttpRequest& request, HttpResponderPointer responder)
    {
        if (request.path.rfind("/door/", 0) != 0)
            return;
        std::lock_guard<std::mutex> lock(m_mutex);
        m_calls.emplace_back(request.header("x-hyssopwick-attempt"), std::move(responder));
        m_wake.notify_all();
    }

    NodeContext m_context;
    std::mutex m_mutex; // guards m_calls
    std::condition_variable m_wake;
    std::vector<std::pair<std::string, HttpResponderPointer>> m_calls; // by attempt
    HttpServer m_server;
};

/// Caller that sends a request and reads the answer only when the test says so.
class SlowCaller {
public:
    explicit SlowCaller(const std::string& address)
        : m_socket(socket(AF_INET, SOCK_STREAM, 0))
        , m_address(address)
    {
        constexpr int receiveBufferBytes = 4096;
        setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof receiveBufferBytes);
        const timeval timeout { 5, 0 };
        setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
        const auto colon = address.find(':');
        sockaddr_in target {};
        target.sin_family = AF_INET;
        target.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
        inet_pton(AF_INET, address.substr(0, colon).c_str(), &target.sin_addr);
        LONGS_EQUAL(0, connect(m_socket, reinterpret_cast<const sockaddr*>(&target), sizeof target));
    }

    ~SlowCaller() { close(m_socket); }

    void send(const HttpClientRequest& request)
    {
        auto text = request.method + " " + request.url.substr(request.url.find('/', request.url.find("//") + 2)) + " HTTP/1.1\r\nHost: " + m_address + "\r\n";
        for (const auto& [name, value] : request.headers)
            text += name + ": " + value + "\r\n";
        text += "Content-Length: " + std::to_string(request.body->size()) + "\r\n\r\n" + *request.body;
        LONGS_EQUAL(text.size(), ::send(m_socket, text.data(), text.size(), MSG_NOSIGNAL));
    }

    /// Reads until bodies of \p bytes have arrived or none arrives for some seconds, and returns the
    /// number of bytes of bodies, which consist of 'x'.
    std::size_t read(std::size_t bytes)
    {
        std::size_t bodyBytes = 0;
        std::vector<char> buffer(65536);
        while (bodyBytes < bytes) {
            const auto received = recv(m_socket, buffer.data(), buffer.size(), 0);
            if (received <= 0)
                break;
            bodyBytes += static_cast<std::size_t>(std::count(buffer.begin(), buffer.begin() + received, 'x'));
        }
        return bodyBytes;
    }

private:
    int m_socket;
    std::string m_address;
};

nlohmann::json errorOf(const Outcome<HttpClientResponse>& answer)
{
    CHECK(answer.has_value());
    return nlohmann::json::parse(answer.value().body, nullptr, false).value("error", nlohmann::json::object());
}

}

TEST_GROUP(StopTimes) {};

TEST(StopTimes, AcceptsOnlyRequestsThatEndBeforeItAborts)
{
    const PlannedStop stop { at(4500), at(115'000) };
    CHECK(stop.accepts(at(114'999), at(0)));
    CHECK_FALSE(stop.accepts(at(115'000), at(0)));
    CHECK(stop.accepts(at(114'999), at(4499)));
    CHECK_FALSE(stop.accepts(at(5000), at(4500)));
}

TEST(StopTimes, LeavesTimeForFinalAnswersAfterTheLastDeadline)
{
    CHECK(planStop(at(0), Milliseconds(4500), at(120'000)) == (PlannedStop { at(4500), at(115'000) }));
    CHECK(planStop(at(0), Milliseconds(4500), at(6000)) == (PlannedStop { at(1000), at(1000) }));
}

TEST_GROUP(EntryStop)
{
    const std::string entryAddress = loopbackIp(211) + nodePort;
    FakeKeyValue keyValue { loopbackIp(212) + nodePort };
    std::atomic<bool> isReceptionHeld { false }; // requests are held, when they have been read, until the entry VM has announced its departure
    std::unique_ptr<HeldUpstream> upstream;
    std::unique_ptr<EntryNode> entry;
    HttpClient client;
    std::thread stopping;

    void setup() override
    {
        CHECK(keyValue.start().has_value());
        KeyValueClient store(client, keyValue.address(), "operator");
        const Bundle bundle({ AccountRecord { "caller", Digest::of("secret"), 1, 5, 0 }, ServiceRecord { "permit", "permit", false, false, { "status" }, { "book" } } });
        CHECK(Applier(store, "test", "1").apply(bundle, std::nullopt).verdict == ApplyVerdict::Accepted);
        upstream = std::make_unique<HeldUpstream>(keyValue.address());
        startEntry();
    }

    void teardown() override
    {
        if (stopping.joinable())
            stopping.join();
        entry.reset();
        upstream.reset();
        client.stop();
        keyValue.stop();
    }

    void startEntry()
    {
        const VmIdentity vm { "entry-1", entryAddress, "region-0", "region-0-0", "entry" };
        entry = std::make_unique<EntryNode>(settingsOf(vm, keyValue.address()), [this](const std::string& line) { holdReception(line); });
        CHECK(entry->start().has_value());
        for (const auto until = monotonicNow() + startTimeout; entry->revision() == 0 && monotonicNow() < until;)
            std::this_thread::sleep_for(Milliseconds(5));
        LONGS_EQUAL(1, entry->revision());
        upstream->reportTo(entryAddress);
    }

    void holdReception(const std::string& line)
    {
        if (!isReceptionHeld || line.find("event=request.received") == std::string::npos)
            return;
        for (const auto until = monotonicNow() + answerTimeout; entry->considersAlive("entry-1") && monotonicNow() < until;)
            std::this_thread::sleep_for(Milliseconds(5));
    }

    void stopWithin(Milliseconds time)
    {
        stopping = std::thread([this, deadline = monotonicNow() + time] { entry->drainAndStop(deadline); });
        std::this_thread::sleep_for(Milliseconds(200));
    }

    HttpClientRequest makeRequest(Milliseconds timeout, const std::string& method = "status", const std::string& key = "")
    {
        HttpClientRequest request;
        request.method = "POST";
        request.url = "http://" + entryAddress + "/v1/services/permit/" + method;
        request.body = std::make_shared<const std::string>("{}");
        request.deadline = monotonicNow() + answerTimeout;
        request.freshConnection = true;
        request.headers = { { "X-Account", "caller" }, { "Authorization", "Bearer secret" }, { "X-Deadline", std::to_string(unixNow() + timeout.count()) } };
        if (!key.empty()) {
            request.headers.emplace_back("Idempotency-Key", key);
            request.headers.emplace_back("X-Issued-At", key);
        }
        return request;
    }

    std::future<Outcome<HttpClientResponse>> send(Milliseconds timeout, const std::string& method = "status", const std::string& key = "")
    {
        const auto promise = std::make_shared<std::promise<Outcome<HttpClientResponse>>>();
        client.start(makeRequest(timeout, method, key), [promise](Outcome<HttpClientResponse> answer) { promise->set_value(std::move(answer)); });
        return promise->get_future();
    }
};

// Guards against a request that a stopping entry VM passes on and cuts at the end of its stop.
TEST(EntryStop, ARequestWhoseDeadlineIsAfterTheStopIsRefusedAsNotRun)
{
    stopWithin(Milliseconds(7000));
    const auto error = errorOf(send(Milliseconds(30'000)).get());
    STRCMP_EQUAL("entry-leaving", error.value("reason", "").c_str());
    STRCMP_EQUAL("not-run", error.value("run", "").c_str());
    LONGS_EQUAL(0, upstream->callCount());
}

// Guards against callers with kept addresses that are refused although there is time for their requests.
TEST(EntryStop, ARequestWhoseDeadlineIsBeforeTheEndOfTheStopIsServed)
{
    stopWithin(Milliseconds(7000));
    auto answer = send(Milliseconds(1500));
    upstream->answer(0, "{\"done\":true}");
    const auto answered = answer.get();
    CHECK(answered.has_value());
    LONGS_EQUAL(200, answered.value().status);
    STRCMP_EQUAL("{\"done\":true}", answered.value().body.c_str());
}

// Guards against a request that is accepted between the last look at the requests in progress and the end.
TEST(EntryStop, ARequestThatIsReadWhileAcceptanceEndsIsNotCut)
{
    isReceptionHeld = true;
    stopWithin(Milliseconds(60'000));
    const auto error = errorOf(send(Milliseconds(15'000)).get());
    STRCMP_EQUAL("entry-leaving", error.value("reason", "").c_str());
    LONGS_EQUAL(0, upstream->callCount());
}

// Guards against an answer that is cut at the end of a stop because its caller reads it slowly.
TEST(EntryStop, AnAnswerThatItsCallerReadsSlowlyIsNotCut)
{
    SlowCaller caller(entryAddress);
    for (std::size_t i = 0; i < 2; ++i) {
        caller.send(makeRequest(Milliseconds(10'000)));
        upstream->answer(i, std::string(largeBodyBytes, 'x'));
    }
    stopWithin(Milliseconds(30'000));
    std::this_thread::sleep_for(Milliseconds(5500));
    CHECK(caller.read(2 * largeBodyBytes) >= 2 * largeBodyBytes);
}

// Guards against an outcome that is lost at the end of a stop, so that a repeat of the call does not get it.
TEST(EntryStop, TheOutcomeOfACallThatMayRunOnlyOnceIsStoredBeforeTheEnd)
{
    const auto issuedAt = std::to_string(unixNow());
    auto answer = send(Milliseconds(15'000), "book", issuedAt);
    stopWithin(Milliseconds(30'000));
    std::this_thread::sleep_for(Milliseconds(4700));
    keyValue.setFault("outage", 1);
    upstream->answer(0, "{\"number\":1}");
    LONGS_EQUAL(200, answer.get().value().status);
    std::this_thread::sleep_for(Milliseconds(700));
    keyValue.setFault("outage", 0);
    stopping.join();
    startEntry();
    const auto repeated = send(Milliseconds(5000), "book", issuedAt).get();
    CHECK(repeated.has_value());
    LONGS_EQUAL(200, repeated.value().status);
    STRCMP_EQUAL("{\"number\":1}", repeated.value().body.c_str());
    LONGS_EQUAL(1, upstream->callCount());
}

// Guards against a caller that sees its connection close when a stop aborts what is left.
TEST(EntryStop, ARequestThatTheStopAbortsGetsAFinalAnswer)
{
    auto answer = send(Milliseconds(60'000));
    upstream->awaitCall(0);
    stopWithin(Milliseconds(6000));
    const auto error = errorOf(answer.get());
    STRCMP_EQUAL("entry-leaving", error.value("reason", "").c_str());
    STRCMP_EQUAL("unknown", error.value("run", "").c_str());
}
