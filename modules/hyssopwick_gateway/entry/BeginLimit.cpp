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

void BeginLimit::arm(TimePoint deadline, std::function<void(boost::system::error_code)> onPassed)
{
    const auto limit = until();
    if (!limit || *limit >= deadline)
        return;
    m_timer.expires_at(*limit);
    m_timer.async_wait(std::move(onPassed));
}

}
