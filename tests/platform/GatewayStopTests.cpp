#include "../TestSupport.h"
#include "StopSupport.h"

using namespace hyssopwick;

namespace {

/// Detects when the event loop shuts down and destroys the handlers that it still holds.
class LoopShutdownObserver : public asio::execution_context::service {
public:
    static inline asio::execution_context::id id;

    explicit LoopShutdownObserver(asio::execution_context& owner)
        : service(owner)
    {
    }

    bool* isLoopShutDown = nullptr;

private:
    void shutdown() override
    {
        if (isLoopShutDown)
            *isLoopShutDown = true;
    }
};

/// A process that stops at once and records whether its loop still exists when it is
/// destroyed.
class SelfStoppingProcess : public GatewayProcess {
public:
    SelfStoppingProcess(GatewayContext& context, bool& isLoopShutDown, bool& outlivedByLoop)
        : m_context(context)
        , m_isLoopShutDown(isLoopShutDown)
        , m_outlivedByLoop(outlivedByLoop)
    {
        asio::use_service<LoopShutdownObserver>(context.loop).isLoopShutDown = &isLoopShutDown;
    }

    ~SelfStoppingProcess() override { m_outlivedByLoop = !m_isLoopShutDown; }

    Outcome<void> start() override
    {
        asio::post(m_context.loop, [] { std::raise(SIGTERM); });
        return success();
    }

    void stop() override { m_context.loop.stop(); }

    void reload(const ProcessDescription&) override { }

private:
    GatewayContext& m_context;
    bool& m_isLoopShutDown;
    bool& m_outlivedByLoop;
};

/// A process that is told to reload and to stop while it starts.
class InterruptedProcess : public GatewayProcess {
public:
    explicit InterruptedProcess(GatewayContext& context)
        : m_context(context)
    {
    }

    Outcome<void> start() override
    {
        std::raise(SIGHUP);
        std::raise(SIGTERM);
        return success();
    }

    void stop() override { m_context.loop.stop(); }

    void reload(const ProcessDescription&) override { }

private:
    GatewayContext& m_context;
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
    description.linkBytesPerSecond = 12500; // sending a chunk to a peer takes more than a minute
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

TEST(GatewayStop, AProcessIsDestroyedBeforeItsEventLoop)
{
    child.start([] {
        bool isLoopShutDown = false;
        bool outlivedByLoop = false;
        const int code = runGateway("test", portsOf(describe("short")), [&](GatewayContext& context) { return std::make_unique<SelfStoppingProcess>(context, isLoopShutDown, outlivedByLoop); });
        return code == 0 && outlivedByLoop ? 0 : 1;
    });
    LONGS_EQUAL(0, child.waitForEnd([] {}));
}

// Guards against a reload or a planned stop that ends a starting process by the signal itself.
TEST(GatewayStop, SignalsDuringTheStartAreHandledAfterIt)
{
    child.start([] {
        return runGateway("test", portsOf(describe("short")), [](GatewayContext& context) { return std::make_unique<InterruptedProcess>(context); });
    });
    LONGS_EQUAL(0, child.waitForEnd([] {}));
}

// Memory errors at shutdown are found by the sanitizers; without them only some end in a signal.
TEST(GatewayStop, ABusyAgentStopsCleanly)
{
    child.start([] {
        return runGateway("agent", portsOf(describeAgent()), [](GatewayContext& context) { return std::make_unique<AgentGateway>(context); });
    });
    EventLoop loop(1);
    RolloutScenario scenario(loop);
    CHECK(child.runUntil(loop, [&scenario] { return scenario.isBusy(); }));
    child.signal(SIGTERM);
    LONGS_EQUAL(0, child.waitForEnd([&loop] { loop.poll(); }));
}

TEST(GatewayStop, AnEntryWithOpenCallsStopsCleanly)
{
    child.start([] {
        return runGateway("entry", portsOf(describeEntry()), [](GatewayContext& context) { return std::make_unique<EntryGateway>(context); });
    });
    EventLoop loop(1);
    CallScenario scenario(loop);
    CHECK(child.runUntil(loop, [&scenario] { return scenario.isBusy(); }));
    child.signal(SIGTERM);
    LONGS_EQUAL(0, child.waitForEnd([&loop] { loop.poll(); }));
}

TEST(GatewayStop, DestroyingAListenerEndsItsOpenExchanges)
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
