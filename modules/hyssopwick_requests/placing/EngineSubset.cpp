#include "EngineSubset.h"

#include <algorithm>
#include <cmath>

namespace hyssopwick {

namespace {

    std::vector<std::string> inHashOrder(std::vector<std::string> ids)
    {
        std::sort(ids.begin(), ids.end(), [](const std::string& left, const std::string& right) {
            return std::make_pair(stableHash(left), left) < std::make_pair(stableHash(right), right);
        });
        return ids;
    }

    // Adds engines of the arc that begins at a place on the ring, from 0 to 1.
    void addArc(const std::vector<std::string>& ring, double place, std::size_t count, std::set<std::string>& engines)
    {
        const auto first = static_cast<std::size_t>(place * double(ring.size()));
        std::size_t added = 0;
        for (std::size_t i = 0; i < ring.size() && added < count; ++i)
            added += engines.insert(ring[(first + i) % ring.size()]).second;
    }

    double placeOf(const std::string& id, const std::vector<std::string>& ring)
    {
        const auto found = std::find(ring.begin(), ring.end(), id);
        return double(found - ring.begin()) / double(std::max<std::size_t>(1, ring.size()));
    }

}

EngineSubset::EngineSubset(std::string self, std::string region)
    : m_self(std::move(self))
    , m_region(std::move(region))
{
}

void EngineSubset::update(const std::map<std::string, std::string>& entries, const std::map<std::string, std::string>& engines, const std::set<std::string>& restrictedRegions)
{
    m_engines.clear();
    m_isWhole = isWholeOf(engines.size());
    auto allEntries = entries;
    allEntries[m_self] = m_region;
    m_entriesPerEngine = double(allEntries.size());
    if (m_isWhole) {
        for (const auto& [engine, region] : engines)
            m_engines.insert(engine);
        return;
    }
    std::vector<std::string> regionEntryRing;
    for (const auto& [entry, region] : allEntries) {
        if (region == m_region)
            regionEntryRing.push_back(entry);
    }
    std::vector<std::string> own;
    std::vector<std::string> others;
    std::map<std::string, std::vector<std::string>> restricted; // engines of other regions that calls may be restricted to
    for (const auto& [engine, region] : engines) {
        (region == m_region ? own : others).push_back(engine);
        if (region != m_region && restrictedRegions.count(region) != 0)
            restricted[region].push_back(engine);
    }
    const auto place = placeOf(m_self, inHashOrder(std::move(regionEntryRing)));
    const auto ownCount = std::min(own.size(), std::max(maxEngines / 2, maxEngines - std::min(maxEngines, others.size())));
    addArc(inHashOrder(std::move(own)), place, ownCount, m_engines);
    for (auto& [region, ring] : restricted)
        addArc(inHashOrder(std::move(ring)), place, std::min(maxEngines / 4, (maxEngines - ownCount) / restricted.size()), m_engines);
    addArc(inHashOrder(std::move(others)), place, maxEngines - m_engines.size(), m_engines);
    m_entriesPerEngine = double(allEntries.size()) * double(m_engines.size()) / double(engines.size());
}

}
