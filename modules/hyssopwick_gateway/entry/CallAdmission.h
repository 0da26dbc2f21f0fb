#pragma once

#include "../http/ServerExchange.h"
#include "CallRegions.h"
#include "CrashContainment.h"

#include <hyssopwick_requests.h>
#include <variant>

namespace hyssopwick {

/// What the configuration says of a call that it allows. Valid as long as the route table.
struct AdmittedCall {
    const CallRoute* route = nullptr;
    const ServiceDescription* service = nullptr; ///< nullptr if the configuration names one that it lacks
    std::string account; ///< "" when the route needs no key
    unsigned priority = 0; ///< 0 is the most urgent
    TimePoint deadline; ///< when the caller stops waiting or the route's time ends
    CallSize size;
    RegionSet allowedRegions;
    CrashTraits crashTraits;
};

/// Why the configuration does not allow a call.
struct RejectedCall {
    const CallRoute* route = nullptr; ///< nullptr if none matches
    RefusalReason reason = RefusalReason::UnknownService;
    unsigned status = 0;
};

using CallAdmission = std::variant<AdmittedCall, RejectedCall>;

/// Decides whether the configuration allows a call, and by which service it runs. Pure.
/// \param draw  random number in [0, 1) that selects one of the route's services
CallAdmission admitCall(const ServerRequest& request, const CallDescription& call, const RouteTable& routes, double draw);

/// Returns whether a call may be sent to another upstream after one that may have run it. Pure.
bool mayRunAgain(const CallRoute& route);

/// Returns whether a call is over before \p stopBy, however long it waits and runs. A stopping process
/// still accepts calls of callers that cache its address, but none that it might have to abort: a
/// refused call has not run and can go to another entry at once. Pure.
bool endsBefore(TimePoint stopBy, const AdmittedCall& call);

}
