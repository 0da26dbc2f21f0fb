// Module: hyssopwick_deployment
// Dependencies: hyssopwick_core, nlohmann-json
// Purpose: platform-independent model of the operators' configuration, the upstreams and
// the calls; the replicated view of the store that they are read from; and the codec
// interfaces for a platform's formats.
#pragma once

#include "model/Call.h"
#include "model/DeploymentConfiguration.h"
#include "model/EngineReport.h"
#include "model/ProcessDescription.h"
#include "model/RegionSet.h"
#include "model/Upstream.h"
#include "model/WeightsVersion.h"
#include "ports/CallCodec.h"
#include "ports/DirectoryCodec.h"
#include "ports/EngineCodec.h"
#include "ports/HttpParts.h"
#include "ports/PlatformPorts.h"
#include "ports/StoreCodec.h"
#include "routes/AddressRegions.h"
#include "routes/RouteTable.h"
#include "routes/UpstreamRegistry.h"
#include "view/ContentCheck.h"
#include "view/OldWeightsBounds.h"
#include "view/RestoredRecords.h"
#include "view/SnapshotRead.h"
#include "view/StorePosition.h"
#include "view/StoreView.h"
#include "view/VersionPublications.h"
#include "view/ViewSourceDecision.h"
