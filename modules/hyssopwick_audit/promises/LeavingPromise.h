#pragma once

#include "../history/PromiseResult.h"

#include <unordered_map>

namespace hyssopwick {

/// "A leaving upstream gets no new work after a few seconds": its agent accepts no call
/// later than that, by the clock of its VM.
class LeavingPromise {
public:
    void record(const AuditEvent& event);
    PromiseResult finish();

private:
    struct Leaving {
        std::int64_t at = 0;
        EventLocation location;
    };

    std::unordered_map<std::string, Leaving> m_leaving; // by process of the agent
    PromiseResult m_result { "a leaving upstream gets no new work after a few seconds" };
};

}
