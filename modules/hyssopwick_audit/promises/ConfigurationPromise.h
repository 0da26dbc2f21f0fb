#pragma once

#include "../history/PromiseResult.h"

#include <unordered_map>

namespace hyssopwick {

/// "An accepted configuration is in force everywhere within seconds and never
/// reverts": revisions only increase in each process, a revision names one bundle, and
/// it becomes active in time in every process that ran throughout.
class ConfigurationPromise {
public:
    void record(const AuditEvent& event);
    PromiseResult finish();

private:
    struct Applied {
        std::int64_t revision = 0;
        std::int64_t at = 0;
        EventLocation location;
    };

    struct Process {
        std::int64_t startedAt = 0;
        std::int64_t lastEventAt = 0;
        std::vector<Applied> applied;
    };

    struct Accepted {
        std::int64_t revision = 0;
        std::int64_t at = 0;
        std::string bundle;
        EventLocation location;
    };

    void checkBundle(std::int64_t revision, const std::string& bundle, const EventLocation& location);
    void checkPropagation(const Accepted& accepted, const Process& process);

    std::unordered_map<std::string, Process> m_processes;
    std::map<std::int64_t, std::pair<std::string, EventLocation>> m_bundleOfRevision;
    std::vector<Accepted> m_accepted;
    PromiseResult m_result { "an accepted configuration is in force everywhere within seconds and never reverts" };
};

}
