#include "NotRunPromise.h"

namespace hyssopwick {

void NotRunPromise::record(const AuditEvent& event)
{
    if (event.type == "engine.run" || event.type == "service.executed") {
        m_runs.emplace(event.field("attempt"), event.location);
        return;
    }
    const auto request = event.process + "/" + event.field("request");
    if (event.type == "request.attempt") {
        m_attempts[request].push_back(event.field("attempt"));
        return;
    }
    if (event.type == "request.refused" && event.field("run") == "not-run")
        m_refused.push_back({ event.location, m_attempts[request] });
    if (event.type == "request.refused" || event.type == "request.answered" || event.type == "request.cancelled")
        m_attempts.erase(request);
}

PromiseResult NotRunPromise::finish()
{
    for (const auto& refused : m_refused) {
        ++m_result.checked;
        for (const auto& attempt : refused.attempts) {
            const auto run = m_runs.find(attempt);
            if (run != m_runs.end())
                m_result.addBroken("a request was refused as not run but attempt " + attempt + " ran", { refused.location, run->second });
        }
    }
    return std::move(m_result);
}

}
