#pragma once

#include "../http/HttpExchange.h"
#include "../runtime/GatewayContext.h"

namespace hyssopwick {

/// The agent's access to the engine on its own VM: reports, staged chunks and orders.
class EngineClient {
public:
    explicit EngineClient(GatewayContext& context);

    void fetchReport(std::function<void(Outcome<EngineReport>)> handler);

    /// Reads a staged chunk. Fails with ErrorCode::NotFound when there is none.
    void readStaged(const std::string& model, unsigned chunk, std::function<void(Outcome<std::string>)> handler);

    /// Writes a chunk into the staging area and replaces the one that is there.
    void writeStaged(const std::string& model, unsigned chunk, std::string bytes, std::function<void(Outcome<void>)> handler);

    void order(const LoadOrder& order, std::function<void(OrderResult)> handler);

private:
    void fetch(HttpCall call, std::function<void(WholeResponse)> handler, std::shared_ptr<KeptConnections> kept = nullptr);

    GatewayContext& m_context;
    std::shared_ptr<KeptConnections> m_kept = std::make_shared<KeptConnections>(); // for requests that may be repeated
};

}
