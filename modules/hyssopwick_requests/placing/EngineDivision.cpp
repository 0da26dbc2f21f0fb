#include "EngineDivision.h"

#include <algorithm>
#include <cmath>

namespace hyssopwick {

namespace {
    // Part of the subscribers whose demand has to be known.
    constexpr double minKnownPart = 0.5;
    // Part of the engine time that calls above the level may take. Queues at an engine grow
    // without bound as its use nears 1; late calls use the rest (CallQueue).
    constexpr double admittedPart = 0.85;
    // A level that rises faster admits, at the end of a burst, more than the engines have time for
    // before the next demands arrive, and would fall again.
    constexpr double maxRisePerSecond = 0.25;
    // The demand varies by chance. Only one that exceeds the engine time by this factor lets the level
    // fall at once; a level that followed each peak and rose slowly would stay below the mean.
    constexpr double burstFactor = 1.1;
    constexpr double millisecondsPerSecond = 1000;
}

void EngineDivision::recordSubscription(const std::string& subscriber, const std::optional<EngineDemand>& demand, TimePoint now)
{
    auto& known = m_subscribers[subscriber];
    if (!demand)
        return;
    known.demand = demand;
    known.demandAt = now;
}

void EngineDivision::removeSubscriber(const std::string& subscriber) { m_subscribers.erase(subscriber); }

void EngineDivision::advance(TimePoint now)
{
    m_total = {};
    m_withDemand = 0;
    m_oldestDemandAt = now;
    for (auto& [address, subscriber] : m_subscribers) {
        if (subscriber.demand && now > subscriber.demandAt + demandLifetime)
            subscriber.demand.reset();
        if (!subscriber.demand)
            continue;
        ++m_withDemand;
        m_oldestDemandAt = std::min(m_oldestDemandAt, subscriber.demandAt);
        m_total.add(*subscriber.demand);
    }
    m_isDivided = m_withDemand > 0 && double(m_withDemand) >= sharers() * minKnownPart;
    double begin = 0;
    for (auto& [address, subscriber] : m_subscribers) {
        subscriber.begin = begin;
        begin += shareOf(subscriber);
    }
    updateLevel(now);
}

double EngineDivision::shareOf(const Subscriber& subscriber) const
{
    const double total = m_total.total();
    if (total <= 0)
        return 1 / sharers();
    return evenPart / sharers() + (1 - evenPart) * (subscriber.demand ? subscriber.demand->total() : 0) / total;
}

void EngineDivision::updateLevel(TimePoint now)
{
    const double elapsedSeconds = std::clamp(double(millisecondsBetween(m_levelAt, now)) / millisecondsPerSecond, 0.0, 1.0);
    m_levelAt = now;
    unsigned lowest = 0; // the least urgent priority with demand
    unsigned priorities = 0;
    for (unsigned priority = 0; priority < EngineDemand::priorities; ++priority) {
        if (m_total.of(priority) <= 0)
            continue;
        lowest = priority;
        ++priorities;
    }
    if (!m_usesLevel || !m_isDivided || priorities < 2) {
        m_level = {};
        return;
    }
    const double capacity = m_engineTime * admittedPart;
    const double fitting = AdmissionLevel::highestFitting(m_total, capacity).value();
    const double maxStep = maxRisePerSecond * elapsedSeconds;
    const bool isBurst = m_level.admittedOf(m_total) > capacity * burstFactor;
    const double value = std::clamp(fitting, isBurst ? 0 : m_level.value() - maxStep, m_level.value() + maxStep);
    m_level = value >= lowest + 1 ? AdmissionLevel() : AdmissionLevel(value);
}

double EngineDivision::sharers() const { return std::max({ 1.0, m_expectedSubscribers, double(m_subscribers.size()) }); }

EngineStatement EngineDivision::statementFor(const std::string& subscriber) const
{
    if (!m_isDivided)
        return {};
    const auto known = m_subscribers.find(subscriber);
    if (known == m_subscribers.end())
        return { shareOf({}), 0, m_level };
    return { shareOf(known->second), std::fmod(known->second.begin + m_offset, 1), m_level };
}

}
