#include "WeightsPromise.h"

namespace hyssopwick {

void WeightsPromise::record(const AuditEvent& event)
{
    if (event.type == "weights.staged") {
        m_staged[event.process].insert(event.field("manifest"));
        return;
    }
    if (event.type == "engine.ordered" || event.type == "serving.started") {
        ++m_result.checked;
        if (m_staged[event.process].count(event.field("manifest")) == 0)
            m_result.addBroken("weights " + event.field("manifest").substr(0, 12) + " were put into service before they were whole and verified", { event.location });
        return;
    }
    if (event.type == "request.attempt") {
        const auto request = event.process + "/" + event.field("request");
        const Attempt attempt { event.field("version"), event.location };
        const auto last = m_lastAttemptOfRequest.find(request);
        const bool isResumed = event.number("resume_from") > 0;
        if (isResumed && last != m_lastAttemptOfRequest.end() && last->second.version != attempt.version)
            m_result.addBroken("an answer was begun by version " + last->second.version + " and resumed by version " + attempt.version, { last->second.location, event.location });
        m_lastAttemptOfRequest[request] = attempt;
        m_attempts[event.field("attempt")] = attempt;
        return;
    }
    if (event.type == "engine.run")
        m_runs[event.field("attempt")] = { event.field("version"), event.location };
}

PromiseResult WeightsPromise::finish()
{
    for (const auto& [id, run] : m_runs) {
        const auto attempt = m_attempts.find(id);
        if (attempt == m_attempts.end())
            continue;
        ++m_result.checked;
        if (attempt->second.version != run.version)
            m_result.addBroken("a request pinned to version " + attempt->second.version + " ran with version " + run.version, { attempt->second.location, run.location });
    }
    return std::move(m_result);
}

}
