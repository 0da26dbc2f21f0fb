#include "../TestSupport.h"
#include "StopSupport.h"

using namespace hyssopwick;

/// An agent whose engine serves version 1, a store in which version 2 is published, and an origin that has it or not.
TEST_GROUP(EngineRetirement)
{
    static constexpr int layerCount = 4;
    static constexpr Milliseconds versionBound { 2500 };

    EventLoop loop { 1 };
    EventLog log { "test", [](const std::string&) {} };
    MetricsRegistry metrics;
    const std::string ip = loopbackIp(204);
    const std::string chunk = std::string(64, 'a');
    std::vector<ServerExchangePointer> watches;
    std::vector<nlohmann::json> orders;
    std::vector<TimePoint> orderedAt;
    std::string staged = chunk;
    unsigned loadedVersion = 1;
    int loadedLayers = layerCount;
    bool hasOrigin = false;
    unsigned refusal = 0; // status of the answers to orders, or 0 to accept them
    std::optional<Milliseconds> silentAfter; // after the publication, the engine answers no report
    std::vector<ServerExchangePointer> unanswered;
    std::uint64_t sequence = 0;
    TimePoint publishedAt;

    bool mayBeginCalls() const { return loadedLayers == layerCount; }

    void accept(const ServerExchangePointer& exchange)
    {
        const auto order = nlohmann::json::parse(exchange->request().body);
        orderedAt.push_back(monotonicNow());
        orders.push_back(order);
        if (refusal != 0)
            return exchange->respond(refusal, {}, "");
        if (order.at("expected") != sequence)
            return exchange->respond(409, {}, "");
        ++sequence;
        loadedVersion = order.at("version");
        loadedLayers = isRetirement(exchange->request().body) ? 0 : layerCount;
        exchange->respond(202, {}, "");
    }

    void serve(const ServerExchangePointer& exchange)
    {
        const auto& target = exchange->request().target;
        const auto startsWith = [&target](const char* prefix) { return target.rfind(prefix, 0) == 0; };
        if (startsWith("/-/kv-watch"))
            return watches.push_back(exchange);
        if (startsWith("/-/kv-range"))
            return exchange->respond(200, {}, storePage("items", 5, { { "op/config", R"({"version":1,"routes":[],"services":[{"name":"s","engine":{"slots":4,"chunks":1,"chunkBytes":64,"models":[{"name":"m","warmS":0.01}]}},{"name":"o","origin":")" + ip + R"(:21733","zone":"north-a","linkMbps":1000}]})" } }));
        if (startsWith("/-/report") && silentAfter && publishedAt != TimePoint() && monotonicNow() >= publishedAt + *silentAfter)
            return unanswered.push_back(exchange);
        if (startsWith("/-/report")) {
            auto report = nlohmann::json { { "sequence", sequence }, { "queued", 0 }, { "running", 0 }, { "born", 1000 }, { "layers", { { "from", 0 }, { "target", loadedLayers }, { "version", loadedVersion } } } };
            report["models"] = nlohmann::json::array({ { { "name", "m" }, { "version", loadedVersion } } });
            return exchange->respond(200, {}, report.dump());
        }
        if (startsWith("/-/stage-put")) {
            staged = exchange->request().body;
            return exchange->respond(200, {}, "");
        }
        if (startsWith("/-/stage-get"))
            return exchange->respond(200, {}, staged);
        if (startsWith("/-/order"))
            return accept(exchange);
        const bool isFirst = target.find("version=1") != std::string::npos;
        if ((hasOrigin || isFirst) && startsWith("/-/manifest"))
            return exchange->respond(200, {}, platform::platformPorts().engines->encodeManifest({ { "m", isFirst ? 1u : 2u }, chunk.size(), { Digest::of(chunk) } }));
        if ((hasOrigin || isFirst) && startsWith("/-/piece"))
            return exchange->respond(200, {}, chunk);
        exchange->respond(404, {}, "");
    }

    // Publishes version 2 while an agent runs, until \p isDone.
    void runAgent(const std::function<bool()>& isDone)
    {
        auto description = describeAgent(ip);
        description.versionBound = versionBound;
        GatewayContext context { loop, description, platform::platformPorts(), log, metrics, 1 };
        HttpListener platform(
            loop, [this](const ServerExchangePointer& exchange) { serve(exchange); }, [] { return CallerLimits(); });
        CHECK(platform.listen(description.storeAddress).has_value());
        AgentGateway agent(context);
        CHECK(agent.start().has_value());
        runUntil([this] { return !watches.empty(); });
        publishedAt = monotonicNow();
        watches.back()->respond(200, {}, storePage("events", 6, { { "op/version/m", R"({"model":"m","version":2})" } }));
        runUntil(isDone);
    }

    void runUntil(const std::function<bool()>& isDone)
    {
        // The upper bound only ends a failing test.
        for (const auto deadline = monotonicNow() + Milliseconds(10000); !isDone() && monotonicNow() < deadline;)
            loop.run_one_for(Milliseconds(5));
        CHECK(isDone());
    }

    bool isBoundOver(Milliseconds after = Milliseconds(0)) const { return monotonicNow() >= publishedAt + versionBound + after; }
};

// Guards against calls that reach the engine late and begin on weights that are past their bound.
TEST(EngineRetirement, AnEngineHoldsNoOldWeightsAtTheirBound)
{
    runAgent([this] { return isBoundOver(); });
    CHECK_FALSE(mayBeginCalls());
    LONGS_EQUAL(1, orders.size());
    CHECK(orderedAt.front() > publishedAt + versionBound - Milliseconds(500)); // entry VMs use the weights until then
}

TEST(EngineRetirement, WeightsThatWereGivenUpAreNotLoadedAgain)
{
    runAgent([this] { return isBoundOver(Milliseconds(1500)); });
    CHECK_FALSE(mayBeginCalls());
    LONGS_EQUAL(1, orders.size());
}

TEST(EngineRetirement, AnEngineThatGaveUpItsWeightsLoadsTheNewOnes)
{
    runAgent([this] {
        hasOrigin = hasOrigin || isBoundOver();
        return loadedVersion == 2;
    });
    CHECK(mayBeginCalls());
}

TEST(EngineRetirement, AnEngineWithTheNewWeightsKeepsThem)
{
    hasOrigin = true;
    runAgent([this] { return isBoundOver(Milliseconds(500)); });
    LONGS_EQUAL(2, loadedVersion);
    CHECK(mayBeginCalls());
    LONGS_EQUAL(1, orders.size());
}

TEST(EngineRetirement, AnOrderThatWasNotAcceptedIsRepeated)
{
    refusal = 409;
    runAgent([this] {
        refusal = orders.empty() ? 409 : 0;
        return isBoundOver();
    });
    CHECK_FALSE(mayBeginCalls());
    CHECK(orders.size() > 1);
}

// Guards against an order that waits for a report of an engine that is late to report.
TEST(EngineRetirement, AReportThatIsLateDoesNotDelayTheOrder)
{
    silentAfter = versionBound - Milliseconds(350);
    runAgent([this] { return isBoundOver(); });
    CHECK_FALSE(mayBeginCalls());
}

TEST(EngineRetirement, AnOrderThatWasRefusedOnceIsRepeated)
{
    refusal = 400;
    runAgent([this] {
        refusal = orders.empty() ? 400 : 0;
        return isBoundOver(Milliseconds(1500));
    });
    CHECK_FALSE(mayBeginCalls());
}

TEST(EngineRetirement, OrdersWithoutEffectAreNotRepeatedWithEachReport)
{
    refusal = 200;
    runAgent([this] { return isBoundOver(Milliseconds(2000)); });
    CHECK_COMPARE(orders.size(), <=, 8u);
}
