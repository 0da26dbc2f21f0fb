#include "AtMostOncePromise.h"

namespace hyssopwick {

namespace {
    constexpr std::size_t identityDigits = 12;
}

void AtMostOncePromise::record(const AuditEvent& event)
{
    if (event.type == "door.finished") {
        const auto open = m_openAttempts.find(event.field("attempt"));
        if (open == m_openAttempts.end())
            return;
        if (event.field("result") != "not-sent")
            m_calls[open->second.identity].sends.push_back(open->second.location);
        m_openAttempts.erase(open);
        return;
    }
    const auto identity = event.field("identity").substr(0, identityDigits);
    if (identity.empty())
        return;
    if (event.type == "service.executed")
        m_calls[identity].executions.push_back(event.location);
    else if (event.type == "door.accepted")
        m_openAttempts[event.field("attempt")] = { identity, event.location };
    else if (event.type == "claim.granted")
        m_calls.try_emplace(identity);
}

PromiseResult AtMostOncePromise::finish()
{
    for (const auto& [identity, call] : m_calls) {
        ++m_result.checked;
        if (call.executions.size() > 1)
            m_result.addBroken("call " + identity + " was executed " + std::to_string(call.executions.size()) + " times", { call.executions[0], call.executions[1] });
        else if (call.sends.size() > 1)
            m_result.addBroken("call " + identity + " was handed to upstreams " + std::to_string(call.sends.size()) + " times", { call.sends[0], call.sends[1] });
    }
    return std::move(m_result);
}

}
