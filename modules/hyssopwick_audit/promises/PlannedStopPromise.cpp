#include "PlannedStopPromise.h"

namespace hyssopwick {

void PlannedStopPromise::record(const AuditEvent& event)
{
    const auto& type = event.type;
    if (type == "door.accepted")
        m_processes[event.process].inProgress[event.field("attempt")] = event.location;
    else if (type == "door.finished")
        m_processes[event.process].inProgress.erase(event.field("attempt"));
    else if (type == "request.received")
        m_processes[event.process].inProgress[event.field("request")] = event.location;
    else if (type == "request.answered" || type == "request.refused" || type == "request.cancelled")
        m_processes[event.process].inProgress.erase(event.field("request"));
    else if (type == "process.stopping")
        m_processes[event.process].stopping = event.location;
    else if (type == "process.stopped") {
        auto& process = m_processes[event.process];
        process.isStopped = true;
        ++m_result.checked;
        if (!process.inProgress.empty())
            m_result.addBroken("a process stopped as planned with " + std::to_string(process.inProgress.size()) + " requests in progress", { process.inProgress.begin()->second, event.location });
    }
}

PromiseResult PlannedStopPromise::finish()
{
    for (const auto& [name, process] : m_processes) {
        if (!process.stopping || process.isStopped)
            continue;
        ++m_result.checked;
        m_result.addUndecided("a planned stop has no end in the log", { *process.stopping });
    }
    return std::move(m_result);
}

}
