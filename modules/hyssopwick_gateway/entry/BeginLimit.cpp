#include "BeginLimit.h"

namespace hyssopwick {

BeginLimit::BeginLimit(EntryServices& services)
    : m_services(services)
    , m_timer(services.context().loop)
{
}

void BeginLimit::begin(const Upstream& upstream)
{
    m_upstream = upstream.id;
    m_loadedVersions = m_services.loadedVersions(upstream);
}

std::optional<TimePoint> BeginLimit::until() const { return m_services.usableUntil(m_upstream, m_loadedVersions); }

void BeginLimit::recordAnswerBegin(const std::string& requestId) const
{
    const auto limit = until();
    if (!limit || monotonicNow() <= *limit)
        return;
    m_services.context().metrics.count("calls_begun_late_total");
    log("call.begun-late", requestId, lateness(*limit));
}

void BeginLimit::recordWithdrawal(const std::string& requestId) const
{
    const auto limit = until();
    const auto delay = limit ? lateness(*limit) : Milliseconds(0);
    m_services.context().metrics.count("calls_taken_back_total");
    m_services.context().metrics.observe("withdrawal_delay", double(delay.count()));
    log("call.taken-back", requestId, delay);
}

void BeginLimit::log(const char* event, const std::string& requestId, Milliseconds lateness) const
{
    const auto* upstream = m_services.upstream(m_upstream);
    const auto atSend = m_loadedVersions.empty() ? 0 : m_loadedVersions.begin()->second;
    m_services.context().log.write(event, { { "request", requestId }, { "upstream", m_upstream }, { "late_ms", std::to_string(lateness.count()) }, { "held", upstream ? std::to_string(m_services.loadedVersion(*upstream)) : "unknown" }, { "held_at_send", std::to_string(atSend) } });
}

void BeginLimit::arm(TimePoint deadline, std::function<void(boost::system::error_code)> onPassed)
{
    const auto limit = until();
    if (!limit || *limit >= deadline)
        return;
    m_timer.expires_at(*limit);
    m_timer.async_wait(std::move(onPassed));
}

}
