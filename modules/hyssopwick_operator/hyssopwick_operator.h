// Module: hyssopwick_operator
// Dependencies: hyssopwick_transport, hyssopwick_records, hyssopwick_audit,
// Boost.Program_options
// Purpose: the operators' command line: validate, plan, apply, status, explain,
// audit. Only apply changes anything: the configuration in the key-value service.
#pragma once

#include "apply/Applier.h"
#include "commands/CommandLine.h"
#include "commands/RequestTimeline.h"
