#include "RegionSupport.h"
#include "ViewSupport.h"

#include <SettingsFormat.h>
#include <StoreFormat.h>
#include <agent/WeightsTarget.h>

using namespace hyssopwick;

TEST_GROUP(EvacuationFormat) {};

// The value of the record is free, and may be no JSON or no base64.
TEST(EvacuationFormat, ARecordCountsWhateverItsValue)
{
    const platform::StoreFormat format;
    const auto page = format.decodeRead(R"({"at":3,"items":[{"key":"op/evacuate/north-a","value":"?","revision":1},{"key":"op/evacuate/south-a","value":"e30=","revision":2},{"key":"op/evacuate/west-a","revision":3}]})");
    CHECK(page.has_value());
    LONGS_EQUAL(3, page.value().records.size());
    CHECK(std::get<Evacuation>(format.decodeRecord(page.value().records[0])).failureDomain == "north-a");
    CHECK(std::get<Evacuation>(format.decodeRecord(page.value().records[1])).failureDomain == "south-a");
    CHECK(std::get<Evacuation>(format.decodeRecord(page.value().records[2])).failureDomain == "west-a");
}

// Changes are batched; a batch may take a tenth of the shortest bound.
TEST(EvacuationFormat, ItsBoundLimitsTheBatching)
{
    const std::string settings = "node=\"n\"\nip=\"1\"\nregion=\"r\"\nzone=\"z\"\ninternalPorts=[1,2]\n[platform]\naddress=\"p\"\n[bounds]\nevacMs=500\n";
    LONGS_EQUAL(50, platform::decodeSettings(settings).value().changeBatchPeriod().count());
}

TEST(EvacuationFormat, RequestsForWeightsAreDecoded)
{
    CHECK(decodeWeightsTarget("/weights/manifest/m/2")->version == "2");
    LONGS_EQUAL(17, *decodeWeightsTarget("/weights/chunk/m/2/17")->chunk);
    for (const auto* target : { "/", "/weights/chunk/m/2", "/weights/chunk/m/2/", "/weights/chunk/m/2/x", "/weights/chunk/m/2/123456789", "/weights/other/m/2", "/view" })
        CHECK_FALSE(decodeWeightsTarget(target).has_value());
}

TEST_GROUP_BASE(Evacuation, RegionalUpstreamsGroup) {};

// The store turns this entry away, and it has another entry as its source.
TEST(Evacuation, AnEntryThatHearsOfItFromAPeerOnlySendsNoFurtherCalls)
{
    restrict({});
    ScriptedUpstream peer { loop };
    ScriptedUpstream store { loop };
    const auto update = encodeView({ 7, true, { { "op/evacuate/north-a", "", 7, false } } });
    std::string head = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(update.body.size()) + "\r\n";
    for (const auto& [name, value] : update.fields({}))
        head.append(name).append(": ").append(value).append("\r\n");
    peer.answer(head + "\r\n" + update.body);
    auto settings = ViewProcess::describe(store.address());
    settings.ip = "127.0.0.3";
    settings.seedIps = { "127.0.0.1" };
    settings.internalPort = static_cast<std::uint16_t>(std::stoul(peer.address().substr(peer.address().find(':') + 1)));
    GatewayContext viewContext { loop, settings, platform::platformPorts(), log, metrics, 1 };
    ViewReplicator view(viewContext, { "entry", "127.0.0.3:1", "north", "north-a", "entry" }, true);
    ViewReplicator::Observer observer;
    observer.onEvacuation = [this](const Evacuation& evacuation) { setEvacuated(evacuation.failureDomain); };
    view.start(std::move(observer));
    while (!services.eligibility().isEvacuated("north-a"))
        loop.run_one();
    for (int i = 0; i < 10; ++i) {
        second.answer(okHead + "Content-Length: 2\r\n\r\nok");
        send();
        finish();
        LONGS_EQUAL(200, exchange->status);
    }
    LONGS_EQUAL(0, first.requests().size());
}

// A retry would be sent into the domain.
TEST(Evacuation, ARetryIsNotSentToAnEvacuatedUpstream)
{
    restrict({});
    send();
    while (requestCount() == 0)
        loop.run_one();
    const bool isAtFirst = !first.requests().empty();
    setEvacuated(isAtFirst ? "south-a" : "north-a");
    CHECK_FALSE(exchange->hasEnded); // a running call ends as it is
    flow->handleUpstreamDown((isAtFirst ? first : second).address());
    LONGS_EQUAL(502, exchange->status); // it may have run
    LONGS_EQUAL(1, requestCount());
}

TEST(Evacuation, WithoutAnotherUpstreamCallsAreRefusedAtOnceUntilItEnds)
{
    restrict({});
    setEvacuated("north-a");
    setEvacuated("south-a");
    send();
    checkRefused("no-upstream\n");
    setEvacuated("north-a", false);
    first.answer(okHead + "Content-Length: 2\r\n\r\nok");
    send();
    finish();
    LONGS_EQUAL(200, exchange->status);
}

TEST_GROUP_BASE(EvacuationOfEngines, RegionalEnginesGroup) {};

TEST(EvacuationOfEngines, AQueuedCallThatHasNoOtherEngineIsRefusedAtOnce)
{
    send();
    advance();
    setEvacuated("south");
    checkRefused("no-upstream-in-region\n");
    LONGS_EQUAL(0, services.queue("models").size());
}

// Capacity, rates and Retry-After are those of the queue's engines.
TEST(EvacuationOfEngines, ItsEnginesAreNoCapacity)
{
    setEvacuated("north");
    LONGS_EQUAL(0, services.enginePool("models")->size());
    setEvacuated("north", false);
    LONGS_EQUAL(1, services.enginePool("models")->size());
}

// Its answer would be resumed in the domain.
TEST(EvacuationOfEngines, AStreamIsNotResumedAtAnEvacuatedEngine)
{
    allow({});
    breakStream([this] {
        setEngine("e-2", "south", second.address(), 1);
        setEvacuated("south");
    });
    LONGS_EQUAL(0, second.requests().size());
}

TEST_GROUP_BASE(EvacuationFleet, RegionalFleetGroup) {};

TEST(EvacuationFleet, ItIsInForceAtEachEntryAndEndsWithItsRecord)
{
    configure(2, "");
    checkEachEntry([](const WholeResponse& response) { return response.status == 200; });
    fleet.store().set("op/evacuate/south-a", Fleet::base64("no JSON"));
    fleet.runUntil([this] {
        return fleet.metrics(0).find("evacuations_total") != std::string::npos && fleet.metrics(1).find("evacuations_total") != std::string::npos && fleet.metrics(2).find("evacuations_total") != std::string::npos;
    });
    const auto before = far.requests;
    checkEachEntry([](const WholeResponse& response) { return response.status == 200; });
    LONGS_EQUAL(before, far.requests);
    fleet.store().set("op/evacuate/south-a", "");
    fleet.runUntil([&] { return call(0).status == 200 && far.requests > before; });
}
