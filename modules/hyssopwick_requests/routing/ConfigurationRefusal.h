#pragma once

#include "Refusal.h"

namespace hyssopwick {

/// Returns the reason for which to refuse a call that the known configuration does not allow: \p reason, or
/// RefusalReason::ConfigurationOutdated if a newer configuration, which may allow the call, may have to be in force
/// by now. The call has not run then, so that its caller may send it again. Pure.
/// \param age    how long ago the known configuration was certainly the newest one
/// \param bound  the time within which a new one has to be in force
RefusalReason refusalByConfiguration(RefusalReason reason, Milliseconds age, Milliseconds bound);

}
