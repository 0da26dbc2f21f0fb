#include "EntrySelection.h"

#include <algorithm>
#include <set>

namespace hyssopwick {

namespace {

    double scoreOf(const EntryCandidate& entry, double meanLoad) { return entry.recentSelections + (entry.load - meanLoad) / (meanLoad + 1); }

    std::size_t leastSelected(const std::vector<EntryCandidate>& entries, double meanLoad, RandomSource& random)
    {
        std::size_t best = random.below(entries.size());
        const std::size_t start = best;
        for (std::size_t i = 1; i < entries.size(); ++i) {
            const auto index = (start + i) % entries.size();
            if (scoreOf(entries[index], meanLoad) < scoreOf(entries[best], meanLoad))
                best = index;
        }
        return best;
    }

}

std::vector<VmIdentity> chooseEntries(const std::vector<EntryCandidate>& entries, std::size_t count, RandomSource& random)
{
    std::vector<EntryCandidate> remaining;
    double meanLoad = 0;
    for (const auto& entry : entries) {
        if (entry.isLeaving)
            continue;
        remaining.push_back(entry);
        meanLoad += entry.load;
    }
    if (!remaining.empty())
        meanLoad /= static_cast<double>(remaining.size());
    std::vector<VmIdentity> chosen;
    std::set<std::string> usedDomains;
    while (!remaining.empty() && chosen.size() < count) {
        std::vector<EntryCandidate> pool;
        std::copy_if(remaining.begin(), remaining.end(), std::back_inserter(pool),
            [&](const EntryCandidate& entry) { return usedDomains.count(entry.vm.failureDomain) == 0; });
        if (pool.empty()) {
            usedDomains.clear();
            pool = remaining;
        }
        const auto selected = pool[leastSelected(pool, meanLoad, random)].vm;
        usedDomains.insert(selected.failureDomain);
        chosen.push_back(selected);
        remaining.erase(std::find_if(remaining.begin(), remaining.end(), [&](const EntryCandidate& entry) { return entry.vm == selected; }));
    }
    return chosen;
}

}
