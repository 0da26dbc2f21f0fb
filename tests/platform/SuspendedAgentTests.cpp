#include "../SuspendedClock.h"
#include "../TestSupport.h"
#include "StopSupport.h"

using namespace hyssopwick;

/// An agent whose engine serves version 1 and gets version 2. The VM is suspended, and a staged
/// chunk becomes corrupt, at a moment between the verification of the chunks and the order to load.
TEST_GROUP(SuspendedAgent)
{
    static constexpr time_t suspensionSeconds = 5;
    static constexpr unsigned chunkCount = 3;
    // An engine may use a chunk that became corrupt less than this before it loaded it.
    static constexpr Milliseconds corruptionTolerance { 3000 };

    EventLoop loop { 1 };
    const std::string ip = loopbackIp(203);
    const std::vector<std::string> chunks { std::string(64, 'a'), std::string(64, 'b'), std::string(64, 'c') };
    std::map<unsigned, std::string> staged;
    unsigned loadedVersion = 1;
    unsigned orders = 0;
    unsigned loads = 0;
    unsigned corruptLoads = 0;
    TimePoint corruptedAt;
    std::function<void(unsigned)> onVerified; // called once, for each chunk that is read after all were staged
    unsigned verifiedChunks = 0;

    void teardown() override { suspendedSeconds = 0; }

    // Makes a chunk corrupt and suspends the VM, with everything that runs on it, from then on.
    void suspend(unsigned corruptChunk)
    {
        staged[corruptChunk] = "corrupt";
        corruptedAt = monotonicNow();
        suspendedSeconds += suspensionSeconds;
    }

    void accept(const ServerExchangePointer& exchange)
    {
        ++orders;
        if (isRetirement(exchange->request().body)) {
            loadedVersion = 0;
            return exchange->respond(202, {}, "");
        }
        ++loads;
        const bool isCorrupt = std::any_of(staged.begin(), staged.end(), [this](const auto& chunk) { return chunk.second != chunks[chunk.first]; });
        if (isCorrupt && monotonicNow() >= corruptedAt + corruptionTolerance)
            ++corruptLoads;
        loadedVersion = 2;
        exchange->respond(202, {}, "");
    }

    void readStaged(const ServerExchangePointer& exchange, unsigned chunk)
    {
        exchange->respond(200, {}, staged[chunk]);
        if (staged.size() == chunkCount && verifiedChunks++ < chunkCount && onVerified)
            onVerified(chunk);
    }

    void serve(const ServerExchangePointer& exchange)
    {
        const auto& target = exchange->request().target;
        const auto startsWith = [&target](const char* prefix) { return target.rfind(prefix, 0) == 0; };
        const auto chunk = static_cast<unsigned>(target.back() - '0');
        if (startsWith("/-/kv-watch"))
            return; // no change
        if (startsWith("/-/kv-range"))
            return exchange->respond(200, {}, storePage("items", 5, { { "op/config", R"({"version":1,"routes":[],"services":[{"name":"s","engine":{"slots":4,"chunks":3,"chunkBytes":64,"models":[{"name":"m","warmS":10}]}},{"name":"o","origin":")" + ip + R"(:21733","zone":"north-a","linkMbps":1000}]})" }, { "op/version/m", R"({"model":"m","version":2})" } }));
        if (startsWith("/-/report"))
            return exchange->respond(200, {}, R"({"sequence":)" + std::to_string(orders) + R"(,"queued":0,"running":0,"born":1000,"models":[{"name":"m","version":)" + std::to_string(loadedVersion) + "}]}");
        if (startsWith("/-/manifest")) {
            WeightsManifest manifest { { "m", 2 }, chunks.front().size(), {} };
            for (const auto& bytes : chunks)
                manifest.chunks.push_back(Digest::of(bytes));
            return exchange->respond(200, {}, platform::platformPorts().engines->encodeManifest(manifest));
        }
        if (startsWith("/-/piece"))
            return exchange->respond(200, {}, chunks.at(static_cast<unsigned>(target[target.find("num=") + 4] - '0')));
        if (startsWith("/-/stage-put")) {
            staged[chunk] = exchange->request().body;
            return exchange->respond(200, {}, "");
        }
        if (startsWith("/-/stage-get"))
            return readStaged(exchange, chunk);
        if (startsWith("/-/order"))
            return accept(exchange);
        exchange->respond(404, {}, "");
    }

    void runUntilLoaded()
    {
        EventLog log { "test", [](const std::string&) {} };
        MetricsRegistry metrics;
        const auto description = describeAgent(ip);
        GatewayContext context { loop, description, platform::platformPorts(), log, metrics, 1 };
        HttpListener platform(
            loop, [this](const ServerExchangePointer& exchange) { serve(exchange); }, [] { return CallerLimits(); });
        CHECK(platform.listen(description.storeAddress).has_value());
        AgentGateway agent(context);
        CHECK(agent.start().has_value());
        // The upper bound only ends a failing test.
        for (const auto deadline = monotonicNow() + Milliseconds(40000); loads == 0 && monotonicNow() < deadline;)
            loop.run_one_for(Milliseconds(5));
        CHECK(loads > 0);
    }
};

// Guards against an order that the agent sends when it wakes, for chunks that it verified before.
TEST(SuspendedAgent, ChunksAreVerifiedAgainAfterASuspensionBeforeTheOrder)
{
    LoopTimer suspension(loop);
    onVerified = [this, &suspension](unsigned chunk) {
        if (chunk != chunkCount - 1)
            return;
        suspension.expires_after(Milliseconds(20));
        suspension.async_wait([this](boost::system::error_code) { suspend(1); });
    };
    runUntilLoaded();
    LONGS_EQUAL(0, corruptLoads);
}

// Guards against chunks whose verification counts from its end: the first may be corrupt by then.
TEST(SuspendedAgent, ChunksAreVerifiedAgainAfterASuspensionDuringTheirVerification)
{
    onVerified = [this](unsigned chunk) {
        if (chunk == 1)
            suspend(0);
    };
    runUntilLoaded();
    LONGS_EQUAL(0, corruptLoads);
}
