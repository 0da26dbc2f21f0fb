#include "HostileClientSupport.h"

using namespace hyssopwick;

namespace {

constexpr std::size_t mebibyte = std::size_t(1) << 20;
// Together, each of these crowds sends more than the process may hold.
constexpr std::size_t longSenders = 16;
constexpr std::size_t longSenderBytes = 8 * mebibyte;
constexpr std::size_t uploaders = 128;
constexpr std::size_t uploadersOfDefaultBodies = 32;
constexpr std::size_t idlers = 600;

// Fields of an ordinary call, and those that say where its body ends.
std::string callHead(const std::string& method, const std::string& target, const std::string& framing)
{
    return hostileHead(method, target, "Request-Id: 0123456789abcdef\r\nDeadline-Ms: 30000\r\nAuthorization: Bearer key\r\n" + framing);
}

const HostileRequest endlessTrailers { callHead("POST", "/q/a", "Transfer-Encoding: chunked\r\n") + "4\r\nbody\r\n0\r\n", "X-Trailer: and more\r\n", longSenderBytes };
const HostileRequest endlessChunkHeader { callHead("POST", "/q/a", "Transfer-Encoding: chunked\r\n") + "4;name=", "z", longSenderBytes };
const HostileRequest announcedTooLong { callHead("POST", "/q/a", "Content-Length: 1073741824\r\n"), "z", longSenderBytes };
const HostileRequest sentTooLong { callHead("POST", "/q/a", "Transfer-Encoding: chunked\r\n"), "8\r\nzzzzzzzz\r\n", longSenderBytes };

// One pattern is one chunk of 1 KiB.
std::string chunkOfOneKibibyte() { return "400\r\n" + std::string(1024, 'z') + "\r\n"; }

HostileRequest wholeBody(const std::string& target, std::size_t size) { return { callHead("POST", target, "Content-Length: " + std::to_string(size) + "\r\n"), "z", size }; }

HostileRequest bodyInPieces(const std::string& target, std::size_t size)
{
    return { callHead("POST", target, "Transfer-Encoding: chunked\r\n"), chunkOfOneKibibyte(), size / 1024 * chunkOfOneKibibyte().size() };
}

HostileRequest bodyWithoutItsLastByte(const std::string& target, std::size_t size) { return { callHead("POST", target, "Content-Length: " + std::to_string(size) + "\r\n"), "z", size - 1 }; }

}

/// Clients that stay inside no limit, or inside of each limit but too many at once, against the
/// programs as processes with little memory and few descriptors.
TEST_GROUP_BASE(HostileClients, HostileClientGroup)
{
    // All addresses of an entry, but that for callers.
    const std::vector<std::uint16_t> otherEntryPorts { directoryPort, readyPort, internalPort, metricsPort };
    const std::vector<std::uint16_t> agentPorts { internalPort, metricsPort };

    void withstandOnEach(const std::vector<std::uint16_t>& ports, std::size_t clients, const HostileRequest& request)
    {
        for (const auto port : ports)
            withstand(port, clients, request);
    }
};

TEST(HostileClients, TrailersWithoutEndOfCallers)
{
    startEntry();
    withstand(callerPort, longSenders, endlessTrailers);
}

TEST(HostileClients, TrailersWithoutEndOnAnEntrysOtherAddresses)
{
    startEntry();
    withstandOnEach(otherEntryPorts, longSenders, endlessTrailers);
}

TEST(HostileClients, TrailersWithoutEndAtAnAgent)
{
    startAgent();
    withstandOnEach(agentPorts, longSenders, endlessTrailers);
}

TEST(HostileClients, ChunkHeadersWithoutEndOfCallers)
{
    startEntry();
    withstand(callerPort, longSenders, endlessChunkHeader);
}

TEST(HostileClients, ChunkHeadersWithoutEndOnAnEntrysOtherAddresses)
{
    startEntry();
    withstandOnEach(otherEntryPorts, longSenders, endlessChunkHeader);
}

TEST(HostileClients, ChunkHeadersWithoutEndAtAnAgent)
{
    startAgent();
    withstandOnEach(agentPorts, longSenders, endlessChunkHeader);
}

TEST(HostileClients, BodiesThatAreAnnouncedFarOverTheLimit)
{
    startEntry();
    withstand(callerPort, uploaders, announcedTooLong);
    withstandOnEach(otherEntryPorts, longSenders, announcedTooLong);
}

TEST(HostileClients, BodiesThatGrowFarOverTheLimit)
{
    startEntry();
    withstand(callerPort, uploaders, sentTooLong);
}

TEST(HostileClients, BodiesThatGrowFarOverTheLimitOnAnEntrysOtherAddresses)
{
    startEntry();
    withstandOnEach(otherEntryPorts, longSenders, sentTooLong);
}

TEST(HostileClients, BodiesThatGrowFarOverTheLimitAtAnAgent)
{
    startAgent();
    withstandOnEach(agentPorts, longSenders, sentTooLong);
}

TEST(HostileClients, ManyWholeBodiesOfLegalSize)
{
    startEntry();
    withstand(callerPort, uploaders, wholeBody("/slow/a", bodyBytes));
}

TEST(HostileClients, ManyBodiesOfLegalSizeInPieces)
{
    startEntry();
    withstand(callerPort, uploaders, bodyInPieces("/slow/a", bodyBytes));
}

TEST(HostileClients, ManyBodiesOfLegalSizeThatStopShortOfTheirEnd)
{
    startEntry();
    withstand(callerPort, uploaders, bodyWithoutItsLastByte("/slow/a", bodyBytes));
}

TEST(HostileClients, BodiesThatStopShortOfTheirEndOnAnEntrysOtherAddresses)
{
    startEntry();
    withstandOnEach(otherEntryPorts, uploadersOfDefaultBodies, bodyWithoutItsLastByte("/", defaultBodyBytes));
}

TEST(HostileClients, BodiesThatStopShortOfTheirEndAtAnAgent)
{
    startAgent();
    withstandOnEach(agentPorts, uploadersOfDefaultBodies, bodyWithoutItsLastByte("/", defaultBodyBytes));
}

TEST(HostileClients, MoreConnectionsThanDescriptorsOfCallers)
{
    startEntry();
    withstand(callerPort, idlers, { "", "", 0 });
}

TEST(HostileClients, MoreUnfinishedHeadsThanDescriptorsOfCallers)
{
    startEntry();
    withstand(callerPort, idlers, { "POST /q/a HTTP/1.1\r\nHost: a.exam", "", 0 });
}

TEST(HostileClients, MoreConnectionsThanDescriptorsOnAnEntrysOtherAddresses)
{
    startEntry();
    withstandOnEach(otherEntryPorts, idlers, { "", "", 0 });
}

TEST(HostileClients, MoreConnectionsThanDescriptorsAtAnAgent)
{
    startAgent();
    withstandOnEach(agentPorts, idlers, { "", "", 0 });
}

// Clients that are connected to one address must not keep others from the rest.
TEST(HostileClients, ACrowdOnOneAddressLeavesTheOthersUsable)
{
    startEntry();
    HostileCrowd crowd(loop, at(callerPort), idlers, { "", "", 0 });
    crowd.settle();
    for (const auto port : otherEntryPorts)
        check(port, "beside a crowd of callers");
}

// Guards against limits that a client meets which stays inside those of the configuration.
TEST(HostileClients, ASingleBodyOfTheLargestSizeIsServed)
{
    startEntry();
    auto call = ordinaryCall();
    call.body.assign(bodyBytes, 'z');
    CHECK(isAnswered(loop, at(callerPort), call, 200));
    LONGS_EQUAL(bodyBytes, upstream.longestBody());
}

TEST(HostileClients, ASingleBodyOfTheLargestSizeInPiecesIsServed)
{
    startEntry();
    auto text = callHead("POST", "/q/a", "Transfer-Encoding: chunked\r\n");
    for (std::size_t piece = 0; piece < bodyBytes / 1024; ++piece)
        text += "400;name=\"value\"\r\n" + std::string(1024, 'z') + "\r\n";
    HostileCrowd client(loop, at(callerPort), 1, { text + "0\r\nX-Trailer: one\r\n\r\n", "", 0 });
    client.settle();
    LONGS_EQUAL(bodyBytes, upstream.longestBody());
}

// Calls that were read before a crowd came are answered, whatever it takes.
TEST(HostileClients, AcceptedCallsAreAnsweredInSpiteOfACrowd)
{
    constexpr std::size_t calls = 16;
    startEntry();
    std::vector<WholeResponse> answers;
    std::vector<HttpExchangePointer> exchanges;
    for (std::size_t number = 0; number < calls; ++number) {
        auto call = ordinaryCall();
        call.target = ConsumingUpstream::heldPath;
        call.body.assign(bodyBytes / 8, 'z');
        const auto deadline = monotonicNow() + Milliseconds(60000);
        exchanges.push_back(fetchWhole(loop, at(callerPort), call, deadline, deadline, [&answers](WholeResponse answer) { answers.push_back(std::move(answer)); }));
    }
    runUntil([this] { return upstream.heldRequests() == calls; });
    HostileCrowd idle(loop, at(callerPort), idlers, { "", "", 0 });
    idle.settle();
    HostileCrowd upload(loop, at(callerPort), uploaders, bodyWithoutItsLastByte("/slow/a", bodyBytes));
    upload.settle();
    LONGS_EQUAL(0, answers.size());
    upstream.answerHeld();
    runUntil([&answers] { return answers.size() == calls; });
    for (const auto& answer : answers)
        LONGS_EQUAL(200, answer.status);
    check(callerPort, "after the accepted calls");
}
