#pragma once

#include "../runtime/NodeContext.h"

#include <hyssopwick_requests.h>

namespace hyssopwick {

/// State of one caller's request at an entry VM. Only one thread uses a flow at a time; threads
/// pass it on through locked queues.
struct RequestFlow {
    std::uint64_t id = 0;
    std::string requestId; ///< from the caller, or assigned here
    std::string account;
    std::int64_t priority = 0;
    TimePoint deadline;
    TimePoint receivedAt;
    TimePoint admittedAt;
    HttpResponderPointer responder;
    Digest digest; ///< of account, path and body; identifies a request that crashes upstreams
    std::string path; ///< path at the upstream
    nlohmann::json body;
    RouteQuery query;
    bool isIdempotent = true;
    bool wantsStream = false;
    bool mustRunAlone = false;

    std::optional<ClaimIdentity> identity; ///< of a non-idempotent call
    std::string holder;
    bool isClaimed = false;

    unsigned attemptCount = 0;
    bool mayHaveRun = false; ///< an attempt was sent whose outcome is not known
    unsigned busyAnswers = 0;
    std::string upstreamVm; ///< upstream of the current attempt
    std::string attemptId;
    std::atomic<HttpClient::TransferId> transfer { 0 };

    std::string partialEvent; ///< bytes after the last complete event of the stream
    std::size_t unusedBytes = 0; ///< of the stream's events since its latest token
    std::uint64_t repeatedTokens = 0; ///< tokens of the current attempt that an earlier one had delivered
    const char* exceededLimit = nullptr; ///< why the stream was cut, if it was too long
    std::uint64_t acceptedTokens = 0; ///< tokens forwarded to the caller or collected for it
    std::string collectedText; ///< of an answer that is not streamed
    bool isStreamStarted = false;
    bool isStreamDone = false;
    bool isStreamBroken = false;
    bool hasCallerLeft = false;
};

using RequestFlowPointer = std::shared_ptr<RequestFlow>;

}
