#include "RegionSet.h"

namespace hyssopwick {

RegionSet RegionSet::listed(const std::vector<std::string>& regions)
{
    return regions.empty() ? RegionSet() : RegionSet(std::set<std::string>(regions.begin(), regions.end()));
}

RegionSet RegionSet::intersectedWith(const RegionSet& other) const
{
    if (isAny())
        return other;
    std::set<std::string> common;
    for (const auto& region : *m_regions) {
        if (other.allows(region))
            common.insert(region);
    }
    return RegionSet(std::move(common));
}

RegionSet RegionSet::unitedWith(const RegionSet& other) const
{
    if (isAny() || other.isAny())
        return {};
    auto united = *m_regions;
    united.insert(other.m_regions->begin(), other.m_regions->end());
    return RegionSet(std::move(united));
}

std::string RegionSet::text() const
{
    if (isAny())
        return "any";
    std::string text;
    for (const auto& region : *m_regions)
        text += (text.empty() ? "" : ",") + region;
    return text.empty() ? "none" : text;
}

}
