#pragma once

#include "../runtime/GatewayContext.h"

#include <hyssopwick_requests.h>

namespace hyssopwick {

/// Records that an evacuation began or ended, and logs and counts a change. Returns whether it is one.
bool recordEvacuation(GatewayContext& context, UpstreamEligibility& eligibility, const Evacuation& evacuation, bool hasBegun);

}
