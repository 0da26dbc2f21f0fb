#pragma once

#include "RequestFlow.h"

#include <hyssopwick_records.h>
#include <variant>

namespace hyssopwick {

/// Largest request body that callers may send, in bytes.
constexpr std::size_t maxCallerBodyBytes = std::size_t(1) << 20;

/// Validates a caller's request against the active configuration and turns it into a
/// RequestFlow, or into a refusal with RunState::NotRun. docs/API.md describes the requests.
class RequestParser {
public:
    using Result = std::variant<RequestFlowPointer, Refusal>;

    /// \param bundle   active configuration
    /// \param now      monotonic time of arrival
    /// \param wallNow  wall-clock time of arrival
    static Result parse(const HttpRequest& request, const Bundle& bundle, TimePoint now, UnixMilliseconds wallNow);

private:
    static std::optional<Refusal> authenticate(const HttpRequest& request, const Bundle& bundle, RequestFlow& flow);
    static std::optional<Refusal> parseDeadline(const HttpRequest& request, TimePoint now, UnixMilliseconds wallNow, RequestFlow& flow);
    static std::optional<Refusal> parseCompletion(const HttpRequest& request, const Bundle& bundle, RequestFlow& flow);
    static std::optional<Refusal> parseCall(const HttpRequest& request, const Bundle& bundle, UnixMilliseconds wallNow, RequestFlow& flow);
    static std::optional<Refusal> parseIdentity(const HttpRequest& request, UnixMilliseconds wallNow, RequestFlow& flow);
};

}
