// Module: hyssopwick_distribution
// Dependencies: hyssopwick_core, hyssopwick_records, nlohmann-json
// Purpose: the decisions by which VMs get weights: manifests and verified chunks,
// the swarm that distributes them, which VM serves which placement, and the staggered
// activation of a new version. All decisions are pure.
#pragma once

#include "rollout/ActivationGroup.h"
#include "rollout/ActivationSchedule.h"
#include "rollout/PlacementDecision.h"
#include "rollout/RolloutDecision.h"
#include "swarm/ChunkSet.h"
#include "swarm/ManifestRequests.h"
#include "swarm/PullDecision.h"
#include "swarm/PushDecision.h"
#include "weights/ChunkStore.h"
#include "weights/Manifest.h"
