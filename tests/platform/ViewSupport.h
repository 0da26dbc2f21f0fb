#pragma once

#include "CallFlowSupport.h"

#include <PlatformAdapter.h>
#include <openssl/evp.h>

namespace hyssopwick {

inline std::string base64(const std::string& bytes)
{
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()), reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

inline std::string httpAnswer(const std::string& body) { return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body; }

/// The view of one process, with its context.
struct ViewProcess {
    ViewProcess(EventLoop& loop, const std::string& id, const std::string& storeAddress, bool isEntry)
        : context { loop, describe(storeAddress), platform::platformPorts(), log, metrics, 1 }
        , replicator(context, { id, "127.0.0.1:1", "north", "north-a", isEntry ? "entry" : "agent" }, isEntry)
    {
    }

    static ProcessDescription describe(const std::string& storeAddress)
    {
        ProcessDescription description;
        description.ip = "127.0.0.1";
        description.region = "north";
        description.failureDomain = "north-a";
        description.storeAddress = storeAddress;
        return description;
    }

    // Requests the view as a peer does.
    std::shared_ptr<RecordedExchange> requestView(std::uint64_t known)
    {
        ServerRequest request;
        request.method = "GET";
        request.target = "/view?after=" + std::to_string(known);
        const auto exchange = std::make_shared<RecordedExchange>(std::move(request));
        CHECK(replicator.serve(exchange));
        return exchange;
    }

    EventLog log { "test", [](const std::string&) {} };
    MetricsRegistry metrics;
    GatewayContext context;
    ViewReplicator replicator;
};

}
