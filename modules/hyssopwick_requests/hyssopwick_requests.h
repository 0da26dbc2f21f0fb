// Module: hyssopwick_requests
// Dependencies: hyssopwick_core, hyssopwick_deployment, nlohmann-json
// Purpose: the decisions about a request: which entry VM the caller uses, whether it is
// admitted, which upstream VM runs it, whether it is retried, and at-most-once execution
// of non-idempotent calls. All decisions are pure (no I/O, no clock).
#pragma once

#include "admission/AdmissionDecision.h"
#include "admission/CallQueue.h"
#include "admission/ConcurrencyDecision.h"
#include "admission/RateLimitShareDecision.h"
#include "admission/UpstreamLimitShare.h"
#include "admission/UpstreamLimits.h"
#include "claims/ClaimBucket.h"
#include "claims/ClaimIdentity.h"
#include "placing/EnginePool.h"
#include "placing/EngineSubset.h"
#include "placing/PrefillEstimate.h"
#include "placing/UpstreamPool.h"
#include "retries/CrashQuarantine.h"
#include "retries/CrashSuspicion.h"
#include "retries/RetryDecision.h"
#include "routing/CallerDemand.h"
#include "routing/EntrySelection.h"
#include "routing/PrefixIndex.h"
#include "routing/Refusal.h"
#include "routing/RouteDecision.h"
#include "streams/EventStreamSplitter.h"
#include "streams/ReadingPause.h"
#include "upstream_admission/UpstreamAdmissionDecision.h"
