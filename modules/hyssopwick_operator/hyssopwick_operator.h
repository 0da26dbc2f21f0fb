// Module: hyssopwick_operator
// Dependencies: hyssopwick_transport, hyssopwick_records, hyssopwick_audit,
// Boost.Program_options
// Purpose: the operators' command line: validate, plan, apply, status, audit. Its
// only write is a record.
#pragma once

#include "apply/Applier.h"
#include "commands/CommandLine.h"
#include "commands/RequestStory.h"
