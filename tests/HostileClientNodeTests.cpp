#include "HostileCrowd.h"

using namespace hyssopwick;

namespace {

constexpr std::size_t mebibyte = std::size_t(1) << 20;
constexpr std::size_t memoryBytes = 96 * mebibyte;
constexpr std::size_t descriptors = 512;
// The rest is kept for files, as on the platform.
constexpr std::size_t socketDescriptors = descriptors - 200;
// Together, each of these crowds sends more than the process may hold.
constexpr std::size_t longSenders = 32;
constexpr std::size_t longSenderBytes = 8 * mebibyte;
constexpr std::size_t uploaders = 64;
constexpr std::size_t bodyBytes = 4 * mebibyte; // within the limit of a message
constexpr std::size_t idlers = 600;

const char* callPath = "/v1/completions";

}

/// The crowds of HostileClients against the programs of the project's own interface.
TEST_GROUP(HostileNodeClients)
{
    EventLoop loop { 1 };
    asio::executor_work_guard<EventLoop::executor_type> work { loop.get_executor() };
    std::unique_ptr<ProgramProcess> process;
    const std::string address = loopbackIp(202) + ":21771";

    void setup() override { raiseOwnDescriptorLimit(); }

    static std::string limits() { return "memory_bytes = " + std::to_string(memoryBytes) + "\nmax_descriptors = " + std::to_string(descriptors) + "\n"; }

    std::string commonSettings() const
    {
        return "vm = \"vm-1\"\nregion = \"r\"\nfailure_domain = \"d\"\nlisten = \"" + address + "\"\nkey_value = \"127.0.0.1:1\"\nvm_list = \"127.0.0.1:2\"\npeer_key_id = \"k\"\npeer_key = \"test-peer-key-0001\"\nworker_threads = 4\n" + limits();
    }

    void start(const std::string& program, const std::string& settings)
    {
        process = std::make_unique<ProgramProcess>(program, settings, descriptors);
        CHECK(isAnswered(loop, address, { "GET", "/healthz", {}, "" }, 200));
    }

    void startEntry() { start("hyssopwick-entry", commonSettings()); }

    void startAgent()
    {
        start("hyssopwick-agent", commonSettings() + "worker_kind = \"chat\"\norigin = \"127.0.0.1:3\"\norigin_region = \"r\"\nupstream = \"127.0.0.1:4\"\nuplink_bytes_per_second = 1000000\nregion_link_bytes_per_second = 1000000\n");
    }

    void check(const char* when)
    {
        const auto text = [when](const std::string& what) { return std::string(when) + ": " + what; };
        CHECK_TEXT(process->isRunning(), text("the process has ended").c_str());
        CHECK_TEXT(isAnswered(loop, address, { "GET", "/healthz", {}, "" }, 200), text("an ordinary request is not answered").c_str());
        CHECK_TEXT(process->isRunning(), text("the process has ended").c_str());
        const auto memory = process->peakMemory();
        CHECK_TEXT(memory <= memoryBytes, text(std::to_string(memory >> 20) + " MiB of " + std::to_string(memoryBytes >> 20)).c_str());
        const auto open = process->openDescriptors();
        CHECK_TEXT(open <= socketDescriptors, text(std::to_string(open) + " descriptors").c_str());
    }

    void withstand(std::size_t clients, const HostileRequest& request)
    {
        HostileCrowd crowd(loop, address, clients, request);
        crowd.settle();
        check("while the crowd is connected");
        crowd.settle();
        check("some time later");
    }

    void withstandTrailers() { withstand(longSenders, { hostileHead("POST", callPath, "Transfer-Encoding: chunked\r\n") + "4\r\nbody\r\n0\r\n", "X-Trailer: and more\r\n", longSenderBytes }); }
    void withstandChunkHeaders() { withstand(longSenders, { hostileHead("POST", callPath, "Transfer-Encoding: chunked\r\n") + "4;name=", "z", longSenderBytes }); }
    void withstandHeads() { withstand(longSenders, { "POST " + std::string(callPath) + " HTTP/1.1\r\nHost: a.example\r\n", "X-More: and more\r\n", longSenderBytes }); }
    void withstandAnnouncedBodies() { withstand(longSenders, { hostileHead("POST", callPath, "Content-Length: 1073741824\r\n"), "z", longSenderBytes }); }
    void withstandGrowingBodies() { withstand(longSenders, { hostileHead("POST", callPath, "Transfer-Encoding: chunked\r\n"), "8\r\nzzzzzzzz\r\n", longSenderBytes }); }
    void withstandShortenedBodies() { withstand(uploaders, { hostileHead("POST", callPath, "Content-Length: " + std::to_string(bodyBytes) + "\r\n"), "z", bodyBytes - 1 }); }
    void withstandWholeBodies() { withstand(uploaders, { hostileHead("POST", callPath, "Content-Length: " + std::to_string(bodyBytes) + "\r\n"), "z", bodyBytes }); }
    void withstandConnections() { withstand(idlers, { "", "", 0 }); }
    void withstandUnfinishedHeads() { withstand(idlers, { "POST " + std::string(callPath) + " HTTP/1.1\r\nHost: a.exam", "", 0 }); }
};

TEST(HostileNodeClients, TrailersWithoutEndAtAnEntry)
{
    startEntry();
    withstandTrailers();
}

TEST(HostileNodeClients, TrailersWithoutEndAtAnAgent)
{
    startAgent();
    withstandTrailers();
}

TEST(HostileNodeClients, ChunkHeadersWithoutEndAtAnEntry)
{
    startEntry();
    withstandChunkHeaders();
}

TEST(HostileNodeClients, ChunkHeadersWithoutEndAtAnAgent)
{
    startAgent();
    withstandChunkHeaders();
}

TEST(HostileNodeClients, HeadsWithoutEndAtAnEntry)
{
    startEntry();
    withstandHeads();
}

TEST(HostileNodeClients, HeadsWithoutEndAtAnAgent)
{
    startAgent();
    withstandHeads();
}

TEST(HostileNodeClients, AnnouncedBodiesOverTheLimitAtAnEntry)
{
    startEntry();
    withstandAnnouncedBodies();
}

TEST(HostileNodeClients, AnnouncedBodiesOverTheLimitAtAnAgent)
{
    startAgent();
    withstandAnnouncedBodies();
}

TEST(HostileNodeClients, GrowingBodiesOverTheLimitAtAnEntry)
{
    startEntry();
    withstandGrowingBodies();
}

TEST(HostileNodeClients, GrowingBodiesAtAnAgent)
{
    startAgent();
    withstandGrowingBodies();
}

TEST(HostileNodeClients, BodiesThatStopShortOfTheirEndAtAnEntry)
{
    startEntry();
    withstandShortenedBodies();
}

TEST(HostileNodeClients, BodiesThatStopShortOfTheirEndAtAnAgent)
{
    startAgent();
    withstandShortenedBodies();
}

TEST(HostileNodeClients, ManyWholeBodiesAtAnEntry)
{
    startEntry();
    withstandWholeBodies();
}

TEST(HostileNodeClients, ManyWholeBodiesAtAnAgent)
{
    startAgent();
    withstandWholeBodies();
}

TEST(HostileNodeClients, MoreConnectionsThanDescriptorsAtAnEntry)
{
    startEntry();
    withstandConnections();
}

TEST(HostileNodeClients, MoreConnectionsThanDescriptorsAtAnAgent)
{
    startAgent();
    withstandConnections();
}

TEST(HostileNodeClients, MoreUnfinishedHeadsThanDescriptorsAtAnEntry)
{
    startEntry();
    withstandUnfinishedHeads();
}

TEST(HostileNodeClients, MoreUnfinishedHeadsThanDescriptorsAtAnAgent)
{
    startAgent();
    withstandUnfinishedHeads();
}

// Guards against limits that an ordinary client meets.
TEST(HostileNodeClients, ASingleBodyOfTheLargestSizeIsAnswered)
{
    startEntry();
    // No configuration is in force, so that the request is refused, but not for its size.
    CHECK(isAnswered(loop, address, { "POST", callPath, { { "Host", "a" } }, std::string(bodyBytes, 'z') }, 503));
}
