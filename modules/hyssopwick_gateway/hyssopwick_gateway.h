// Module: hyssopwick_gateway
// Dependencies: hyssopwick_deployment, hyssopwick_membership, hyssopwick_requests,
// hyssopwick_distribution, Boost.Asio and Boost.Beast, nlohmann-json
// Purpose: the entry and agent processes on the users' platform: forwarded calls, the
// replicated view of the store, and the transfer and activation of weights. A process
// runs on one event loop; the decisions are in the modules listed above.
#pragma once

#include "agent/AgentGateway.h"
#include "entry/EntryGateway.h"
#include "runtime/GatewayMain.h"
