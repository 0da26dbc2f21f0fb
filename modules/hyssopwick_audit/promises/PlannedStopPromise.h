#pragma once

#include "../history/PromiseResult.h"

#include <unordered_map>

namespace hyssopwick {

/// "A planned stop cuts no request": a process that stops as planned has finished
/// every request and attempt that it accepted.
class PlannedStopPromise {
public:
    void record(const AuditEvent& event);
    PromiseResult finish();

private:
    struct Process {
        std::unordered_map<std::string, EventLocation> inProgress; // start of each attempt and request in progress, by id
        std::optional<EventLocation> stopping;
        bool isStopped = false;
    };

    std::unordered_map<std::string, Process> m_processes;
    PromiseResult m_result { "a planned stop cuts no request" };
};

}
