#include "EngineUpdates.h"

#include <cmath>

namespace hyssopwick {

namespace {
    // Entries choose engines for calls by these updates. A stream occupies an engine for about
    // a second; small changes wait for the period, larger ones are sent at once.
    constexpr Milliseconds updatePeriod { 200 };
    constexpr int significantCallChange = 3;
    // Entries treat an engine's state as unknown after 1.5 s without an update.
    constexpr Milliseconds updateKeepalive { 500 };
    constexpr Milliseconds subscriptionLifetime { 5000 };
    constexpr double millisecondsPerSecond = 1000;
    constexpr Milliseconds minLogInterval { 1000 };
    constexpr double loggedLevelChange = 0.25;

    int callCount(const EngineReport& report) { return int(report.runningCalls) + int(report.waitingCalls); }
}

EngineUpdates::EngineUpdates(GatewayContext& context, PeerSocket& socket)
    : m_context(context)
    , m_socket(socket)
    , m_random(stableHash(context.description.node) ^ context.incarnation)
{
    // The demand overstates the engine time of calls and counts returned ones again, so that a level
    // refuses calls which the engines would serve in time (docs/design/pool-division.md).
    m_division.setUsesLevel(false);
}

bool EngineUpdates::recordSubscription(const std::string& address, const UpdateSubscription& subscription)
{
    const auto now = monotonicNow();
    m_division.recordSubscription(address, subscription.demand, now);
    return m_subscribers.insert_or_assign(address, now).second;
}

bool EngineUpdates::isDue(const EngineUpdate& update, TimePoint now) const
{
    const bool isOtherState = update.isAnswering != m_lastUpdate.isAnswering || update.availability != m_lastUpdate.availability;
    const auto& last = m_lastUpdate.report;
    const bool isSignificant = isOtherState || std::abs(callCount(update.report) - callCount(last)) >= significantCallChange || update.report.loadedVersions != last.loadedVersions || update.report.isLeaving != last.isLeaving;
    const bool isNew = isOtherState || update.report != last;
    return isSignificant || now >= m_lastUpdateAt + (isNew ? updatePeriod : updateKeepalive);
}

void EngineUpdates::expireSubscribers(TimePoint now)
{
    for (auto subscriber = m_subscribers.begin(); subscriber != m_subscribers.end();) {
        if (now <= subscriber->second + subscriptionLifetime) {
            ++subscriber;
            continue;
        }
        m_division.removeSubscriber(subscriber->first);
        subscriber = m_subscribers.erase(subscriber);
    }
}

void EngineUpdates::divide(const EngineUpdate& update, std::size_t entries, std::size_t engines, TimePoint now)
{
    const double usedPart = EngineSubset::isWholeOf(engines) ? 1 : double(EngineSubset::maxEngines) / double(engines);
    m_division.setExpectedSubscribers(double(entries) * usedPart);
    m_division.setEngineTime(millisecondsPerSecond / std::max(1.0, update.report.slowdownFactor));
    m_division.setOffset(m_random.unit());
    m_division.advance(now);
    logDivision(now);
}

void EngineUpdates::logDivision(TimePoint now)
{
    const double level = m_division.level().value();
    const bool isOther = m_division.isDivided() != m_loggedIsDivided || std::abs(level - m_loggedLevel) >= loggedLevelChange;
    if (!isOther || now < m_loggedAt + minLogInterval)
        return;
    m_loggedAt = now;
    m_loggedIsDivided = m_division.isDivided();
    m_loggedLevel = level;
    m_context.log.write("engine.division", { { "divided", m_loggedIsDivided ? "true" : "false" }, { "level", std::to_string(level) }, { "demand_ms_per_s", std::to_string(std::llround(m_division.totalDemand())) }, { "subscribers", std::to_string(m_division.subscribers()) }, { "with_demand", std::to_string(m_division.subscribersWithDemand()) }, { "oldest_demand_ms", std::to_string(millisecondsBetween(m_division.oldestDemandAt(), now)) } });
}

void EngineUpdates::send(const EngineUpdate& update, bool isUrgent, bool isEvacuated, const std::map<std::string, VmIdentity>& entries, std::size_t engines)
{
    const auto now = monotonicNow();
    if (!isUrgent && !isDue(update, now))
        return;
    m_lastUpdate = update;
    m_lastUpdateAt = now;
    expireSubscribers(now);
    divide(update, entries.size(), engines, now);
    // Where all entry VMs use all engines, even shares served more calls (docs/design/pool-division.md).
    const bool isDivided = !EngineSubset::isWholeOf(engines);
    std::set<std::string> addresses;
    for (const auto& [address, subscribedAt] : m_subscribers)
        addresses.insert(address);
    // Of a large fleet, the entries that use this engine subscribe. A started agent informs all
    // until it knows them, unless none uses its engine because of an evacuation.
    if (EngineSubset::isWholeOf(engines) || (addresses.empty() && !isEvacuated)) {
        for (const auto& [id, vm] : entries)
            addresses.insert(vm.address);
    }
    for (const auto& address : addresses) {
        auto message = update;
        if (isDivided)
            message.division = m_division.statementFor(address);
        m_socket.send(address, message);
    }
}

void EngineUpdates::exportMetrics() const
{
    m_context.metrics.gauge("engine_subscribers", double(m_division.subscribers()));
    m_context.metrics.gauge("engine_subscribers_with_demand", double(m_division.subscribersWithDemand()));
    m_context.metrics.gauge("engine_demand_milliseconds_per_second", m_division.totalDemand());
    m_context.metrics.gauge("engine_admission_level", m_division.level().value());
}

}
