#include "LeavingPromise.h"

namespace hyssopwick {

namespace {
    constexpr std::int64_t acceptanceLimitMilliseconds = 5000;
}

void LeavingPromise::record(const AuditEvent& event)
{
    if (event.type == "upstream.leaving") {
        ++m_result.checked;
        m_leaving.emplace(event.process, Leaving { event.at, event.location });
    } else if (event.type == "upstream.entering") {
        m_leaving.erase(event.process);
    } else if (event.type == "door.accepted") {
        const auto leaving = m_leaving.find(event.process);
        if (leaving != m_leaving.end() && event.at > leaving->second.at + acceptanceLimitMilliseconds)
            m_result.addBroken("an upstream took new work " + std::to_string(event.at - leaving->second.at) + " ms after it began to leave", { leaving->second.location, event.location });
    }
}

PromiseResult LeavingPromise::finish() { return std::move(m_result); }

}
