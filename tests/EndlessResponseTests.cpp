#include "EndlessServer.h"

#include <agent/AgentWeights.h>
#include <agent/UpstreamClient.h>

using namespace hyssopwick;

TEST_GROUP_BASE(EndlessResponse, EndlessResponseGroup) {};

TEST(EndlessResponse, AHeadWithoutEndIsCut)
{
    std::string fields;
    for (int i = 0; i < 4000; ++i)
        fields += "X-More-" + std::to_string(i) + ": and more\r\n";
    checkLimit(fetch(okHead, fields), "head over 65536 bytes");
    checkHeldBelow(headBound);
}

TEST(EndlessResponse, AFieldWithoutEndIsCut)
{
    fetch(std::string(okHead) + "X-Long: ", "z");
    checkHeldBelow(headBound);
}

TEST(EndlessResponse, InterimAnswersWithoutEndAreCut)
{
    checkLimit(fetch("", "HTTP/1.1 100 Continue\r\n\r\n"), "head over 65536 bytes");
    checkHeldBelow(headBound);
}

TEST(EndlessResponse, InterimAnswersWithFieldsWithoutEndAreCut)
{
    checkLimit(fetch("", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"), "head over 65536 bytes");
    checkHeldBelow(headBound);
}

TEST(EndlessResponse, TrailersWithoutEndAreCut)
{
    checkLimit(fetch(std::string(okHead) + chunkedEnd + "0\r\n", "X-Trailer: and more\r\n"), "head over 65536 bytes");
    checkHeldBelow(headBound);
}

TEST(EndlessResponse, BytesThatAreNoHttpAreCut)
{
    fetch("", "zzzz");
    checkHeldBelow(headBound);
}

TEST(EndlessResponse, ABodyUntilTheConnectionsEndIsCut)
{
    checkLimit(fetch(std::string(okHead) + "\r\n", "zzzz"), "body over ");
    checkHeldBelow(bodyBound);
}

TEST(EndlessResponse, ChunksWithoutEndAreCut)
{
    checkLimit(fetch(std::string(okHead) + chunkedEnd, chunkOf(std::string(200, 'z'))), "body over ");
    checkHeldBelow(bodyBound);
}

TEST(EndlessResponse, AChunkHeaderWithoutEndIsCut)
{
    fetch(std::string(okHead) + chunkedEnd + "4;", "z");
    checkHeldBelow(headBound);
}

TEST(EndlessResponse, AnErrorsBodyInPlaceOfAStreamIsCut)
{
    checkLimit(fetch("HTTP/1.1 500 Internal Server Error\r\n\r\n", "zzzz", [](const HttpClientResponse&, std::string_view) { return true; }), "body over ");
    checkHeldBelow(bodyBound);
}

TEST(EndlessResponse, TrailersOfAStreamWithoutEndAreCut)
{
    checkLimit(fetch(std::string(okHead) + chunkedEnd + chunkOf("data: 1\n\n") + "0\r\n", "X-Trailer: and more\r\n", [](const HttpClientResponse&, std::string_view) { return true; }), "head over 65536 bytes");
    checkHeldBelow(headBound);
}

// The limit must not cut answers that are long, but no longer than it.
TEST(EndlessResponse, AWholeHeadWithinTheLimitIsReceived)
{
    HttpServer server({ "127.0.0.1:0" }, [](const HttpRequest&, const HttpResponderPointer& responder) { responder->send(200, std::string(4 * mebibyte, 'x'), { { "X-Long", std::string(60'000, 'z') } }); });
    CHECK(server.start().has_value());
    HttpClient client;
    HttpClientRequest request;
    request.method = "GET";
    request.url = "http://" + server.address() + "/";
    request.deadline = monotonicNow() + deadline;
    const auto answer = client.send(std::move(request));
    CHECK(answer.has_value());
    LONGS_EQUAL(60'000, answer.value().headers.at("x-long").size());
    LONGS_EQUAL(4 * mebibyte, answer.value().body.size());
}

TEST(EndlessResponse, TheStoresAnswerIsCut)
{
    EndlessServer server(std::string(okHead) + "\r\n", "zzzz");
    HttpClient client;
    KeyValueClient store(client, server.address(), "entry-1");
    awaitFailure(server, std::async(std::launch::async, [&] { return store.watch("head", 0, monotonicNow() + deadline); }));
    checkHeldBelow(2 * bodyBound);
}

TEST(EndlessResponse, TheVmListsAnswerIsCut)
{
    EndlessServer server(std::string(okHead) + "\r\n", "zzzz");
    HttpClient client;
    VmListClient list(client, server.address());
    awaitFailure(server, std::async(std::launch::async, [&] { return list.read(); }));
    checkHeldBelow(bodyBound);
}

TEST(EndlessResponse, ThePeersAnswerIsCut)
{
    EndlessServer server(std::string(okHead) + "\r\n", "zzzz");
    NodeContext context(
        endlessServerSettings("entry", "127.0.0.1:0", server.address()), [](const std::string&) {}, 1);
    awaitFailure(server, std::async(std::launch::async, [&] { return context.rpc.callAndWait(server.address(), "report", nlohmann::json::object(), monotonicNow() + deadline); }));
    checkHeldBelow(bodyBound);
}

TEST(EndlessResponse, TheUpstreamsReportIsCut)
{
    EndlessServer server(std::string(okHead) + "\r\n", "zzzz");
    NodeContext context(
        endlessServerSettings("engine", "127.0.0.1:0", server.address()), [](const std::string&) {}, 1);
    UpstreamClient upstream(context);
    awaitFailure(server, std::async(std::launch::async, [&] { return upstream.load(); }));
    checkHeldBelow(bodyBound);
}

TEST(EndlessResponse, TheUpstreamsAnswerToAnOrderIsCut)
{
    EndlessServer server("HTTP/1.1 409 Conflict\r\n\r\n", "zzzz");
    NodeContext context(
        endlessServerSettings("engine", "127.0.0.1:0", server.address()), [](const std::string&) {}, 1);
    UpstreamClient upstream(context);
    awaitFailure(server, std::async(std::launch::async, [&] { return upstream.orderRole("decode", 1, monotonicNow() + deadline); }));
    checkHeldBelow(bodyBound);
}

TEST(EndlessResponse, TheManifestOfAnOriginIsCut)
{
    EndlessServer server(std::string(okHead) + "\r\n", "zzzz");
    NodeContext context(
        endlessServerSettings("engine", "127.0.0.1:0", server.address()), [](const std::string&) {}, 2);
    AgentWeights weights(context);
    WantedWeights wanted;
    wanted.placement.name = "chat";
    wanted.placement.version = "v1";
    wanted.placement.manifest = digestOf(1);
    weights.setWanted({ wanted });
    checkClosed(server);
    context.stop();
    checkHeldBelow(4 * Manifest::maxTextBytes);
}
