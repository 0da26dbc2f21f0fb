#include "UpstreamChecks.h"

#include "../http/ConnectionCheck.h"

namespace hyssopwick {

namespace {
    // An upstream that lost a call is checked this often: one that has just crashed may still
    // accept a connection.
    constexpr unsigned checksAfterLoss = 2;
    constexpr Milliseconds checkPeriod { 300 };
    constexpr Milliseconds checkTimeout { 250 };
}

UpstreamChecks::UpstreamChecks(GatewayContext& context, std::function<void(const std::string&)> onDown)
    : m_context(context)
    , m_onDown(std::move(onDown))
{
}

void UpstreamChecks::start(const std::string& address)
{
    if (m_addresses.insert(address).second)
        check(address, checksAfterLoss);
}

void UpstreamChecks::check(const std::string& address, unsigned checks)
{
    const auto now = monotonicNow();
    m_context.metrics.count("upstream_checks_total");
    checkConnection(m_context.loop, address, now + checkTimeout, [this, address, checks, nextCheck = now + checkPeriod](bool isAccepted) {
        if (isAccepted && checks > 1) {
            const auto timer = std::make_shared<LoopTimer>(m_context.loop, nextCheck);
            timer->async_wait([this, timer, address, checks](boost::system::error_code) { check(address, checks - 1); });
            return;
        }
        m_addresses.erase(address);
        if (!isAccepted)
            m_onDown(address);
    });
}

}
