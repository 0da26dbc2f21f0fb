#pragma once

#include <cstdint>
#include <hyssopwick_core.h>
#include <optional>

namespace hyssopwick {

/// What a caller says of one call, decoded from its headers.
struct CallDescription {
    std::string requestId; ///< of this attempt of the caller
    std::string accountKey; ///< "" without one
    std::optional<Milliseconds> callerTimeout; ///< how long the caller will wait from now
    std::string model;
    unsigned promptTokens = 0;
    unsigned maxAnswerTokens = 0;
    unsigned answerTokensHint = 0; ///< the caller's guess of the answer's length; 0 for none
    std::string promptPrefix; ///< identity of the last shared part of the prompt; "" for none
    std::string lastEventId; ///< id of the last event the caller has; "" to start

    auto tied() const
    {
        return std::tie(requestId, accountKey, callerTimeout, model, promptTokens, maxAnswerTokens, answerTokensHint, promptPrefix, lastEventId);
    }
    bool operator==(const CallDescription& other) const { return tied() == other.tied(); }
    bool operator!=(const CallDescription& other) const { return !(*this == other); }
};

/// What this system adds to a call on its way to an upstream.
struct CallForwarding {
    Milliseconds timeLeft { 0 };
    std::string expectedUpstream; ///< id of the only upstream that may run the call
    std::string account; ///< "" when the route needs no key
    std::string lastEventId; ///< overrides the caller's; "" keeps it
    std::optional<std::uint64_t> expectedVersion; ///< of the weights
    std::optional<unsigned> priority; ///< 0 is the most urgent

    auto tied() const { return std::tie(timeLeft, expectedUpstream, account, lastEventId, expectedVersion, priority); }
    bool operator==(const CallForwarding& other) const { return tied() == other.tied(); }
    bool operator!=(const CallForwarding& other) const { return !(*this == other); }
};

/// What the head of an upstream's answer says.
struct AnswerDescription {
    std::string requestId; ///< of the call that it answers; "" when not said
    bool isNotRun = false; ///< the upstream promises that it did not and will not run the call
    bool isWrongUpstream = false; ///< refused because another upstream was expected
    bool hasReceipt = false; ///< carries the upstream's signature of the answer
    std::optional<Milliseconds> retryAfter;
    std::uint64_t weightsVersion = 0; ///< that the answer was made with; 0 when not said

    auto tied() const { return std::tie(requestId, isNotRun, isWrongUpstream, hasReceipt, retryAfter, weightsVersion); }
    bool operator==(const AnswerDescription& other) const { return tied() == other.tied(); }
    bool operator!=(const AnswerDescription& other) const { return !(*this == other); }
};

}
