// Module: hyssopwick_core
// Dependencies: Boost.Outcome, Boost.Histogram, glog, OpenSSL
// Purpose: value types, errors, findings, hashing, event log, metrics, worker pool,
// scheduler and the budget of clients, which all other modules use.
#pragma once

#include "concurrency/Scheduler.h"
#include "concurrency/WorkerPool.h"
#include "limits/RequestBudget.h"
#include "logging/EventLine.h"
#include "logging/EventLog.h"
#include "logging/StandardOutputLog.h"
#include "metrics/MetricsRegistry.h"
#include "values/Digest.h"
#include "values/Error.h"
#include "values/Finding.h"
#include "values/RandomSource.h"
#include "values/Rendezvous.h"
#include "values/TimePoint.h"
#include "values/VmIdentity.h"
