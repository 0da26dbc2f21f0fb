#include "../TestSupport.h"
#include "CallFlowSupport.h"

#include <PlatformAdapter.h>
#include <hyssopwick_gateway.h>

using namespace hyssopwick;

namespace {

const std::string streamWithOneEvent = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Seal: s1\r\nTransfer-Encoding: chunked\r\n\r\n"
                                       "f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n";

}

TEST_GROUP(VersionBound)
{
    EventLoop loop { 1 };
    EventLog log { "test", [](const std::string&) {} };
    MetricsRegistry metrics;
    GatewayContext context { loop, {}, platform::platformPorts(), log, metrics, 1 };
    EntryServices services { context };
    ScriptedUpstream older { loop };
    ScriptedUpstream newer { loop };
    std::shared_ptr<RecordedExchange> exchange;
    std::shared_ptr<CallFlow> flow;

    void setup() override
    {
        context.description.node = "entry";
        context.description.region = "north";
        DeploymentConfiguration configuration;
        configuration.version = 1;
        ServiceDescription service;
        service.name = "models";
        service.engine = EngineSpeed {};
        configuration.services["models"] = service;
        CallRoute route;
        route.name = "route";
        route.host = "a.example";
        route.pathPrefix = "/x/";
        route.kind = CallKind::Stream;
        route.isResumable = true;
        route.maxUpstreams = 2;
        route.latencyObjective = Milliseconds(8000);
        route.answerTimeout = Milliseconds(8000);
        route.targets = { { "models", 1 } };
        configuration.routes = { route };
        services.setConfiguration(configuration);
        services.refresh();
    }

    void addEngine(const std::string& id, const ScriptedUpstream& upstream, std::uint64_t version)
    {
        Upstream engine;
        engine.id = id;
        engine.service = "models";
        engine.address = upstream.address();
        engine.loadedVersions["m"] = version;
        services.setUpstream(engine);
        services.refresh();
    }

    void send()
    {
        ServerRequest request;
        request.method = "POST";
        request.target = "/x/";
        request.host = "a.example";
        request.fields = { { "Request-Id", "r1" }, { "Deadline-Ms", "8000" } };
        request.receivedAt = monotonicNow();
        exchange = std::make_shared<RecordedExchange>(std::move(request));
        flow = std::make_shared<CallFlow>(
            services, exchange, [this](const std::string&) { asio::post(loop, [this] { advance(); }); }, [](CallFlow*) {});
        flow->start();
    }

    void advance()
    {
        for (const auto& decision : services.queue("models").advance(monotonicNow()).sent)
            flow->sendTo(decision);
    }
};

TEST(VersionBound, AWaitingCallIsMovedFromOldWeightsBeforeTheBound)
{
    context.description.versionBound = Milliseconds(2500);
    addEngine("i-1", older, 1);
    services.addVersion({ "m", 2 }, monotonicNow());
    send();
    while (older.requests().empty() && !exchange->hasEnded)
        loop.run_one();
    newer.answer(streamWithOneEvent);
    addEngine("i-2", newer, 2);
    while (!exchange->hasEnded)
        loop.run_one();
    LONGS_EQUAL(200, exchange->status);
    LONGS_EQUAL(1, older.m_disconnects);
    LONGS_EQUAL(1, newer.requests().size());
}

TEST(VersionBound, AWaitingCallIsMovedForAVersionPublishedLater)
{
    context.description.versionBound = Milliseconds(2500);
    addEngine("i-1", older, 1);
    send();
    while (older.requests().empty() && !exchange->hasEnded)
        loop.run_one();
    services.addVersion({ "m", 2 }, monotonicNow());
    flow->armBeginTimer();
    newer.answer(streamWithOneEvent);
    addEngine("i-2", newer, 2);
    while (!exchange->hasEnded)
        loop.run_one();
    LONGS_EQUAL(200, exchange->status);
    LONGS_EQUAL(1, older.m_disconnects);
}

TEST(VersionBound, TheBoundOfAVersionLearntLateStartsAtItsEarliestPublication)
{
    addEngine("i-1", older, 1);
    services.addVersion({ "m", 2 }, monotonicNow() - context.description.versionBound);
    services.refresh();
    LONGS_EQUAL(0, services.enginePool("models")->size());
}

// The caller leaves before a bound counted from the send of its call ends, as on the users'
// sites; the bound counts from the publication of the version.
TEST(VersionBound, AWaitingCallIsMovedWhenAVersionIsLearntLate)
{
    context.description.versionBound = Milliseconds(60000);
    services.onVersion([this] { flow->armBeginTimer(); });
    addEngine("i-1", older, 1);
    send();
    while (older.requests().empty() && !exchange->hasEnded)
        loop.run_one();
    newer.answer(streamWithOneEvent);
    addEngine("i-2", newer, 2);
    services.removeUpstream("i-1", RegistrationEnd::Unreadable);
    services.addVersion({ "m", 2 }, monotonicNow() - context.description.versionBound);
    while (!exchange->hasEnded)
        loop.run_one();
    LONGS_EQUAL(200, exchange->status);
    LONGS_EQUAL(1, older.m_disconnects);
}
