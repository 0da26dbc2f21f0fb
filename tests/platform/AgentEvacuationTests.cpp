#include "../TestSupport.h"
#include "StopSupport.h"

using namespace hyssopwick;

/// An agent whose engine serves version 1 while version 2 is staged, and a peer whose engine is loading.
TEST_GROUP(AgentEvacuation)
{
    EventLoop loop { 1 };
    const std::string ip = loopbackIp(201);
    const std::string peerAddress = loopbackIp(202);
    const std::string chunkBytes = "0123456789abcdef";
    bool isStaged = false;
    bool isOrdered = false;
    std::string answerOf(const std::string& target)
    {
        const auto startsWith = [&target](const char* prefix) { return target.rfind(prefix, 0) == 0; };
        isStaged = isStaged || startsWith("/-/stage-put");
        isOrdered = isOrdered || startsWith("/-/order");
        if (startsWith("/-/kv-range"))
            return storePage("items", 5, { { "op/config", R"({"version":1,"routes":[],"services":[{"name":"s","engine":{"slots":4,"chunks":1,"chunkBytes":16,"models":[{"name":"m","warmS":10}]}},{"name":"o","origin":")" + ip + R"(:21733","zone":"north-a","linkMbps":1000}]})" }, { "servers/i-2", R"({"service":"s","address":")" + peerAddress + R"(:1","zone":"south-a","slots":4,"state":"ready","born":1000})" } });
        if (startsWith("/-/report"))
            return R"({"sequence":0,"queued":0,"running":0,"born":1000,"models":[{"name":"m","version":1}]})";
        if (startsWith("/-/manifest"))
            return R"({"model":"m","version":2,"chunkBytes":16,"digests":[")" + Digest::of(chunkBytes).hex() + R"("]})";
        return chunkBytes;
    }
};

// Its engine serves nothing, so waiting for the others only delays the version.
TEST(AgentEvacuation, TheAgentOfAnEvacuatedDomainLoadsAVersionAtOnce)
{
    std::vector<std::string> lines;
    EventLog log { "test", [&lines](const std::string& line) { lines.push_back(line); } };
    MetricsRegistry metrics;
    const auto description = describeAgent(ip);
    GatewayContext context { loop, description, platform::platformPorts(), log, metrics, 1 };
    PendingRequestServer platform(loop, ip.c_str(), platformPort, [this](const std::string& target) { return target.rfind("/-/kv-watch", 0) == 0 ? std::nullopt : std::optional<std::string>(answerOf(target)); });
    UdpSocket peer(loop, asio::ip::udp::endpoint(ipAddress(peerAddress.c_str()), internalPort));
    AgentGateway agent(context);
    CHECK(agent.start().has_value());
    const auto runFor = [&](Milliseconds time, const std::function<bool()>& isDone) {
        for (const auto deadline = monotonicNow() + time; !isDone() && monotonicNow() < deadline;) {
            peer.send_to(asio::buffer(encodePeerMessage(ActivationUpdate { peerAddress, "m", 2, 1, true, true })), { ipAddress(ip.c_str()), internalPort });
            loop.run_one_for(Milliseconds(20));
        }
    };
    const auto isWatching = [&platform] { return platform.isPending("/-/kv-watch"); };
    runFor(Milliseconds(10000), isWatching);
    platform.complete("/-/kv-watch", storePage("events", 6, { { "op/version/m", R"({"model":"m","version":2})" } }));
    runFor(Milliseconds(10000), [this] { return isStaged; });
    CHECK(isStaged);
    runFor(Milliseconds(700), [] { return false; });
    CHECK_FALSE(isOrdered); // its turn comes in some seconds
    runFor(Milliseconds(10000), isWatching);
    platform.complete("/-/kv-watch", storePage("events", 7, { { "op/evacuate/north-a", "?" } }));
    runFor(Milliseconds(1500), [this] { return isOrdered; });
    CHECK(isOrdered);
    CHECK(std::any_of(lines.begin(), lines.end(), [](const std::string& line) { return line.find("evacuation.begun") != std::string::npos && line.find("own=true") != std::string::npos; }));
}
