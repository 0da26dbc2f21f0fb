#pragma once

#include "../admission/AdmissionLevel.h"

#include <hyssopwick_core.h>
#include <map>
#include <optional>
#include <string>

namespace hyssopwick {

/// What an agent states to one entry VM about the division of its engine.
struct EngineStatement {
    std::optional<double> share; ///< of the engine that the entry VM may use, in [0, 1]; nothing while unknown
    /// Where the share begins on the engine, in [0, 1); the shares of all adjoin (EngineShares::placesOf).
    double begin = 0;
    std::optional<AdmissionLevel> level; ///< common to all entry VMs; nothing while unknown

    auto tied() const { return std::tie(share, begin, level); }
    bool operator==(const EngineStatement& other) const { return tied() == other.tied(); }
    bool operator!=(const EngineStatement& other) const { return !(*this == other); }
};

/// Divides one engine between the entry VMs that use it, by the demand that each of them
/// states. A fifth of the engine is divided evenly, so that an entry VM whose demand is
/// unknown or rises is never without a part; the rest is divided in proportion to demand. The
/// shares of all add up to 1 at most. Also decides which calls the engine has time for
/// (AdmissionLevel). Runs at the engine's agent, so that the state is beside what it
/// describes and is lost only with it. Pure.
class EngineDivision {
public:
    /// Share of the engine that is divided evenly.
    static constexpr double evenPart = 0.2;
    /// Validity of a demand: three subscriptions.
    static constexpr Milliseconds demandLifetime { 3000 };

    /// Sets whether a level is stated, if the demand has several priorities.
    void setUsesLevel(bool usesLevel) { m_usesLevel = usesLevel; }

    /// Sets how many entry VMs should use the engine.
    void setExpectedSubscribers(double count) { m_expectedSubscribers = count; }

    /// Sets the engine time that the engine has, in engine milliseconds per second: 1,000 for one
    /// that is healthy and not loaded.
    void setEngineTime(double millisecondsPerSecond) { m_engineTime = millisecondsPerSecond; }

    /// Records a subscription. \param demand  nothing from an entry VM that states none
    void recordSubscription(const std::string& subscriber, const std::optional<EngineDemand>& demand, TimePoint now);
    void removeSubscriber(const std::string& subscriber);

    /// Drops what has expired and computes the division. Call before statementFor().
    void advance(TimePoint now);

    /// Returns the statement for an entry VM; for one that has not subscribed, that of one without demand.
    EngineStatement statementFor(const std::string& subscriber) const;

    /// Moves the shares on the engine, so that no entry VM is favored by where its share begins.
    /// \param offset  random, in [0, 1)
    void setOffset(double offset) { m_offset = offset; }

    AdmissionLevel level() const { return m_level; }
    double totalDemand() const { return m_total.total(); }
    std::size_t subscribers() const { return m_subscribers.size(); }
    std::size_t subscribersWithDemand() const { return m_withDemand; }
    /// Returns when the oldest demand that counts was stated.
    TimePoint oldestDemandAt() const { return m_oldestDemandAt; }
    bool isDivided() const { return m_isDivided; }

private:
    struct Subscriber {
        std::optional<EngineDemand> demand;
        TimePoint demandAt;
        double begin = 0;
    };

    double sharers() const;
    double shareOf(const Subscriber& subscriber) const;
    void updateLevel(TimePoint now);

    std::map<std::string, Subscriber> m_subscribers; // by address
    bool m_usesLevel = true;
    double m_expectedSubscribers = 1;
    double m_offset = 0;
    double m_engineTime = 1000;
    EngineDemand m_total;
    std::size_t m_withDemand = 0;
    TimePoint m_oldestDemandAt;
    bool m_isDivided = false; // enough subscribers have stated their demand
    AdmissionLevel m_level;
    TimePoint m_levelAt;
};

}
