// Module: hyssopwick_requests
// Dependencies: hyssopwick_core, hyssopwick_deployment, nlohmann-json
// Purpose: the decisions on a request's way: which entry VM a caller uses, whether
// it is admitted, which upstream VM runs it, whether it is tried again, and that a
// non-idempotent call runs at most once. All decisions are pure.
#pragma once

#include "admission/AdmissionDecision.h"
#include "admission/CallQueue.h"
#include "admission/ConcurrencyDecision.h"
#include "admission/RateLimitShareDecision.h"
#include "claims/ClaimBucket.h"
#include "claims/ClaimIdentity.h"
#include "door/UpstreamAdmissionDecision.h"
#include "placing/EnginePool.h"
#include "placing/PrefillEstimate.h"
#include "placing/UpstreamPool.h"
#include "retries/CrashSuspicion.h"
#include "retries/RetryDecision.h"
#include "routing/EntrySelection.h"
#include "routing/PrefixIndex.h"
#include "routing/Refusal.h"
#include "routing/RouteDecision.h"
#include "streams/EventStreamSplitter.h"
