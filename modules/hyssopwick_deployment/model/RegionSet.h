#pragma once

#include <hyssopwick_core.h>
#include <optional>
#include <set>

namespace hyssopwick {

/// The regions whose upstreams may be used: any, or those of a set. The set may be empty, as the
/// intersection of two restrictions without a common region is; it then allows no region. Immutable.
class RegionSet {
public:
    /// Allows any region.
    RegionSet() = default;

    /// Allows the listed regions, or any if none is listed, as in the configuration.
    static RegionSet listed(const std::vector<std::string>& regions);

    /// Allows no region.
    static RegionSet none() { return RegionSet(std::set<std::string>()); }

    RegionSet intersectedWith(const RegionSet& other) const;
    RegionSet unitedWith(const RegionSet& other) const;

    bool isAny() const { return !m_regions; }

    /// Returns whether no region is allowed.
    bool isNone() const { return m_regions && m_regions->empty(); }

    bool allows(const std::string& region) const { return !m_regions || m_regions->count(region) != 0; }

    /// Returns the allowed regions; none if any is allowed.
    std::set<std::string> regions() const { return m_regions.value_or(std::set<std::string>()); }

    /// Returns the regions for a log line, for example "north,south", "any" or "none".
    std::string text() const;

    bool operator==(const RegionSet& other) const { return m_regions == other.m_regions; }
    bool operator!=(const RegionSet& other) const { return !(*this == other); }
    bool operator<(const RegionSet& other) const { return m_regions < other.m_regions; }

private:
    explicit RegionSet(std::set<std::string> regions)
        : m_regions(std::move(regions))
    {
    }

    std::optional<std::set<std::string>> m_regions; // nothing: any
};

}
