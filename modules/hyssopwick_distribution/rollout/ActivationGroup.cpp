#include "ActivationGroup.h"

namespace hyssopwick {

std::vector<std::string> ActivationGroup::membersFor(const std::string& self, const std::string& region, const std::map<std::string, std::string>& regions)
{
    auto all = regions;
    all[self] = region;
    std::vector<std::string> members;
    if (all.size() <= maxWholeFleet) {
        for (const auto& [id, other] : all) {
            if (id != self)
                members.push_back(id);
        }
        return members;
    }
    std::size_t inRegion = 0;
    for (const auto& [id, other] : all)
        inRegion += other == region;
    const auto groups = (inRegion + groupSize - 1) / groupSize;
    const auto groupOf = [groups](const std::string& id) { return stableHash("activation/" + id) % groups; };
    for (const auto& [id, other] : all) {
        if (id != self && other == region && groupOf(id) == groupOf(self))
            members.push_back(id);
    }
    return members;
}

}
