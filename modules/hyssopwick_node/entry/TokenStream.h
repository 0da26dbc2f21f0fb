#pragma once

#include "RequestFlow.h"

namespace hyssopwick {

/// Splits the engine's event stream into complete events, checks the version and index of each
/// token, and forwards it to the caller, or collects it if the answer is not streamed. No token is
/// accepted twice, out of order or from another version than the pinned one.
class TokenStream {
public:
    /// Processes received bytes.
    /// \returns false to abort the stream: the caller left, a token is missing, malformed or of
    ///          another version, or an event is too long
    static bool receive(RequestFlow& flow, std::string_view data);

private:
    static bool receiveEvent(RequestFlow& flow, std::string_view event);
    static bool forwardToken(RequestFlow& flow, const nlohmann::json& token);
};

}
