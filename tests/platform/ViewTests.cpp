#include "../TestSupport.h"
#include "FleetSupport.h"
#include "ViewSupport.h"

#include <http/Compression.h>
#include <hyssopwick_gateway.h>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>

using namespace hyssopwick;

namespace {

// Returns a store's answer to a read, with one record at revision 7.
std::string readAnswer(const std::string& key, const std::string& value)
{
    const nlohmann::json item { { "key", key }, { "value", base64(value) }, { "revision", 7 } };
    return httpAnswer(nlohmann::json { { "at", 7 }, { "hasMore", false }, { "items", nlohmann::json::array({ item }) } }.dump());
}

// Returns a store's answer to a watch, with one change at revision 8.
std::string watchAnswer(const std::string& key, const std::string& value)
{
    const nlohmann::json event { { "key", key }, { "value", base64(value) }, { "revision", 8 } };
    return httpAnswer(nlohmann::json { { "at", 8 }, { "events", nlohmann::json::array({ event }) } }.dump());
}

// Returns a configuration as operators write it, with random names that compress badly.
std::string configurationText(int routes)
{
    RandomSource random(17);
    const auto name = [&random](int length) {
        std::string text;
        for (int i = 0; i < length; ++i)
            text += static_cast<char>('a' + random.below(26));
        return text + std::to_string(random.below(1000));
    };
    std::vector<std::string> hosts;
    std::vector<std::string> services;
    for (int i = 0; i < 12; ++i) {
        hosts.push_back(name(5) + ".example");
        services.push_back(name(6));
    }
    nlohmann::json configuration { { "version", 2 }, { "routes", nlohmann::json::array() }, { "services", nlohmann::json::array() } };
    for (int i = 0; i < routes; ++i) {
        configuration["routes"].push_back({ { "name", "r-" + name(5) }, { "host", hosts[random.below(hosts.size())] }, { "prefix", "/" + name(4) + "/" + name(2) + "/" }, { "kind", random.below(3) == 0 ? "unsafe" : "safe" },
            { "timeoutMs", 500 * (1 + random.below(12)) }, { "goalMs", 50 * (1 + random.below(20)) }, { "priority", random.below(4) }, { "attempts", 1 + random.below(3) }, { "service", services[random.below(services.size())] } });
    }
    return configuration.dump();
}

/// An answer sent in equal pieces.
struct PacedAnswer {
    std::string bytes;
    std::size_t pieces;
    Milliseconds delay { 0 }; // of the first piece
    std::size_t silentAfter = std::numeric_limits<std::size_t>::max(); // pieces; then it stays connected and sends nothing
};

/// Server that sends its answers in pieces at a fixed interval, one answer a request; the
/// last one is repeated.
class PacedSource {
public:
    PacedSource(EventLoop& loop, std::vector<PacedAnswer> answers, Milliseconds interval)
        : m_loop(loop)
        , m_answers(std::move(answers))
        , m_interval(interval)
        , m_acceptor(loop, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
        accept();
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()); }

    std::size_t requests() const { return m_requests; }

    // Returns when the first piece of the latest answer was sent.
    TimePoint firstPieceSentAt() const { return m_firstPieceSentAt; }

private:
    struct Connection {
        Connection(TcpSocket accepted, EventLoop& loop)
            : socket(std::move(accepted))
            , timer(loop)
        {
        }
        TcpSocket socket;
        LoopTimer timer;
        std::string request;
        PacedAnswer answer;
        std::size_t sent = 0;
        std::size_t pieces = 0;
    };
    using ConnectionPointer = std::shared_ptr<Connection>;

    void accept()
    {
        m_acceptor.async_accept([this](boost::system::error_code error, TcpSocket socket) {
            if (error)
                return;
            const auto connection = std::make_shared<Connection>(std::move(socket), m_loop);
            asio::async_read_until(connection->socket, asio::dynamic_buffer(connection->request), "\r\n\r\n", [this, connection](boost::system::error_code problem, std::size_t) {
                if (problem)
                    return;
                connection->answer = m_answers[std::min(m_requests++, m_answers.size() - 1)];
                sendAfter(connection->answer.delay, connection);
            });
            accept();
        });
    }

    void sendAfter(Milliseconds delay, const ConnectionPointer& connection)
    {
        connection->timer.expires_after(delay);
        connection->timer.async_wait([this, connection](boost::system::error_code) { sendPiece(connection); });
    }

    void sendPiece(const ConnectionPointer& connection)
    {
        const auto& answer = connection->answer;
        if (connection->pieces == 0)
            m_firstPieceSentAt = monotonicNow();
        if (connection->pieces++ == answer.silentAfter)
            return waitForDisconnect(connection);
        const auto piece = answer.bytes.substr(connection->sent, answer.bytes.size() / answer.pieces + 1);
        boost::system::error_code error;
        asio::write(connection->socket, asio::buffer(piece), error);
        connection->sent += piece.size();
        if (!error && connection->sent < answer.bytes.size())
            sendAfter(m_interval, connection);
    }

    // Stays connected until the peer disconnects.
    void waitForDisconnect(const ConnectionPointer& connection)
    {
        connection->socket.async_wait(TcpSocket::wait_read, [connection](boost::system::error_code) {});
    }

    EventLoop& m_loop;
    std::vector<PacedAnswer> m_answers;
    Milliseconds m_interval;
    asio::ip::tcp::acceptor m_acceptor;
    std::size_t m_requests = 0;
    TimePoint m_firstPieceSentAt;
};

}

TEST_GROUP(View)
{
    EventLoop loop { 1 };
    ScriptedUpstream store { loop };
    ScriptedUpstream unusedStore { loop };
    ViewProcess source { loop, "source", store.address(), true };

    // Starts the source and runs it until it has read one record from the store.
    void readStore(const std::string& key, const std::string& value)
    {
        store.answer(readAnswer(key, value));
        source.replicator.start({});
        while (source.replicator.revision() == 0)
            loop.run_one();
    }

    std::string snapshotAnswer()
    {
        const auto exchange = source.requestView(0);
        LONGS_EQUAL(200, exchange->status);
        std::string head = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(exchange->body.size()) + "\r\n";
        for (const auto& [name, value] : exchange->fields)
            head.append(name).append(": ").append(value).append("\r\n");
        return head + "\r\n" + exchange->body;
    }
};

// Regression: an answer that took longer to arrive than the timeout of the wait for a
// change was dropped and requested again, by all followers at once.
TEST(View, AFollowerAcceptsAnAnswerThatTakesLongerThanItsWait)
{
    readStore("op/config", configurationText(1370));
    PacedSource paced(loop, { { snapshotAnswer(), 20 } }, Milliseconds(100)); // 2 s, the wait is 0.8 s
    ViewProcess follower(loop, "follower", unusedStore.address(), false);
    follower.replicator.setEntries({ { "source", paced.address(), "north", "north-a", "entry" } });
    follower.replicator.start({});
    while (follower.replicator.revision() == 0 && paced.requests() < 2 && unusedStore.requests().empty())
        loop.run_one();
    LONGS_EQUAL(7, follower.replicator.revision());
    LONGS_EQUAL(1, paced.requests());
    LONGS_EQUAL(0, unusedStore.requests().size());
}

// Guards against a source behind a narrow link, whose followers all wait for its answer to the end.
TEST(View, AFollowerOfASlowSourceGetsALargeConfigurationFromAnotherInTime)
{
    readStore("op/config", configurationText(1370));
    PacedSource slow(loop, { { snapshotAnswer(), 40 } }, Milliseconds(100)); // 4 s
    ScriptedUpstream other(loop);
    other.answer(snapshotAnswer());
    ViewProcess follower(loop, "follower", unusedStore.address(), false);
    follower.replicator.setEntries({ { "source", slow.address(), "north", "north-a", "entry" }, { "other", other.address(), "south", "south-a", "entry" } });
    const auto begin = monotonicNow();
    follower.replicator.start({});
    while (follower.replicator.revision() == 0)
        loop.run_one();
    CHECK(monotonicNow() < begin + follower.context.description.configurationBound);
    LONGS_EQUAL(1, slow.requests());
    LONGS_EQUAL(0, unusedStore.requests().size());
}

// Guards against sources behind full links, which are asked one after the other although each takes its whole wait.
TEST(View, AFollowerOfSilentSourcesGetsAConfigurationFromAnotherInTime)
{
    readStore("op/config", configurationText(1370));
    ScriptedUpstream silent(loop);
    ScriptedUpstream other(loop);
    for (int answer = 0; answer < 4; ++answer)
        other.answer(snapshotAnswer());
    const std::vector<std::string> south { "s1", "s2", "s3" };
    const auto first = rendezvousFirst("store-followers/south", south);
    std::vector<VmIdentity> entries { { "n1", silent.address(), "north", "north-a", "entry" }, { "n2", silent.address(), "north", "north-a", "entry" } };
    for (const auto& id : south)
        entries.push_back({ id, id == first ? silent.address() : other.address(), "south", "south-a", "entry" });
    ViewProcess follower(loop, "follower", unusedStore.address(), false);
    follower.replicator.setEntries(entries);
    const auto begin = monotonicNow();
    follower.replicator.start({});
    while (follower.replicator.revision() == 0)
        loop.run_one();
    CHECK(monotonicNow() < begin + follower.context.description.configurationBound);
    LONGS_EQUAL(0, unusedStore.requests().size());
}

// A second source that is no better must not end the transfer from the first.
TEST(View, ASlowAnswerGoesOnWhileAnotherSourceFails)
{
    readStore("op/config", configurationText(1370));
    PacedSource slow(loop, { { snapshotAnswer(), 20 } }, Milliseconds(100)); // 2 s
    ScriptedUpstream other(loop);
    other.answer("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    other.answer("", true);
    ViewProcess follower(loop, "follower", unusedStore.address(), false);
    follower.replicator.setEntries({ { "source", slow.address(), "north", "north-a", "entry" }, { "other", other.address(), "south", "south-a", "entry" } });
    follower.replicator.start({});
    while (follower.replicator.revision() == 0)
        loop.run_one();
    CHECK(other.requests().size() >= 2);
    LONGS_EQUAL(1, slow.requests());
    LONGS_EQUAL(0, unusedStore.requests().size());
}

// Guards against a second answer that is dropped, and begun anew, because the first one ends early.
TEST(View, ASourceThatFailsDoesNotEndTheRequestBesideIt)
{
    readStore("op/config", configurationText(1370));
    const auto answer = snapshotAnswer();
    PacedSource failing(loop, { { answer.substr(0, answer.size() / 2), 15 } }, Milliseconds(100)); // ends after 1.5 s
    PacedSource other(loop, { { answer, 15 } }, Milliseconds(100)); // asked after 1 s
    ViewProcess follower(loop, "follower", unusedStore.address(), false);
    follower.replicator.setEntries({ { "source", failing.address(), "north", "north-a", "entry" }, { "other", other.address(), "south", "south-a", "entry" } });
    follower.replicator.start({});
    while (follower.replicator.revision() == 0)
        loop.run_one();
    LONGS_EQUAL(1, other.requests());
    LONGS_EQUAL(1, failing.requests());
}

// Guards against a slow second answer that is waited for to its end, with no other request beside it.
TEST(View, ASlowAnswerInPlaceOfAFailedSourceIsNotWaitedForToItsEnd)
{
    readStore("op/config", configurationText(1370));
    const auto answer = snapshotAnswer();
    PacedSource failing(loop, { { answer.substr(0, answer.size() / 2), 15 } }, Milliseconds(100)); // ends after 1.5 s
    PacedSource slow(loop, { { answer, 60 }, { answer, 1 } }, Milliseconds(100)); // 6 s, asked after 1 s
    ViewProcess follower(loop, "follower", unusedStore.address(), false);
    follower.replicator.setEntries({ { "source", failing.address(), "north", "north-a", "entry" }, { "other", slow.address(), "south", "south-a", "entry" } });
    const auto begin = monotonicNow();
    follower.replicator.start({});
    while (follower.replicator.revision() == 0)
        loop.run_one();
    CHECK(monotonicNow() < begin + Milliseconds(4000));
}

// Guards against followers that leave a process which has lost its source and is current by another peer.
TEST(View, AProcessThatIsCurrentByAnotherPeerIsNotOutOfDateForItsFollowers)
{
    readStore("op/config", configurationText(10));
    ScriptedUpstream silent(loop);
    ScriptedUpstream other(loop);
    for (int answer = 0; answer < 4; ++answer)
        other.answer(snapshotAnswer());
    const std::vector<std::string> south { "s1", "s2", "s3" };
    const auto first = rendezvousFirst("store-followers/south", south);
    const std::string refusing = "127.0.0.1:1";
    std::vector<VmIdentity> entries { { "n1", refusing, "north", "north-a", "entry" }, { "n2", refusing, "north", "north-a", "entry" } };
    for (const auto& id : south)
        entries.push_back({ id, id == first ? silent.address() : other.address(), "south", "south-a", "entry" });
    ViewProcess follower(loop, "follower", unusedStore.address(), false);
    follower.replicator.setEntries(entries);
    follower.replicator.start({});
    while (follower.replicator.revision() == 0)
        loop.run_one();
    const auto exchange = follower.requestView(0);
    CHECK(decodeView(exchange->fields, exchange->body).value().times.age < Milliseconds(900));
}

// Regression: one large configuration saturated the links of a region's entry VMs.
TEST(View, ALargeConfigurationIsSentInAFifthOfItsSize)
{
    const std::string key = "op/config";
    const auto value = configurationText(1370);
    readStore(key, value);
    CHECK(snapshotAnswer().size() * 5 < key.size() + value.size());
}

TEST(View, AFollowerReplacesASourceThatStallsDuringItsAnswer)
{
    readStore("op/config", configurationText(1370));
    PacedSource silent(loop, { { snapshotAnswer(), 20, Milliseconds(0), 5 } }, Milliseconds(10));
    ViewProcess follower(loop, "follower", unusedStore.address(), false);
    follower.replicator.setEntries({ { "source", silent.address(), "north", "north-a", "entry" } });
    follower.replicator.start({});
    while (unusedStore.requests().empty())
        loop.run_one();
    LONGS_EQUAL(0, follower.replicator.revision());
    LONGS_EQUAL(1, silent.requests());
}

TEST(View, AnUpdateSurvivesEncodingAndDecoding)
{
    for (const int routes : { 0, 1370 }) {
        const ViewUpdate update { 9, routes == 0, { { "key", configurationText(routes), 8, false }, { "gone", "", 9, true } } };
        const auto encoded = encodeView(update);
        CHECK_EQUAL(routes != 0, encoded.isCompressed);
        const VersionAges ages { { { "m", 2 }, Milliseconds(0) }, { { "model \"\u00fc\", 2:1", 3 }, Milliseconds(4100) } };
        const auto decoded = decodeView(encoded.fields({ Milliseconds(25) }, ages), encoded.body);
        CHECK(decoded.has_value());
        CHECK(decoded.value().update == update);
        LONGS_EQUAL(25, decoded.value().times.age.count());
        CHECK(decoded.value().versionAges == ages);
    }
}

// A short answer may decompress to more than the process may hold.
TEST(View, AnAnswerThatDecompressesToMoreThanTheLimitIsMalformed)
{
    const auto encoded = encodeView({ 9, true, { { "key", std::string(1 << 20, 'z'), 8, false } } });
    CHECK(encoded.isCompressed);
    CHECK(encoded.body.size() < 10'000);
    CHECK(decodeView(encoded.fields({}), encoded.body, std::size_t(2) << 20).has_value());
    CHECK_FALSE(decodeView(encoded.fields({}), encoded.body, std::size_t(1) << 20).has_value());
}

// Processes of another build may answer in an earlier format.
TEST(View, AnswersInAnotherFormatAreMalformed)
{
    const auto encoded = encodeView({ 9, true, { { "key", configurationText(1370), 8, false } } });
    const auto fields = encoded.fields({});
    std::string earlierFormat; // has the age in the body
    nlohmann::json::to_cbor(nlohmann::json::array({ 9, true, 25, nlohmann::json::array() }), earlierFormat);
    std::string withoutRecords;
    nlohmann::json::to_cbor(nlohmann::json::array({ 9, true, nullptr }), withoutRecords);
    CHECK_FALSE(decodeView({ { "View-Age-Ms", "0" } }, withoutRecords).has_value());
    CHECK_FALSE(decodeView({}, earlierFormat).has_value());
    CHECK_FALSE(decodeView({ { "View-Age-Ms", "0" } }, earlierFormat).has_value());
    CHECK_FALSE(decodeView({ { "View-Age-Ms", "0" } }, "").has_value());
    CHECK_FALSE(decodeView({ { "View-Age-Ms", "0" } }, encoded.body).has_value()); // Content-Encoding is missing
    CHECK_FALSE(decodeView({ { "View-Age-Ms", "-1" }, { "Content-Encoding", "deflate" } }, encoded.body).has_value());
    CHECK_FALSE(decodeView({ { "View-Age-Ms", "9999999999999999999999" }, { "Content-Encoding", "deflate" } }, encoded.body).has_value());
    CHECK_FALSE(decodeView({ { "View-Age-Ms", "0" }, { "Content-Encoding", "br" } }, encoded.body).has_value());
    for (const auto* ages : { "7", "7:1", "[7]", "[[]]", R"([["m"]])", R"([["m",2]])", R"([["m",2,-1]])", R"([["m",-2,1]])", R"([["m","x",1]])", R"([[1,2,3]])", R"([["m",2,1)", R"([["m",2,9999999999999999999]])" })
        CHECK_FALSE(decodeView({ { "View-Age-Ms", "0" }, { "Content-Encoding", "deflate" }, { "View-Versions", ages } }, encoded.body).has_value());
    CHECK(decodeView({ { "View-Age-Ms", "0" }, { "Content-Encoding", "deflate" }, { "View-Versions", R"([["m",2,1]])" } }, encoded.body).has_value());
    CHECK_FALSE(decodeView(fields, encoded.body.substr(0, encoded.body.size() / 2)).has_value());
    CHECK_FALSE(decodeView(fields, encoded.body + "more").has_value());
    CHECK_FALSE(decodeView(fields, "no deflated bytes").has_value());
    CHECK_FALSE(decodeView(fields, "").has_value());
    CHECK(decodeView(fields, encoded.body).has_value());
}

TEST(View, DecompressedBytesAreBounded)
{
    const std::string zeros(100000, '\0');
    const auto small = compress(zeros);
    CHECK(small.has_value());
    CHECK(small.value().size() < 1000);
    CHECK(decompress(small.value(), zeros.size()).has_value());
    CHECK(decompress(small.value(), zeros.size()).value() == zeros);
    CHECK_FALSE(decompress(small.value(), zeros.size() - 1).has_value());
}

TEST(View, FollowersAtTheSameRevisionShareOneEncoding)
{
    StoreView view;
    EncodedViewCache encoded;
    view.apply({ 10, true, { { "a", "1", 5, false } } });
    view.apply({ 11, false, { { "a", "2", 11, false } } });
    const auto first = encoded.updateSince(view, { 0, 10 });
    CHECK(first == encoded.updateSince(view, { 0, 10 }));
    CHECK_FALSE(first == encoded.updateSince(view, {}));
    view.apply({ 12, false, { { "a", "3", 12, false } } });
    encoded.clear();
    const auto decoded = decodeView(encoded.updateSince(view, { 0, 10 })->fields({}), encoded.updateSince(view, { 0, 10 })->body);
    CHECK(decoded.has_value());
    CHECK(decoded.value().update == view.updateSince({ 0, 10 }));
}

// A change must invalidate the cache of encoded updates.
TEST(View, AChangeIsServedAfterAnEarlierUpdateWasCached)
{
    readStore("op/config", configurationText(1));
    const auto before = source.requestView(0);
    store.answer(watchAnswer("op/version/m", "{}"));
    while (source.replicator.revision() == 7)
        loop.run_one();
    const auto changes = source.requestView(7);
    const auto change = decodeView(changes->fields, changes->body);
    CHECK(change.has_value());
    LONGS_EQUAL(8, change.value().update.revision);
    LONGS_EQUAL(1, change.value().update.records.size());
    const auto snapshot = source.requestView(0);
    CHECK_FALSE(before->body == snapshot->body);
    LONGS_EQUAL(2, decodeView(snapshot->fields, snapshot->body).value().update.records.size());
}

// Regression: as above, for the store: an answer that took longer than the wait was dropped.
TEST(View, AStoreReadThatTakesLongerThanItsWaitIsAccepted)
{
    PacedSource paced(loop, { { readAnswer("op/config", configurationText(1370)), 20 } }, Milliseconds(100)); // 2 s, the wait is 1.5 s
    ViewProcess reader(loop, "reader", paced.address(), true);
    reader.replicator.start({});
    while (reader.replicator.revision() == 0 && paced.requests() < 2)
        loop.run_one();
    LONGS_EQUAL(7, reader.replicator.revision());
    LONGS_EQUAL(1, paced.requests());
}

TEST(View, AStoreWatchThatTakesLongerThanItsWaitIsAccepted)
{
    PacedSource paced(loop, { { readAnswer("a", "1"), 1 }, { watchAnswer("op/config", configurationText(1370)), 20 } }, Milliseconds(100)); // 2 s, the wait is 1.6 s
    ViewProcess reader(loop, "reader", paced.address(), true);
    reader.replicator.start({});
    while (reader.replicator.revision() < 8 && paced.requests() < 3)
        loop.run_one();
    LONGS_EQUAL(8, reader.replicator.revision());
    LONGS_EQUAL(2, paced.requests());
}

// Regression: a source sent a change with the age that its view had before the change, and
// its followers replaced it as a source that lags behind.
TEST(View, ASourceForwardsAChangeWithTheAgeOfItsUpdatedView)
{
    PacedSource paced(loop, { { readAnswer("a", "1"), 1 }, { watchAnswer("a", "2"), 1, Milliseconds(900) } }, Milliseconds(10));
    ViewProcess reader(loop, "reader", paced.address(), true);
    reader.replicator.start({});
    while (reader.replicator.revision() == 0)
        loop.run_one();
    auto waiting = reader.requestView(7);
    while (!waiting->hasEnded || decodeView(waiting->fields, waiting->body).value().update.revision < 8) {
        if (waiting->hasEnded)
            waiting = reader.requestView(7); // the wait timed out without a change
        loop.run_one();
    }
    CHECK(decodeView(waiting->fields, waiting->body).value().times.age <= monotonicNow() - paced.firstPieceSentAt());
}

// Regression: the followers of a source that the store turned away learnt of it from its age only,
// more than a second later.
TEST(View, ASourceThatLosesTheStoreTellsItsFollowersAtOnce)
{
    readStore("a", "1");
    const auto lostAt = monotonicNow();
    const auto waiting = source.requestView(7);
    CHECK_FALSE(waiting->hasEnded);
    store.answer("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    store.answer("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    while (!waiting->hasEnded)
        loop.run_one();
    CHECK(monotonicNow() - lostAt < Milliseconds(450)); // the wait of a follower is 500 ms
    CHECK(decodeView(waiting->fields, waiting->body).value().times.age >= ViewSourceDecision::minStaleAge());
}

// Guards against followers that replace a source which works, while it collects changes.
TEST(View, AProcessThatCollectsChangesIsNeverTooOldForItsFollowers)
{
    FleetStore changingStore(loop);
    changingStore.set("a", base64("0"));
    ViewProcess reader(loop, "reader", changingStore.address(), true);
    auto& description = reader.context.description;
    description.configurationBound = description.drainBound = description.evacuationBound = Milliseconds(3000);
    reader.replicator.start({});
    while (reader.replicator.revision() == 0)
        loop.run_one();
    const ViewSourceDecision follower({ "follower", "127.0.0.1:2", "north", "north-a", "entry" }, true);
    for (const auto* value : { "1", "2", "3" }) {
        changingStore.set("a", base64(value));
        for (const auto until = monotonicNow() + Milliseconds(1300); monotonicNow() < until;) {
            loop.run_one_for(Milliseconds(5));
            CHECK_FALSE(follower.isTooOld(reader.replicator.age()));
        }
    }
}

TEST(View, AStartingProcessAsksASeedBeforeTheStore)
{
    ScriptedUpstream seed(loop);
    auto description = ViewProcess::describe(store.address());
    description.ip = "127.0.0.3";
    description.seedIps = { "127.0.0.1" };
    description.internalPort = static_cast<std::uint16_t>(std::stoul(seed.address().substr(seed.address().find(':') + 1)));
    GatewayContext context { loop, description, platform::platformPorts(), source.log, source.metrics, 1 };
    ViewReplicator starting(context, { "starting", "127.0.0.3:1", "north", "north-a", "agent" }, false);
    starting.start({});
    while (seed.requests().empty() && store.requests().empty())
        loop.run_one();
    LONGS_EQUAL(0, store.requests().size());
}

TEST_GROUP(TransferLimits)
{
    EventLoop loop { 1 };
    const std::string answer = httpAnswer(std::string(100000, 'x'));

    WholeResponse fetch(const std::string& address, const TransferLimits& limits)
    {
        std::optional<WholeResponse> result;
        fetchWhole(loop, address, HttpCall {}, limits, [&result](WholeResponse response) { result = std::move(response); });
        while (!result)
            loop.run_one();
        return *result;
    }
};

TEST(TransferLimits, AnAnswerThatDoesNotStartTimesOut)
{
    PacedSource stalled(loop, { { answer, 10, Milliseconds(0), 0 } }, Milliseconds(10));
    const auto now = monotonicNow();
    const auto endBy = now + Milliseconds(30000);
    CHECK(ExchangeEnd::Timeout == fetch(stalled.address(), { endBy, now + Milliseconds(300), Milliseconds(30000), endBy }).end);
    CHECK(monotonicNow() < endBy);
}

TEST(TransferLimits, AnAnswerThatStallsTimesOut)
{
    PacedSource stalled(loop, { { answer, 10, Milliseconds(0), 3 } }, Milliseconds(10));
    const auto endBy = monotonicNow() + Milliseconds(30000);
    CHECK(ExchangeEnd::Timeout == fetch(stalled.address(), { endBy, monotonicNow() + Milliseconds(100), Milliseconds(300), endBy }).end);
    CHECK(monotonicNow() < endBy);
}

TEST(TransferLimits, ASlowTransferTimesOutAtItsDeadline)
{
    PacedSource slow(loop, { { answer, 1000 } }, Milliseconds(20)); // 20 s
    const auto now = monotonicNow();
    CHECK(ExchangeEnd::Timeout == fetch(slow.address(), { now + Milliseconds(500), now + Milliseconds(500), Milliseconds(60000), now + Milliseconds(500) }).end);
}
