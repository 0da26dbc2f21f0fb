#pragma once

#include "../history/PromiseResult.h"

#include <set>
#include <unordered_map>

namespace hyssopwick {

/// "No VM serves partial or mixed weights": an engine is ordered to load only weights
/// that its agent has staged completely, it runs a request only with the version to which
/// the request is pinned, and a resumed answer keeps its version.
class WeightsPromise {
public:
    void record(const AuditEvent& event);
    PromiseResult finish();

private:
    struct Attempt {
        std::string version;
        EventLocation location;
    };

    std::unordered_map<std::string, std::set<std::string>> m_staged; // manifests by process
    std::unordered_map<std::string, Attempt> m_attempts;
    std::unordered_map<std::string, Attempt> m_runs;
    std::unordered_map<std::string, Attempt> m_lastAttemptOfRequest;
    PromiseResult m_result { "no VM serves partial or mixed weights" };
};

}
