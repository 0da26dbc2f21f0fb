#include "AnswerPromise.h"

namespace hyssopwick {

void AnswerPromise::record(const AuditEvent& event)
{
    if (event.type == "process.stopped")
        m_stopped[event.process] = true;
    if (event.type == "caller.answered") {
        ++m_result.checked;
        if (event.field("whole") == "no")
            m_result.addBroken("a caller received an answer that was not whole or not its own: " + event.field("detail"), { event.location });
        return;
    }
    const bool isReceived = event.type == "request.received";
    const bool isFinal = event.type == "request.answered" || event.type == "request.refused" || event.type == "request.cancelled";
    if (!isReceived && !isFinal)
        return;
    auto& request = m_requests[event.process + "/" + event.field("request")];
    request.process = event.process;
    if (isReceived) {
        ++request.received;
        request.lastReceived = event.location;
        return;
    }
    ++request.final;
    if (request.final > request.received)
        m_result.addBroken("request " + event.field("request") + " got more final answers than it was sent", { request.lastReceived, request.lastFinal, event.location });
    request.lastFinal = event.location;
}

PromiseResult AnswerPromise::finish()
{
    for (const auto& [key, request] : m_requests) {
        ++m_result.checked;
        if (request.final >= request.received)
            continue;
        if (m_stopped.count(request.process) != 0)
            m_result.addBroken("a request got no final answer before its entry process stopped as planned", { request.lastReceived });
        else
            m_result.addUndecided("a request has no final answer in the log of a process that was killed or still runs", { request.lastReceived });
    }
    return std::move(m_result);
}

}
