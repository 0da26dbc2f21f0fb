#include "../TestSupport.h"
#include "StopSupport.h"

using namespace hyssopwick;

namespace {

/// Notes when the event loop destroys the handlers that it still holds.
class LoopWitness : public asio::execution_context::service {
public:
    static inline asio::execution_context::id id;

    explicit LoopWitness(asio::execution_context& owner)
        : service(owner)
    {
    }

    bool* isLoopOver = nullptr;

private:
    void shutdown() override
    {
        if (isLoopOver)
            *isLoopOver = true;
    }
};

/// A process that stops at once and notes whether its loop is there at its end.
class ShortProcess : public GatewayProcess {
public:
    ShortProcess(GatewayContext& context, bool& isLoopOver, bool& hadLoopAtEnd)
        : m_context(context)
        , m_isLoopOver(isLoopOver)
        , m_hadLoopAtEnd(hadLoopAtEnd)
    {
        asio::use_service<LoopWitness>(context.loop).isLoopOver = &isLoopOver;
    }

    ~ShortProcess() override { m_hadLoopAtEnd = !m_isLoopOver; }

    Outcome<void> start() override
    {
        asio::post(m_context.loop, [] { std::raise(SIGTERM); });
        return success();
    }

    void stop() override { m_context.loop.stop(); }

    void reload(const ProcessDescription&) override { }

private:
    GatewayContext& m_context;
    bool& m_isLoopOver;
    bool& m_hadLoopAtEnd;
};

ProcessDescription describe(const std::string& node)
{
    ProcessDescription description;
    description.node = node;
    description.ip = ownIp;
    description.region = "north";
    description.failureDomain = "north-a";
    description.regionOfFailureDomain = { { "north-a", "north" } };
    description.internalPort = internalPort;
    description.metricsPort = metricsPort;
    description.storeAddress = platformAddress();
    return description;
}

PlatformPorts portsOf(const ProcessDescription& description)
{
    auto ports = platform::platformPorts();
    ports.readSettings = [description] { return Outcome<ProcessDescription>(description); };
    return ports;
}

ProcessDescription describeAgent()
{
    auto description = describe("agent");
    description.engineAddress = platformAddress();
    description.engineService = "s";
    description.linkBytesPerSecond = 12500; // a chunk is on its way to a peer for over a minute
    return description;
}

ProcessDescription describeEntry()
{
    auto description = describe("entry");
    description.callerAddress = std::string(ownIp) + ":" + std::to_string(callerPort);
    description.stopBound = Milliseconds(800);
    return description;
}

}

TEST_GROUP(GatewayStop)
{
    ChildProcess child;

    void teardown() override { child.kill(); }
};

TEST(GatewayStop, AProcessIsGoneBeforeTheLoopThatItUses)
{
    child.start([] {
        bool isLoopOver = false;
        bool hadLoopAtEnd = false;
        const int code = runGateway("test", portsOf(describe("short")), [&](GatewayContext& context) { return std::make_unique<ShortProcess>(context, isLoopOver, hadLoopAtEnd); });
        return code == 0 && hadLoopAtEnd ? 0 : 1;
    });
    LONGS_EQUAL(0, child.waitForEnd([] {}));
}

// Memory faults on the way out show under the sanitizers, and else as a signal at times.
TEST(GatewayStop, AnAgentInTheMiddleOfItsWorkEndsWithoutAFault)
{
    child.start([] {
        return runGateway("agent", portsOf(describeAgent()), [](GatewayContext& context) { return std::make_unique<AgentGateway>(context); });
    });
    EventLoop loop(1);
    RolloutScene scene(loop);
    CHECK(child.runUntil(loop, [&scene] { return scene.isInTheMiddle(); }));
    child.signal(SIGTERM);
    LONGS_EQUAL(0, child.waitForEnd([&loop] { loop.poll(); }));
}

TEST(GatewayStop, AnEntryWithOpenCallsEndsWithoutAFault)
{
    child.start([] {
        return runGateway("entry", portsOf(describeEntry()), [](GatewayContext& context) { return std::make_unique<EntryGateway>(context); });
    });
    EventLoop loop(1);
    CallScene scene(loop);
    CHECK(child.runUntil(loop, [&scene] { return scene.isInTheMiddle(); }));
    child.signal(SIGTERM);
    LONGS_EQUAL(0, child.waitForEnd([&loop] { loop.poll(); }));
}

TEST(GatewayStop, AListenerThatGoesEndsItsOpenExchanges)
{
    EventLoop loop(1);
    ServerExchangePointer exchange;
    bool isDone = false;
    const auto serve = [&](const ServerExchangePointer& received) {
        exchange = received;
        exchange->onDone([&isDone] { isDone = true; });
    };
    auto listener = std::make_unique<HttpListener>(loop, serve, [] { return CallerLimits(); });
    CHECK(listener->listen(std::string(ownIp) + ":" + std::to_string(internalPort)).has_value());
    SlowReader caller(loop, internalPort, "/");
    while (!exchange)
        loop.run_one();
    CHECK_FALSE(isDone);
    listener.reset();
    CHECK(isDone);
}
