// Module: hyssopwick_audit
// Dependencies: hyssopwick_core, nlohmann-json
// Purpose: checks collected event logs against every promise (guarantee) of the system.
// A promise that the logs cannot decide is reported as undecided, never as held.
#pragma once

#include "history/AuditEvent.h"
#include "history/Auditor.h"
#include "history/PromiseResult.h"
