#pragma once

#include <hyssopwick_transport.h>

namespace hyssopwick {

/// Answers the paths that every daemon serves: GET /metrics, /healthz and /readyz; any
/// other path is answered as not found.
/// \param isReady  whether the process serves by a configuration in force
void answerOperationalPath(const HttpRequest& request, HttpResponder& responder, const MetricsRegistry& metrics, bool isReady);

}
