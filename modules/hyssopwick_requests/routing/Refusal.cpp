#include "Refusal.h"

namespace hyssopwick {

namespace {

    struct ReasonRow {
        RefusalReason reason;
        const char* name;
        int status;
    };

    constexpr ReasonRow reasonRows[] = {
        { RefusalReason::Malformed, "malformed", 400 },
        { RefusalReason::Unauthenticated, "unauthenticated", 401 },
        { RefusalReason::UnknownModel, "unknown-model", 404 },
        { RefusalReason::UnknownService, "unknown-service", 404 },
        { RefusalReason::UnknownMethod, "unknown-method", 404 },
        { RefusalReason::MissingIdempotencyKey, "missing-idempotency-key", 400 },
        { RefusalReason::IdempotencyKeyReused, "idempotency-key-reused", 409 },
        { RefusalReason::IdempotencyKeyExpired, "idempotency-key-expired", 400 },
        { RefusalReason::DeadlinePassed, "deadline-passed", 504 },
        { RefusalReason::DeadlineUnreachable, "deadline-unreachable", 503 },
        { RefusalReason::RateLimited, "rate-limited", 429 },
        { RefusalReason::Overloaded, "overloaded", 503 },
        { RefusalReason::NoUpstream, "no-upstream", 503 },
        { RefusalReason::NoUpstreamInRegion, "no-upstream-in-region", 503 },
        { RefusalReason::UpstreamBusy, "upstream-busy", 503 },
        { RefusalReason::UpstreamFailed, "upstream-failed", 502 },
        { RefusalReason::UpstreamLeaving, "upstream-leaving", 503 },
        { RefusalReason::VersionNotServed, "version-not-served", 503 },
        { RefusalReason::StreamBroken, "stream-broken", 502 },
        { RefusalReason::RetryBudgetSpent, "retry-budget-spent", 503 },
        { RefusalReason::ClaimUnavailable, "claim-unavailable", 503 },
        { RefusalReason::OutcomeUnknown, "outcome-unknown", 409 },
        { RefusalReason::CrashSuspected, "crash-suspected", 422 },
        { RefusalReason::EntryLeaving, "entry-leaving", 503 },
        { RefusalReason::EntryBusy, "entry-busy", 503 },
        { RefusalReason::NotReady, "not-ready", 503 },
        { RefusalReason::ConfigurationOutdated, "configuration-outdated", 503 },
        { RefusalReason::TooLarge, "too-large", 413 },
    };

    const ReasonRow& rowOf(RefusalReason reason)
    {
        for (const auto& row : reasonRows) {
            if (row.reason == reason)
                return row;
        }
        return reasonRows[0];
    }

}

const char* refusalReasonName(RefusalReason reason) { return rowOf(reason).name; }

int refusalStatus(RefusalReason reason) { return rowOf(reason).status; }

const char* runStateName(RunState state)
{
    switch (state) {
    case RunState::NotRun:
        return "not-run";
    case RunState::Unknown:
        return "unknown";
    case RunState::Partial:
        return "partial";
    }
    return "unknown";
}

}
