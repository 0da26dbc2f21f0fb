#pragma once

#include "../http/HttpExchange.h"
#include "../runtime/GatewayContext.h"

namespace hyssopwick {

/// The agent's access to the engine on its own VM: reports, staged chunks and orders.
class EngineClient {
public:
    explicit EngineClient(GatewayContext& context);

    /// Fetches a report. That of an engine that may be cold has from its health checks how long it is.
    /// \param service  of the engine, when it is known
    void fetchReport(const std::optional<ServiceDescription>& service, std::function<void(Outcome<EngineReport>)> handler);

    /// Reads a staged chunk. Fails with ErrorCode::NotFound when there is none.
    void readStaged(const std::string& model, unsigned chunk, std::function<void(Outcome<std::string>)> handler);

    /// Writes a chunk into the staging area and replaces the one that is there.
    void writeStaged(const std::string& model, unsigned chunk, std::string bytes, std::function<void(Outcome<void>)> handler);

    /// Sends an order. \param sendBy  the order is not sent after this time, however late this process is
    void order(const LoadOrder& order, TimePoint sendBy, std::function<void(OrderResult)> handler);

    /// Orders the engine to give up the weights that it has loaded, when the calls that it runs have ended. It begins no
    /// further call until it has loaded others.
    void retire(const LoadOrder& loaded, std::function<void(OrderResult)> handler);

private:
    void sendOrder(HttpCall order, const TransferLimits& limits, std::function<void(OrderResult)> handler, std::function<bool(HttpCall&)> maySend);
    void checkHealth(const std::string& path);
    void fetch(HttpCall call, std::function<void(WholeResponse)> handler, std::shared_ptr<KeptConnections> kept = nullptr);

    GatewayContext& m_context;
    TimePoint m_coldUntil; // as the engine last said
    TimePoint m_checkHealthAt;
    std::shared_ptr<KeptConnections> m_kept = std::make_shared<KeptConnections>(); // for requests that may be repeated
};

}
