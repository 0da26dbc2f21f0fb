#pragma once

// RpcCodec.cpp is compiled as C++14, because libjsonrpccpp's headers do not compile as
// C++17. This header therefore uses nothing newer and includes none of them.

#include <functional>
#include <memory>
#include <string>

namespace hyssopwick {

/// Dispatches JSON-RPC 2.0 requests to methods. Parameters and results are JSON text.
class RpcDispatcher {
public:
    /// Receives the parameters and returns the result; a thrown std::exception
    /// becomes a JSON-RPC error.
    using Method = std::function<std::string(const std::string& parameters)>;

    RpcDispatcher();
    ~RpcDispatcher();

    /// Registers \p method under \p name. Call it before handle().
    void add(const std::string& name, Method method);

    /// Handles one request message and returns the response message. Thread-safe.
    std::string handle(const std::string& message);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/// Builds the JSON-RPC 2.0 request message of a call.
/// \param parameters  a JSON object as text
std::string buildRpcRequest(const std::string& method, const std::string& parameters);

/// Parses a JSON-RPC 2.0 response message.
/// \param result  receives the result as JSON text, or the error's message
/// \returns false for an error response or a malformed message
bool parseRpcResponse(const std::string& message, std::string& result);

}
