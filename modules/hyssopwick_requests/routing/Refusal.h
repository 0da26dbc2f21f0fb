#pragma once

#include <hyssopwick_core.h>

namespace hyssopwick {

/// What a refusal guarantees about whether the call ran.
enum class RunState {
    NotRun, ///< the call was not run and never will be
    Unknown, ///< the upstream may have run the call
    Partial, ///< part of a streamed answer was delivered
};

/// Why a request was refused. Each value has its own counter.
enum class RefusalReason {
    Malformed,
    Unauthenticated,
    UnknownModel,
    UnknownService,
    UnknownMethod,
    MissingIdempotencyKey,
    IdempotencyKeyReused,
    IdempotencyKeyExpired,
    DeadlinePassed,
    DeadlineUnreachable,
    RateLimited,
    Overloaded,
    NoUpstream,
    NoUpstreamInRegion,
    UpstreamBusy,
    UpstreamFailed,
    UpstreamLeaving,
    VersionNotServed,
    StreamBroken,
    RetryBudgetSpent,
    ClaimUnavailable,
    OutcomeUnknown,
    CrashSuspected,
    EntryLeaving,
    EntryBusy,
    NotReady,
    ConfigurationOutdated,
    TooLarge,
};

/// Returns the name of a reason in answers, logs and counters, for example "rate-limited".
const char* refusalReasonName(RefusalReason reason);

/// Returns the HTTP status of a reason.
int refusalStatus(RefusalReason reason);

/// Returns "not-run", "unknown" or "partial".
const char* runStateName(RunState state);

/// The final answer to a request that was not served.
struct Refusal {
    RefusalReason reason;
    RunState runState = RunState::NotRun;
    Milliseconds retryAfter { 0 }; ///< zero: a retry does not help
    std::string detail;
    std::vector<std::string> alternatives; ///< addresses of other entry VMs

    auto tied() const { return std::tie(reason, runState, retryAfter, detail, alternatives); }
    bool operator==(const Refusal& other) const { return tied() == other.tied(); }
    bool operator!=(const Refusal& other) const { return !(*this == other); }
};

}
