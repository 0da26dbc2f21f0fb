#include "EntryStatusTable.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace hyssopwick {

namespace {
    // An older status is neither used nor passed on.
    constexpr Milliseconds maxStatusAge { 10000 };
    // VMs that were not heard of for longer are forgotten.
    constexpr Milliseconds retention { 60000 };
    constexpr std::int64_t ageUnit = 10; // milliseconds
    constexpr double powerScale = 1000;
    constexpr double queryScale = 10;
    constexpr std::size_t maxDomains = 8; // of which one status states the queries
    constexpr std::size_t fieldCount = 6;
}

ShortName shortNameOf(const std::string& name) { return static_cast<ShortName>(stableHash(name)); }

nlohmann::json entryStatusToJson(const EntryStatus& status)
{
    auto queries = nlohmann::json::array();
    for (const auto& [domain, rate] : status.queries) {
        queries.push_back(domain);
        queries.push_back(std::llround(rate * queryScale));
    }
    return nlohmann::json::array({ status.vm, status.sequence, status.age.count() / ageUnit, std::llround(status.power * powerScale), status.calls, std::move(queries) });
}

std::optional<EntryStatus> entryStatusFromJson(const nlohmann::json& json)
{
    if (!json.is_array() || json.size() < fieldCount || !json[5].is_array() || json[5].size() > 2 * maxDomains || json[5].size() % 2 != 0)
        return std::nullopt;
    const auto isCount = [](const nlohmann::json& value) { return value.is_number_integer() && value >= 0 && value <= std::numeric_limits<std::uint32_t>::max(); };
    if (!std::all_of(json.begin(), json.begin() + 5, isCount) || !std::all_of(json[5].begin(), json[5].end(), isCount))
        return std::nullopt;
    EntryStatus status;
    status.vm = json[0].get<ShortName>();
    status.sequence = json[1].get<std::uint32_t>();
    status.age = Milliseconds(json[2].get<std::int64_t>() * ageUnit);
    status.power = std::max(1.0, json[3].get<double>()) / powerScale;
    status.calls = json[4].get<unsigned>();
    for (std::size_t i = 0; i < json[5].size(); i += 2)
        status.queries[json[5][i].get<ShortName>()] = json[5][i + 1].get<double>() / queryScale;
    return status;
}

EntryStatusTable::EntryStatusTable(const std::string& self, std::uint64_t seed)
    : m_self(shortNameOf(self))
    , m_random(seed)
{
    m_own.vm = m_self;
}

std::size_t EntryStatusTable::messageCount(std::size_t entries)
{
    constexpr std::size_t minCount = 8;
    constexpr std::size_t maxCount = 16;
    constexpr std::size_t fullFleet = 100; // entries up to which messages carry the most
    return std::clamp(maxCount * fullFleet / std::max<std::size_t>(1, entries), minCount, maxCount);
}

void EntryStatusTable::setOwn(double power, unsigned calls, std::map<ShortName, double> queries, std::uint32_t sequence)
{
    m_own.power = power;
    m_own.calls = calls;
    m_own.queries = std::move(queries);
    while (m_own.queries.size() > maxDomains)
        m_own.queries.erase(std::min_element(m_own.queries.begin(), m_own.queries.end(), [](const auto& left, const auto& right) { return left.second < right.second; }));
    m_own.sequence = std::max(m_own.sequence, sequence);
}

void EntryStatusTable::merge(const EntryStatus& status, TimePoint now)
{
    if (status.vm == m_self || status.age > maxStatusAge)
        return;
    auto& known = m_known[status.vm];
    const auto statedAt = now - status.age;
    // A clock that was set back starts again below; its statements count once the old ones are too old.
    const bool isNewer = !known.hasStatus || status.sequence > known.status.sequence || known.statedAt + maxStatusAge < statedAt;
    if (!isNewer)
        return;
    known.status = status;
    known.statedAt = statedAt;
    known.ranAt = std::max(known.ranAt, statedAt);
    known.hasStatus = true;
}

void EntryStatusTable::recordContact(const std::string& vm, TimePoint now)
{
    if (shortNameOf(vm) == m_self)
        return;
    auto& known = m_known[shortNameOf(vm)];
    known.ranAt = now;
    known.hasContact = true;
}

void EntryStatusTable::recordStart(const std::string& vm, Milliseconds ago, TimePoint now)
{
    if (shortNameOf(vm) == m_self || ago > retention)
        return;
    auto& known = m_known[shortNameOf(vm)];
    known.ranAt = std::max(known.ranAt, now - std::max(Milliseconds(0), ago));
}

std::vector<EntryStatus> EntryStatusTable::take(std::size_t maxCount, TimePoint now)
{
    std::vector<std::pair<ShortName, Known*>> candidates;
    for (auto known = m_known.begin(); known != m_known.end();) {
        if (known->second.ranAt + retention < now) {
            known = m_known.erase(known);
            continue;
        }
        if (known->second.hasStatus && known->second.statedAt + maxStatusAge > now)
            candidates.emplace_back(known->first, &known->second);
        ++known;
    }
    const auto count = std::min(candidates.size(), maxCount - 1);
    const auto youngCount = count / 2;
    std::sort(candidates.begin(), candidates.end(), [](const auto& left, const auto& right) { return left.second->statedAt > right.second->statedAt; });
    // Each message has other ones of the youngest, so that they do not all travel together.
    const auto poolSize = std::min(candidates.size(), 3 * youngCount);
    for (std::size_t i = 0; i < youngCount; ++i)
        std::swap(candidates[i], candidates[i + m_random.below(poolSize - i)]);
    std::sort(candidates.begin() + static_cast<std::ptrdiff_t>(youngCount), candidates.end(), [](const auto& left, const auto& right) { return left.second->passedOnAt < right.second->passedOnAt; });
    std::vector<EntryStatus> statuses { m_own };
    for (std::size_t i = 0; i < count; ++i) {
        auto& known = *candidates[i].second;
        known.passedOnAt = now;
        statuses.push_back(known.status);
        statuses.back().age = Milliseconds(millisecondsBetween(known.statedAt, now));
    }
    return statuses;
}

const EntryStatusTable::Known* EntryStatusTable::fresh(ShortName vm, TimePoint now) const
{
    const auto found = m_known.find(vm);
    return found != m_known.end() && found->second.hasStatus && found->second.statedAt + maxStatusAge > now ? &found->second : nullptr;
}

bool EntryStatusTable::hasRunWithin(const std::string& vm, Milliseconds maxAge, TimePoint now) const
{
    if (shortNameOf(vm) == m_self)
        return true;
    const auto found = m_known.find(shortNameOf(vm));
    if (found == m_known.end())
        return false;
    const auto& known = found->second;
    return (known.hasContact && !known.hasStatus) || known.ranAt + maxAge > now;
}

double EntryStatusTable::powerOf(const std::string& vm) const
{
    const auto name = shortNameOf(vm);
    if (name == m_self)
        return m_own.power;
    const auto found = m_known.find(name);
    if (found != m_known.end() && found->second.hasStatus)
        return found->second.status.power;
    const auto registered = m_registeredPowers.find(name);
    return registered == m_registeredPowers.end() ? 1 : registered->second;
}

unsigned EntryStatusTable::callsOf(const std::string& vm, TimePoint now) const
{
    const auto name = shortNameOf(vm);
    if (name == m_self)
        return m_own.calls;
    const auto* known = fresh(name, now);
    return known ? known->status.calls : 0;
}

double EntryStatusTable::queriesFrom(const std::string& failureDomain, TimePoint now) const
{
    const auto domain = shortNameOf(failureDomain);
    const auto rateOf = [domain](const EntryStatus& status) {
        const auto found = status.queries.find(domain);
        return found == status.queries.end() ? 0 : found->second;
    };
    double rate = 0;
    for (const auto& [vm, known] : m_known) {
        if (known.hasStatus && known.statedAt + maxStatusAge > now)
            rate += rateOf(known.status);
    }
    return rate;
}

}
