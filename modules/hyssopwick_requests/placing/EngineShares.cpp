#include "EngineShares.h"

#include <algorithm>
#include <cmath>

namespace hyssopwick {

void EngineShares::record(const std::string& engine, const EngineStatement& statement, TimePoint statedAt)
{
    auto& known = m_statements[engine];
    if (statedAt >= known.statedAt)
        known = { statement, statedAt };
}

void EngineShares::retain(const std::set<std::string>& engines)
{
    for (auto statement = m_statements.begin(); statement != m_statements.end();)
        statement = engines.count(statement->first) == 0 ? m_statements.erase(statement) : std::next(statement);
}

double EngineShares::shareOf(const std::string& engine, TimePoint now) const
{
    const double evenShare = 1 / m_entryCount;
    const auto found = m_statements.find(engine);
    if (found == m_statements.end() || !found->second.statement.share)
        return evenShare;
    if (now <= found->second.statedAt + statementLifetime)
        return *found->second.statement.share;
    return m_coldEngines.count(engine) != 0 ? 0 : evenShare * expiredPart;
}

bool EngineShares::isStated(const std::string& engine, TimePoint now) const
{
    const auto found = m_statements.find(engine);
    return found != m_statements.end() && found->second.statement.share && now <= found->second.statedAt + statementLifetime;
}

double EngineShares::placesOf(const std::string& engine, double places, double random, TimePoint now) const
{
    const double share = shareOf(engine, now);
    if (!isStated(engine, now))
        return std::floor(places * share + random);
    const double begin = m_statements.at(engine).statement.begin;
    return std::floor(places * (begin + share)) - std::floor(places * begin);
}

Milliseconds EngineShares::oldestStatementAge(TimePoint now) const
{
    std::int64_t age = 0;
    for (const auto& [engine, known] : m_statements) {
        if (now <= known.statedAt + statementLifetime)
            age = std::max(age, millisecondsBetween(known.statedAt, now));
    }
    return Milliseconds(age);
}

AdmissionLevel EngineShares::level(TimePoint now) const
{
    const auto isValid = [now](const Statement& known) { return known.statement.level && now <= known.statedAt + statementLifetime; };
    // The value that stands for all priorities would distort the mean: it counts as the next whole
    // number above the levels that limit.
    double highest = 0;
    for (const auto& [engine, known] : m_statements) {
        if (isValid(known) && !known.statement.level->admitsAll())
            highest = std::max(highest, std::floor(known.statement.level->value()) + 1);
    }
    if (highest <= 0)
        return {};
    double sum = 0;
    std::size_t count = 0;
    for (const auto& [engine, known] : m_statements) {
        if (!isValid(known))
            continue;
        sum += std::min(known.statement.level->value(), highest);
        ++count;
    }
    return AdmissionLevel(sum / double(count));
}

}
