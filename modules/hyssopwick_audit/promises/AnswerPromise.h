#pragma once

#include "../history/PromiseResult.h"

#include <unordered_map>

namespace hyssopwick {

/// "Each caller gets its own whole answer": every request ends in exactly one final
/// answer, and what a caller received was complete and the answer to its own request.
class AnswerPromise {
public:
    void record(const AuditEvent& event);
    PromiseResult finish();

private:
    struct Request {
        std::int64_t received = 0;
        std::int64_t final = 0;
        EventLocation lastReceived;
        EventLocation lastFinal;
        std::string process;
    };

    std::unordered_map<std::string, Request> m_requests; // by process and request
    std::unordered_map<std::string, bool> m_stopped; // by process; only those that stopped as planned
    PromiseResult m_result { "each caller gets its own whole answer" };
};

}
