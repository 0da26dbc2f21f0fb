#pragma once

#include <cstdint>
#include <hyssopwick_core.h>
#include <optional>
#include <vector>

namespace hyssopwick {

/// One call, decoded from the headers of the caller's request.
struct CallDescription {
    std::string requestId; ///< of this attempt by the caller
    std::string accountKey; ///< "" without one
    std::optional<Milliseconds> callerTimeout; ///< from now; absent if the caller states none
    std::string model;
    unsigned promptTokens = 0;
    unsigned maxAnswerTokens = 0;
    unsigned answerTokensHint = 0; ///< the caller's estimate of the answer's length; 0 for none
    std::string promptPrefix; ///< id of the last block of the shared prompt prefix; "" for none
    std::vector<std::string> sharedPromptBlocks; ///< ids of the prompt's blocks that other requests may have too, in order
    std::string lastEventId; ///< that the caller received; "" to start from the beginning

    auto tied() const
    {
        return std::tie(requestId, accountKey, callerTimeout, model, promptTokens, maxAnswerTokens, answerTokensHint, promptPrefix, sharedPromptBlocks, lastEventId);
    }
    bool operator==(const CallDescription& other) const { return tied() == other.tied(); }
    bool operator!=(const CallDescription& other) const { return !(*this == other); }
};

/// What this system adds to a call that it forwards to an upstream.
struct CallForwarding {
    Milliseconds timeLeft { 0 };
    std::string expectedUpstream; ///< id of the only upstream that may run the call
    std::string account; ///< "" when the route needs no key
    std::string lastEventId; ///< overrides the caller's; "" leaves that unchanged
    std::optional<std::uint64_t> expectedVersion; ///< of the weights
    std::optional<unsigned> priority; ///< 0 is the most urgent

    auto tied() const { return std::tie(timeLeft, expectedUpstream, account, lastEventId, expectedVersion, priority); }
    bool operator==(const CallForwarding& other) const { return tied() == other.tied(); }
    bool operator!=(const CallForwarding& other) const { return !(*this == other); }
};

/// An upstream's answer, decoded from its status and header fields.
struct AnswerDescription {
    std::string requestId; ///< of the answered call; "" when not stated
    bool isNotRun = false; ///< the upstream guarantees that it did not and will not run the call
    bool isWrongUpstream = false; ///< refused because the call expected another upstream
    bool hasReceipt = false; ///< carries the upstream's signature, which is not verified here
    bool isLeaving = false; ///< the upstream said that it leaves
    std::optional<Milliseconds> retryAfter; ///< within which the upstream wants no further call
    bool hasUnreadableRetryAfter = false;
    std::optional<double> callLimit; ///< calls per second that the upstream takes from all entry VMs together
    bool hasUnreadableCallLimit = false;
    std::uint64_t weightsVersion = 0; ///< that produced the answer; 0 when not stated

    auto tied() const { return std::tie(requestId, isNotRun, isWrongUpstream, hasReceipt, isLeaving, retryAfter, hasUnreadableRetryAfter, callLimit, hasUnreadableCallLimit, weightsVersion); }
    bool operator==(const AnswerDescription& other) const { return tied() == other.tied(); }
    bool operator!=(const AnswerDescription& other) const { return !(*this == other); }
};

}
