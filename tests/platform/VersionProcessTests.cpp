#include "../TestSupport.h"
#include "StopSupport.h"

using namespace hyssopwick;

namespace {

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

bool startsWith(const std::string& target, const char* prefix) { return target.rfind(prefix, 0) == 0; }

void runUntil(EventLoop& loop, const std::function<bool()>& isDone)
{
    // The upper bound only ends a failing test.
    for (const auto deadline = monotonicNow() + Milliseconds(20000); !isDone() && monotonicNow() < deadline;)
        loop.run_one_for(Milliseconds(5));
    CHECK(isDone());
}

}

/// An entry VM whose call waits at an engine with version 1 when version 2 is published.
TEST_GROUP(VersionAtEntry)
{
    EventLoop loop { 1 };
    EventLog log { "test", [](const std::string&) {} };
    MetricsRegistry metrics;
    GatewayContext context { loop, describeEntry(), platform::platformPorts(), log, metrics, 1 };

    static ProcessDescription describeEntry()
    {
        auto description = describe("entry");
        description.callerAddress = std::string(ownIp) + ":" + std::to_string(callerPort);
        description.versionBound = Milliseconds(1500);
        return description;
    }

    static std::optional<std::string> answer(const std::string& target)
    {
        if (startsWith(target, "/-/kv-range"))
            return storePage("items", 5, { { "op/config", R"({"version":1,"routes":[{"name":"r","host":"h","prefix":"/p/","kind":"safe","timeoutMs":60000,"goalMs":30000,"service":"s","attempts":1,"anonymous":true}],"services":[{"name":"s","engine":{"slots":4,"models":[{"name":"m"}]}}]})" }, { "servers/i-1", R"({"service":"s","address":"127.0.0.1:21733","zone":"north-a","slots":4,"state":"ready","models":[{"name":"m","version":1}]})" } });
        if (startsWith(target, "/-/kv-lease"))
            return R"({"lease":7})";
        return startsWith(target, "/-/kv-txn") ? std::optional<std::string>("{}") : std::nullopt;
    }
};

TEST(VersionAtEntry, AWaitingCallIsMovedForAVersionThatTheStorePublishesMeanwhile)
{
    PendingRequestServer platform(loop, ownIp, platformPort, answer);
    EntryGateway entry(context);
    CHECK(entry.start().has_value());
    runUntil(loop, [&platform] { return platform.isPending("/-/kv-watch"); });
    SlowReader caller(loop, callerPort, "/p/a");
    runUntil(loop, [&platform] { return platform.isPending("/p/"); });
    platform.complete("/-/kv-watch", storePage("events", 6, { { "op/version/m", R"({"model":"m","version":2})" } }));
    runUntil(loop, [&platform] { return !platform.isPending("/p/"); });
}

/// An agent that starts after the bound of version 2, which its engine has loaded.
TEST_GROUP(VersionAtAgent)
{
    EventLoop loop { 1 };
    EventLog log { "test", [](const std::string&) {} };
    MetricsRegistry metrics;
    GatewayContext context { loop, describeAgent(), platform::platformPorts(), log, metrics, 1 };
    int reports = 0;

    static ProcessDescription describeAgent()
    {
        auto description = describe("agent");
        description.engineAddress = platformAddress();
        description.engineService = "s";
        return description;
    }

    std::optional<std::string> answer(const std::string& target)
    {
        if (startsWith(target, "/-/kv-range"))
            return storePage("items", 5, { { "op/config", R"({"version":1,"routes":[],"services":[{"name":"s","engine":{"slots":4,"chunks":1,"chunkBytes":1048576,"models":[{"name":"m"}]}},{"name":"o","origin":"127.0.0.1:21733","zone":"north-a","linkMbps":1000}]})" }, { "op/version/m", R"({"model":"m","version":2})" }, { "servers/i-2", R"({"service":"s","address":"127.0.0.2:1","zone":"north-a","slots":4,"state":"ready","born":1000})" } });
        if (!startsWith(target, "/-/report"))
            return std::nullopt;
        ++reports;
        return R"({"sequence":0,"queued":0,"running":0,"born":1000,"models":[{"name":"m","version":2}]})";
    }
};

TEST(VersionAtAgent, ARolloutWhoseBoundHasPassedIsNotAnnounced)
{
    PendingRequestServer platform(loop, ownIp, platformPort, [this](const std::string& target) { return answer(target); });
    UdpSocket peer(loop, asio::ip::udp::endpoint(ipAddress(peerIp), internalPort));
    peer.non_blocking(true);
    AgentGateway agent(context);
    CHECK(agent.start().has_value());
    runUntil(loop, [&platform] { return platform.isPending("/-/kv-watch"); });
    const int reportsBefore = reports;
    runUntil(loop, [this, reportsBefore] { return reports >= reportsBefore + 3; });
    std::array<char, 4096> datagram;
    boost::system::error_code error;
    for (auto size = peer.receive(asio::buffer(datagram), 0, error); !error; size = peer.receive(asio::buffer(datagram), 0, error))
        CHECK_FALSE(std::holds_alternative<ActivationUpdate>(decodePeerMessage({ datagram.data(), size }).value()));
}
