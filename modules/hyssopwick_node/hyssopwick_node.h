// Module: hyssopwick_node
// Dependencies: hyssopwick_transport, hyssopwick_distribution, hyssopwick_requests,
// hyssopwick_membership
// Purpose: I/O, threads and timers around the decision classes: the entry process and the
// agent process, each a class that a daemon or an in-process benchmark starts and stops.
#pragma once

#include "agent/AgentNode.h"
#include "entry/EntryNode.h"
#include "runtime/DaemonMain.h"
#include "runtime/NodeContext.h"
