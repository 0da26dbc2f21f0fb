#include "EvacuationRecord.h"

namespace hyssopwick {

bool recordEvacuation(GatewayContext& context, UpstreamEligibility& eligibility, const Evacuation& evacuation, bool hasBegun)
{
    const auto& failureDomain = evacuation.failureDomain;
    if (!eligibility.setEvacuated(failureDomain, hasBegun))
        return false;
    context.metrics.count("evacuations_total", hasBegun ? "begun" : "ended");
    context.log.write(hasBegun ? "evacuation.begun" : "evacuation.ended", { { "failure_domain", failureDomain }, { "region", eligibility.regionOf(failureDomain) }, { "own", failureDomain == context.description.failureDomain ? "true" : "false" } });
    return true;
}

}
