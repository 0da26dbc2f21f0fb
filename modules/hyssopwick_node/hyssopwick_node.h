// Module: hyssopwick_node
// Dependencies: hyssopwick_transport, hyssopwick_distribution, hyssopwick_requests,
// hyssopwick_membership
// Purpose: the shells around the decisions: the entry process and the agent
// process, each a class that a thin daemon or an in-process bench starts and stops.
#pragma once

#include "agent/AgentNode.h"
#include "entry/EntryNode.h"
#include "runtime/DaemonMain.h"
#include "runtime/NodeContext.h"
