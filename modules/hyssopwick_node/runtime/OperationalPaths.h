#pragma once

#include <hyssopwick_transport.h>

namespace hyssopwick {

/// Answers /metrics, /healthz and /readyz, which every daemon serves; any other path gets 404.
/// \param isReady  whether the process has an active configuration that it may serve by
void answerOperationalPath(const HttpRequest& request, HttpResponder& responder, const MetricsRegistry& metrics, bool isReady);

}
