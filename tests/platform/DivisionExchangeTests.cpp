#include "../TestSupport.h"

#include <PlatformAdapter.h>
#include <hyssopwick_gateway.h>
#include <unistd.h>

using namespace hyssopwick;

namespace {

constexpr std::uint16_t internalPort = 21751;

// A process with its socket for messages. Its address differs between test processes.
struct Peer {
    Peer(EventLoop& loop, const std::string& node, int number)
        : context { loop, descriptionOf(node, number), platform::platformPorts(), log, metrics, 1 }
        , socket(context)
    {
    }

    static ProcessDescription descriptionOf(const std::string& node, int number)
    {
        constexpr int octets = 250;
        ProcessDescription description;
        description.node = node;
        description.ip = "127." + std::to_string(2 + getpid() / octets % octets) + "." + std::to_string(getpid() % octets) + "." + std::to_string(100 + number);
        description.region = "north";
        description.failureDomain = "north-a";
        description.internalPort = internalPort;
        return description;
    }

    std::vector<std::string> lines;
    EventLog log { "test", [this](const std::string& line) { lines.push_back(line); } };
    MetricsRegistry metrics;
    GatewayContext context;
    PeerSocket socket;
};

}

/// An entry VM and the agent of its one engine, which exchange demand and shares.
TEST_GROUP(DivisionExchange)
{
    EventLoop loop { 1 };
    Peer entry { loop, "entry", 1 };
    Peer agent { loop, "agent", 2 };
    EntryServices services { entry.context };
    EngineSubscriptions subscriptions { services, entry.socket, [this] { return VmIdentity { "entry", entry.context.internalAddress(), "north", "north-a", "entry" }; } };
    EngineUpdates updates { agent.context, agent.socket };
    const std::string engineAddress = agent.context.description.ip + ":9000";
    std::size_t subscriptionCount = 0;
    std::size_t updateCount = 0;

    void setup() override
    {
        CHECK(agent.socket.start([this](const PeerMessage& message, const std::string& sender) {
                              if (const auto* subscription = std::get_if<UpdateSubscription>(&message)) {
                                  ++subscriptionCount;
                                  updates.recordSubscription(sender, *subscription);
                              }
                          })
                  .has_value());
        CHECK(entry.socket.start([this](const PeerMessage& message, const std::string&) {
                              if (const auto* update = std::get_if<EngineUpdate>(&message)) {
                                  ++updateCount;
                                  services.recordEngineUpdate(*update);
                              }
                          })
                  .has_value());
        DeploymentConfiguration configuration;
        configuration.version = 1;
        configuration.services["models"].name = "models";
        configuration.services["models"].engine = EngineSpeed();
        services.setConfiguration(configuration);
        Upstream engine;
        engine.id = "i-1";
        engine.service = "models";
        engine.address = engineAddress;
        engine.loadedVersions["m"] = 1;
        services.setUpstream(engine);
        services.refresh();
    }

    void sendUpdate()
    {
        EngineUpdate update;
        update.engineAddress = engineAddress;
        update.report.loadedVersions["m"] = 1;
        updates.send(update, true, false, {}, EngineSubset::maxEngines + 1);
    }

    void runUntil(const std::size_t& count, std::size_t expected)
    {
        const auto end = monotonicNow() + Milliseconds(2000);
        while (count < expected && monotonicNow() < end)
            loop.run_one_for(Milliseconds(50));
        LONGS_EQUAL(expected, count);
    }
};

// Without the demand in subscriptions, agents would never state shares.
TEST(DivisionExchange, AnEntryGetsTheShareThatItsDemandGivesIt)
{
    const auto now = monotonicNow();
    auto& pool = *services.enginePool("models");
    services.queue("models").setEntryCount(4);
    services.queue("models").add({ 1, { 1000, 100 }, 1, now + Milliseconds(500), now + Milliseconds(6000), {}, false }, now);
    subscriptions.send();
    runUntil(subscriptionCount, 1);
    sendUpdate();
    runUntil(updateCount, 1);
    CHECK(pool.shares().isStated("i-1", monotonicNow()));
    DOUBLES_EQUAL(1, pool.shares().shareOf("i-1", monotonicNow()), 1e-3);
    CHECK(std::any_of(agent.lines.begin(), agent.lines.end(), [](const std::string& line) { return line.find("engine.division") != std::string::npos; }));
}

// An entry VM subscribes also where it uses all engines, and no more often than each second while its demand stays.
TEST(DivisionExchange, SubscriptionsAreBoundedInNumber)
{
    for (int i = 0; i < 5; ++i)
        subscriptions.send();
    runUntil(subscriptionCount, 1);
    loop.run_for(Milliseconds(50));
    LONGS_EQUAL(1, subscriptionCount);
}
