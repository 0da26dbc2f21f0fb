// Module: hyssopwick_fakes
// Dependencies: hyssopwick_transport, hyssopwick_distribution, hyssopwick_requests
// Purpose: fakes of the platform, the origin, the model engine and a plain service,
// with fault switches that POST /fault sets. For tests, benches and the demo only.
#pragma once

#include "EngineModel.h"
#include "FakeCaller.h"
#include "FakeEngine.h"
#include "FakeKeyValue.h"
#include "FakeOrigin.h"
#include "FakeService.h"
#include "FakeSwarmNetwork.h"
#include "FakeVmList.h"
#include "LoadSimulation.h"
#include "PoolSimulation.h"
