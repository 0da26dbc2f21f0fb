#include "OperationalPaths.h"

namespace hyssopwick {

namespace {
    constexpr int statusOk = 200;
    constexpr int statusNotFound = 404;
    constexpr int statusNotReady = 503;
}

void answerOperationalPath(const HttpRequest& request, HttpResponder& responder, const MetricsRegistry& metrics, bool isReady)
{
    if (request.path == "/metrics")
        responder.send(statusOk, metrics.prometheusText(), { { "Content-Type", "text/plain; version=0.0.4" } });
    else if (request.path == "/healthz")
        responder.send(statusOk, "ok\n");
    else if (request.path == "/readyz")
        isReady ? responder.send(statusOk, "ready\n") : responder.send(statusNotReady, "no configuration is in force yet\n");
    else
        responder.send(statusNotFound, "not found\n");
}

}
