#pragma once

#include <hyssopwick_core.h>
#include <map>
#include <set>
#include <vector>

namespace hyssopwick {

/// The engines that one entry VM uses, so that neither the engines that it hears of nor the
/// entries that an engine informs grow with the fleet.
///
/// The entries of a region and the engines are placed on a ring at equal distances, each in an
/// order of hashes that all processes share; an entry uses the engines of the arc that begins
/// at its place (deterministic subsetting). So every engine is used by about the same number of entries,
/// and a VM that joins or leaves shifts the arcs by a fraction of an engine. Half of the
/// engines are of the entry's own region, the others are spread over the other regions, so
/// that a region's entries can serve more than its engines can. Made for fleets of more
/// engines than maxEngines; of fewer, an entry uses all. Pure.
class EngineSubset {
public:
    /// Engines that one entry uses.
    static constexpr std::size_t maxEngines = 32;

    /// Returns whether entries use all of so many engines.
    static bool isWholeOf(std::size_t engines) { return engines <= maxEngines; }

    /// \param self  id of the entry VM
    EngineSubset(std::string self, std::string region);

    /// Replaces the entries that use the engines, and the regions of both.
    /// \param entries  id and region, with or without this entry
    /// \param engines  key and region of the engines that may take calls
    /// \param restrictedRegions  regions that calls may be restricted to; some engines of each are used
    void update(const std::map<std::string, std::string>& entries, const std::map<std::string, std::string>& engines, const std::set<std::string>& restrictedRegions = {});

    bool contains(const std::string& engine) const { return m_isWhole || m_engines.count(engine) != 0; }

    /// Returns whether this entry uses all engines.
    bool isWhole() const { return m_isWhole; }

    /// Returns the engines in use; of small fleets, all.
    const std::set<std::string>& engines() const { return m_engines; }

    /// Returns how many entries use one engine, on average.
    double entriesPerEngine() const { return m_entriesPerEngine; }

private:
    std::string m_self;
    std::string m_region;
    std::set<std::string> m_engines;
    double m_entriesPerEngine = 1;
    bool m_isWhole = true;
};

}
