#pragma once

#include "../history/PromiseResult.h"

#include <unordered_map>

namespace hyssopwick {

/// "Not run means not run": none of the attempts of a request that was refused as
/// not run was run by an engine or service.
class NotRunPromise {
public:
    void record(const AuditEvent& event);
    PromiseResult finish();

private:
    struct Refused {
        EventLocation location;
        std::vector<std::string> attempts;
    };

    std::unordered_map<std::string, std::vector<std::string>> m_attempts; // by request in progress
    std::vector<Refused> m_refused;
    std::unordered_map<std::string, EventLocation> m_runs; // by attempt
    PromiseResult m_result { "not run means not run" };
};

}
