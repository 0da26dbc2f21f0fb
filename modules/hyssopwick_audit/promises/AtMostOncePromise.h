#pragma once

#include "../history/PromiseResult.h"

#include <unordered_map>

namespace hyssopwick {

/// "A non-idempotent call runs at most once": for each call identity, agents send the call
/// to an upstream at most once, and a service executes it at most once.
class AtMostOncePromise {
public:
    void record(const AuditEvent& event);
    PromiseResult finish();

private:
    struct CallHistory {
        std::vector<EventLocation> executions;
        std::vector<EventLocation> sends;
    };

    struct OpenAttempt {
        std::string identity;
        EventLocation location;
    };

    std::unordered_map<std::string, CallHistory> m_calls;
    std::unordered_map<std::string, OpenAttempt> m_openAttempts; // accepted by an agent and not finished, by attempt
    PromiseResult m_result { "a non-idempotent call runs at most once" };
};

}
