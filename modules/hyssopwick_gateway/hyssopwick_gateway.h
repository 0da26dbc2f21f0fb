// Module: hyssopwick_gateway
// Dependencies: hyssopwick_deployment, hyssopwick_membership, hyssopwick_requests,
// hyssopwick_distribution, Boost.Asio and Boost.Beast, nlohmann-json
// Purpose: the entry and agent processes on a platform: pass-through traffic, the
// replicated view of the store, and the transfer and activation of weights. One event
// loop runs all of a process; decisions are in the modules that it depends on.
#pragma once

#include "agent/AgentGateway.h"
#include "entry/EntryGateway.h"
#include "runtime/GatewayMain.h"
