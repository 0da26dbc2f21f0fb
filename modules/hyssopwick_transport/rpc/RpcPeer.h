#pragma once

#include "../http/HttpClient.h"
#include "PeerAuthenticator.h"
#include "RpcCodec.h"

#include <nlohmann/json.hpp>

namespace hyssopwick {

/// Path of the JSON-RPC endpoint of every process of this system.
constexpr const char* rpcPath = "/rpc";

/// Largest JSON-RPC message that a process accepts, in bytes.
constexpr std::size_t maxRpcBytes = std::size_t(4) << 20;

/// Client for the authenticated JSON-RPC methods of other processes of this system.
class RpcPeer {
public:
    using ResultHandler = std::function<void(Outcome<nlohmann::json>)>;

    RpcPeer(HttpClient& client, PeerAuthenticator& authenticator);

    /// Starts a call; \p onResult runs on the HTTP client's thread and must not block.
    /// \param address   "ip:port" of the other process
    /// \param deadline  the call fails with ErrorCode::Timeout after it
    void call(const std::string& address, const std::string& method, const nlohmann::json& parameters, TimePoint deadline,
        ResultHandler onResult);

    /// Posts an authenticated JSON message to another path than the JSON-RPC endpoint. For
    /// messages that are answered asynchronously, such as a claim, which waits for its batch.
    void post(const std::string& address, const std::string& path, const nlohmann::json& body, TimePoint deadline, ResultHandler onResult);

    /// Starts a call and waits for its result.
    Outcome<nlohmann::json> callAndWait(const std::string& address, const std::string& method, const nlohmann::json& parameters,
        TimePoint deadline);

    /// Builds a signed POST request, for transfers that the caller starts itself.
    HttpClientRequest signedPost(const std::string& address, const std::string& path, std::string body, TimePoint deadline);

private:
    HttpClient& m_client;
    PeerAuthenticator& m_authenticator;
};

/// Serves the JSON-RPC endpoint of a process: checks size and authentication,
/// counts refusals, and dispatches.
class RpcEndpoint {
public:
    using Method = std::function<nlohmann::json(const nlohmann::json& parameters)>;

    RpcEndpoint(PeerAuthenticator& authenticator, MetricsRegistry& metrics);

    /// Registers a method. Call it before the server starts.
    void add(const std::string& name, Method method);

    /// Answers one JSON-RPC request. Thread-safe.
    void handle(const HttpRequest& request, HttpResponder& responder);

    /// Checks size and authentication of a message to any path and answers it if it is
    /// refused. Thread-safe.
    /// \returns whether the message may be processed
    bool verify(const HttpRequest& request, HttpResponder& responder);

private:
    PeerAuthenticator& m_authenticator;
    MetricsRegistry& m_metrics;
    RpcDispatcher m_dispatcher;
};

}
