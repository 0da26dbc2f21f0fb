#pragma once

#include "EngineDivision.h"

#include <set>

namespace hyssopwick {

/// The shares of its engines that one entry VM may use, and the admission level, as the
/// engines' agents state them. Without a statement, engines are divided evenly. Pure.
class EngineShares {
public:
    /// Validity of a statement; agents send one at least twice a second.
    static constexpr Milliseconds statementLifetime { 1500 };
    /// Part of the even share that an entry VM uses once its share has expired. The agent may have
    /// given the rest to others.
    static constexpr double expiredPart = 0.2;

    /// Sets how many entry VMs send to one engine, on average.
    void setEntryCount(double entries) { m_entryCount = entries; }
    double entryCount() const { return m_entryCount; }

    /// Sets the engines that may be cold. A share of these that has expired is nothing.
    void setColdEngines(std::set<std::string> engines) { m_coldEngines = std::move(engines); }

    void record(const std::string& engine, const EngineStatement& statement, TimePoint statedAt);

    /// Drops the statements of all other engines.
    void retain(const std::set<std::string>& engines);

    /// Returns the share of an engine that this entry VM may use.
    double shareOf(const std::string& engine, TimePoint now) const;

    /// Returns how many of the places that an engine has free this entry VM may use until the next
    /// statement: the whole places that end in its share. Those of all entry VMs add up to \p places. Without
    /// a statement, the places in the even share are rounded with \p random, in [0, 1).
    double placesOf(const std::string& engine, double places, double random, TimePoint now) const;

    /// Returns whether the agent states a share of the engine.
    bool isStated(const std::string& engine, TimePoint now) const;

    /// Returns the age of the oldest valid statement.
    Milliseconds oldestStatementAge(TimePoint now) const;

    /// Returns the mean level of the engines.
    AdmissionLevel level(TimePoint now) const;

private:
    struct Statement {
        EngineStatement statement;
        TimePoint statedAt;
    };

    std::map<std::string, Statement> m_statements; // by engine
    std::set<std::string> m_coldEngines;
    double m_entryCount = 1;
};

}
