#include "ConfigurationPromise.h"

namespace hyssopwick {

namespace {
    constexpr std::int64_t propagationLimitMilliseconds = 8000;
    constexpr std::int64_t clockToleranceMilliseconds = 2000;
}

void ConfigurationPromise::checkBundle(std::int64_t revision, const std::string& bundle, const EventLocation& location)
{
    const auto [known, isNew] = m_bundleOfRevision.emplace(revision, std::make_pair(bundle, location));
    if (!isNew && known->second.first != bundle)
        m_result.addBroken("revision " + std::to_string(revision) + " names two different configurations", { known->second.second, location });
}

void ConfigurationPromise::record(const AuditEvent& event)
{
    auto& process = m_processes[event.process];
    process.lastEventAt = event.at;
    if (event.type == "process.started") {
        process.startedAt = event.at;
    } else if (event.type == "config.accepted") {
        checkBundle(event.number("revision"), event.field("bundle"), event.location);
        m_accepted.push_back({ event.number("revision"), event.at, event.field("bundle"), event.location });
    } else if (event.type == "config.applied") {
        ++m_result.checked;
        const Applied applied { event.number("revision"), event.at, event.location };
        checkBundle(applied.revision, event.field("bundle"), event.location);
        if (!process.applied.empty() && applied.revision <= process.applied.back().revision)
            m_result.addBroken("a process went from revision " + std::to_string(process.applied.back().revision) + " to revision " + std::to_string(applied.revision), { process.applied.back().location, event.location });
        process.applied.push_back(applied);
    }
}

void ConfigurationPromise::checkPropagation(const Accepted& accepted, const Process& process)
{
    // Only a process that ran from before the acceptance until the limit plus the clock tolerance
    // had passed can show a violation.
    const bool ranThroughout = process.startedAt != 0 && process.startedAt < accepted.at && process.lastEventAt > accepted.at + propagationLimitMilliseconds + clockToleranceMilliseconds;
    if (!ranThroughout)
        return;
    ++m_result.checked;
    for (const auto& applied : process.applied) {
        if (applied.revision < accepted.revision)
            continue;
        const auto lag = applied.at - accepted.at;
        if (lag > propagationLimitMilliseconds + clockToleranceMilliseconds)
            m_result.addBroken("revision " + std::to_string(accepted.revision) + " came into force " + std::to_string(lag) + " ms after it was accepted", { accepted.location, applied.location });
        else if (lag > propagationLimitMilliseconds)
            m_result.addUndecided("revision " + std::to_string(accepted.revision) + " came into force at the limit, within the clocks' tolerance", { accepted.location, applied.location });
        return;
    }
    m_result.addBroken("revision " + std::to_string(accepted.revision) + " never came into force in a process that ran throughout", { accepted.location });
}

PromiseResult ConfigurationPromise::finish()
{
    for (const auto& accepted : m_accepted) {
        for (const auto& [name, process] : m_processes)
            checkPropagation(accepted, process);
    }
    return std::move(m_result);
}

}
