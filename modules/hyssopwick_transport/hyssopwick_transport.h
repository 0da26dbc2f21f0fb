// Module: hyssopwick_transport
// Dependencies: hyssopwick_core, Pistache, Boost.Beast, libcurl, libjsonrpccpp, nlohmann-json
// Purpose: HTTP server and client, authenticated JSON-RPC between processes of this
// system, and clients for the platform's key-value service and VM list.
#pragma once

#include "http/HttpClient.h"
#include "http/HttpMessages.h"
#include "http/HttpServer.h"
#include "keyvalue/KeyValueClient.h"
#include "keyvalue/KeyValueLimiter.h"
#include "keyvalue/KeyValueStore.h"
#include "rpc/PeerAuthenticator.h"
#include "rpc/RpcCodec.h"
#include "rpc/RpcPeer.h"
#include "vmlist/VmListClient.h"
