#include "EntrySelection.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace hyssopwick {

namespace {

    // With fewer entries near the caller, others are added to the answer.
    constexpr std::size_t minAddresses = 2;
    // An answer names at least this part of the entries near the caller, so that one that fails
    // does not take all connections of a caller with it.
    constexpr std::size_t minPartDivisor = 3;
    // Powers that differ by less are equal: settings are rounded.
    constexpr double equalPowerRatio = 1.1;
    // Loads and demands differ by chance; smaller differences change no answer.
    constexpr double equalLoadRatio = 2;
    constexpr double equalDemandRatio = 1.2;
    // Requests on an entry of mean power that count as no load.
    constexpr double loadOffset = 4;
    // Fewer queries a second say nothing about where callers are.
    constexpr double minQueries = 10;
    // CallerDemand counts over this time. A failure domain has more callers than its part only if the
    // count is above that by this many roots of it, nearly three standard deviations.
    constexpr double demandSeconds = 1;
    constexpr double significantRoots = 2;
    // A correction by load acts after some seconds. Its square root keeps it from overshooting.
    constexpr double maxLoadCorrection = 1.5;

    using Entries = std::vector<EntryCandidate>;

    double totalPower(const Entries& entries)
    {
        double total = 0;
        for (const auto& entry : entries)
            total += entry.power;
        return total;
    }

    /// Load for its power, relative to the mean over all; 1 for a mean one.
    class RelativeLoad {
    public:
        explicit RelativeLoad(const Entries& entries)
        {
            double load = 0;
            for (const auto& entry : entries)
                load += entry.load;
            const double power = std::max(totalPower(entries), std::numeric_limits<double>::min());
            m_offset = loadOffset * double(entries.size()) / power;
            m_mean = load / power;
        }

        double operator()(const EntryCandidate& entry) const { return (entry.load / entry.power + m_offset) / (m_mean + m_offset); }

    private:
        double m_mean = 0;
        double m_offset = 0;
    };

    int distance(const VmIdentity& vm, const CallerPlace& caller) { return vm.failureDomain == caller.failureDomain ? 0 : vm.region == caller.region ? 1
                                                                                                                                                     : 2; }

    // The entries near the caller: of its failure domain, and of farther ones while there are too few.
    std::size_t countNear(const Entries& sorted, const CallerPlace& caller)
    {
        std::size_t count = 0;
        while (count < sorted.size() && (count < minAddresses || distance(sorted[count].vm, caller) == distance(sorted[count - 1].vm, caller)))
            ++count;
        return count;
    }

    /// Which part of the power and of the demand each failure domain has.
    class DemandPlan {
    public:
        DemandPlan(const Entries& entries, const std::map<std::string, double>& demand)
        {
            const double power = totalPower(entries);
            for (const auto& entry : entries) {
                m_power[entry.vm.failureDomain] += entry.power / power;
                m_regions[entry.vm.failureDomain] = entry.vm.region;
            }
            double queries = 0;
            for (const auto& [domain, rate] : demand)
                queries += rate;
            if (queries < minQueries) {
                m_demand = m_power;
                return;
            }
            m_count = queries * demandSeconds;
            for (const auto& [domain, rate] : demand)
                m_demand[domain] = rate / queries;
        }

        /// Returns which part of the demand of some failure domains their entries take.
        double homeShare(const std::set<std::string>& home) const
        {
            double power = 0;
            double demand = 0;
            for (const auto& domain : home) {
                power += partOf(m_power, domain);
                demand += partOf(m_demand, domain);
            }
            const bool isSignificant = (demand - power * equalDemandRatio) * m_count > significantRoots * std::sqrt(power * m_count);
            return isSignificant ? power / demand : 1;
        }

        /// Returns how the surplus of some failure domains in a region is divided over the others.
        std::map<std::string, double> surplusShares(const std::set<std::string>& home, const std::string& region) const
        {
            double regionSurplus = 0;
            double regionRoom = 0;
            double otherRoom = 0;
            for (const auto& [domain, power] : m_power) {
                const bool isOwnRegion = m_regions.at(domain) == region;
                if (isOwnRegion)
                    regionSurplus += std::max(0.0, partOf(m_demand, domain) - power);
                (isOwnRegion ? regionRoom : otherRoom) += roomOf(domain, home);
            }
            const double ownRegionShare = otherRoom <= 0 ? 1 : regionSurplus <= 0 ? 0
                                                                                  : std::min(1.0, regionRoom / regionSurplus);
            std::map<std::string, double> shares;
            for (const auto& [domain, power] : m_power) {
                const bool isOwnRegion = m_regions.at(domain) == region;
                const double room = isOwnRegion ? regionRoom : otherRoom;
                if (room > 0)
                    shares[domain] = (isOwnRegion ? ownRegionShare : 1 - ownRegionShare) * roomOf(domain, home) / room;
            }
            return shares;
        }

    private:
        static double partOf(const std::map<std::string, double>& parts, const std::string& domain)
        {
            const auto found = parts.find(domain);
            return found == parts.end() ? 0 : found->second;
        }

        double roomOf(const std::string& domain, const std::set<std::string>& home) const
        {
            return home.count(domain) > 0 ? 0 : std::max(0.0, partOf(m_power, domain) - partOf(m_demand, domain));
        }

        double m_count = 0; // of queries
        std::map<std::string, double> m_power;
        std::map<std::string, double> m_demand;
        std::map<std::string, std::string> m_regions;
    };

    bool areEqual(const Entries& sorted, std::size_t nearCount, const RelativeLoad& relativeLoad)
    {
        const auto end = sorted.begin() + static_cast<std::ptrdiff_t>(nearCount);
        const auto [weakest, strongest] = std::minmax_element(sorted.begin(), end, [](const EntryCandidate& left, const EntryCandidate& right) { return left.power < right.power; });
        if (strongest->power > weakest->power * equalPowerRatio)
            return false;
        return std::none_of(sorted.begin(), end, [&relativeLoad](const EntryCandidate& entry) { return relativeLoad(entry) > equalLoadRatio; });
    }

    // Scales the shares so that they sum up to a count and none is above 1.
    std::vector<double> inclusionProbabilities(const std::vector<double>& shares, std::size_t count)
    {
        std::vector<double> probabilities(shares.size(), 0);
        double left = double(count);
        double total = 0;
        for (const auto share : shares)
            total += share;
        for (bool hasChanged = true; hasChanged && total > 0;) {
            hasChanged = false;
            const double scale = left / total;
            for (std::size_t i = 0; i < shares.size(); ++i) {
                if (probabilities[i] == 1 || shares[i] * scale < 1)
                    continue;
                probabilities[i] = 1;
                left -= 1;
                total -= shares[i];
                hasChanged = true;
            }
        }
        for (std::size_t i = 0; i < shares.size(); ++i) {
            if (probabilities[i] != 1 && total > 0)
                probabilities[i] = std::max(0.0, std::min(1.0, shares[i] * left / total));
        }
        return probabilities;
    }

    // Systematic sampling: the number of chosen ones is certain, also within a failure domain up to
    // one, and each is chosen with its probability.
    std::vector<std::size_t> sample(const Entries& entries, const std::vector<double>& probabilities, const CallerPlace& caller, RandomSource& random)
    {
        std::vector<std::size_t> order(entries.size());
        for (std::size_t i = 0; i < order.size(); ++i)
            order[i] = i;
        for (std::size_t i = order.size(); i > 1; --i)
            std::swap(order[i - 1], order[random.below(i)]);
        std::stable_sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
            return std::make_tuple(distance(entries[left].vm, caller), entries[left].vm.failureDomain) < std::make_tuple(distance(entries[right].vm, caller), entries[right].vm.failureDomain);
        });
        std::vector<std::size_t> chosen;
        double next = random.unit();
        double sum = 0;
        for (const auto index : order) {
            sum += probabilities[index];
            if (sum <= next)
                continue;
            chosen.push_back(index);
            next += 1;
        }
        std::sort(chosen.begin(), chosen.end());
        return chosen;
    }

    double scoreOf(const EntryCandidate& entry, double meanLoad) { return entry.recentSelections / entry.power + (entry.load / entry.power - meanLoad) / (meanLoad + 1); }

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

    Entries withoutLeaving(const Entries& entries)
    {
        Entries remaining;
        std::copy_if(entries.begin(), entries.end(), std::back_inserter(remaining), [](const EntryCandidate& entry) { return !entry.isLeaving; });
        return remaining;
    }

}

const char* answerBasisName(AnswerBasis basis)
{
    switch (basis) {
    case AnswerBasis::Place:
        return "place";
    case AnswerBasis::Weights:
        return "weights";
    case AnswerBasis::Demand:
        return "demand";
    }
    return "place";
}

AddressChoice chooseEntries(const std::vector<EntryCandidate>& entries, const CallerPlace& caller, const std::map<std::string, double>& demand, std::size_t maxCount, RandomSource& random)
{
    auto sorted = withoutLeaving(entries);
    std::stable_sort(sorted.begin(), sorted.end(), [&caller](const EntryCandidate& left, const EntryCandidate& right) { return distance(left.vm, caller) < distance(right.vm, caller); });
    const auto nearCount = countNear(sorted, caller);
    AddressChoice choice;
    if (sorted.empty())
        return choice;
    std::set<std::string> home { caller.failureDomain };
    for (std::size_t i = 0; i < nearCount; ++i)
        home.insert(sorted[i].vm.failureDomain);
    const RelativeLoad relativeLoad(sorted);
    const DemandPlan plan(sorted, demand);
    choice.homeShare = plan.homeShare(home);
    if (choice.homeShare == 1 && areEqual(sorted, nearCount, relativeLoad)) {
        for (std::size_t i = 0; i < std::min(nearCount, maxCount); ++i)
            choice.entries.push_back(sorted[i].vm);
        return choice;
    }
    choice.basis = choice.homeShare < 1 ? AnswerBasis::Demand : AnswerBasis::Weights;

    std::vector<double> weights;
    std::map<std::string, double> domainWeights;
    double nearWeight = 0;
    double regionWeight = 0; // of the other failure domains of the caller's region
    for (std::size_t i = 0; i < sorted.size(); ++i) {
        const double correction = std::sqrt(relativeLoad(sorted[i]));
        weights.push_back(sorted[i].power / std::max(1 / maxLoadCorrection, std::min(maxLoadCorrection, correction)));
        if (i < nearCount) {
            nearWeight += weights[i];
            continue;
        }
        domainWeights[sorted[i].vm.failureDomain] += weights[i];
        regionWeight += sorted[i].vm.region == caller.region ? weights[i] : 0;
    }
    const double strongest = *std::max_element(weights.begin(), weights.begin() + static_cast<std::ptrdiff_t>(nearCount));
    const auto minCount = std::max(minAddresses, (nearCount + minPartDivisor - 1) / minPartDivisor);
    const auto evenCount = std::max(minCount, static_cast<std::size_t>(nearWeight / strongest));
    // One address in each answer is of another failure domain of the region.
    const double spreadShare = regionWeight > 0 ? 1 / double(evenCount) : 0;
    const auto surplusShares = plan.surplusShares(home, caller.region);
    const double nearShare = surplusShares.empty() ? 1 - spreadShare : std::min(choice.homeShare, 1 - spreadShare);
    const double surplusShare = 1 - nearShare - spreadShare > 0 ? 1 - nearShare - spreadShare : 0;
    std::vector<double> shares;
    for (std::size_t i = 0; i < sorted.size(); ++i) {
        const auto& vm = sorted[i].vm;
        if (i < nearCount) {
            shares.push_back(nearShare * weights[i] / nearWeight);
            continue;
        }
        const auto surplus = surplusShares.find(vm.failureDomain);
        const double ofSurplus = surplus == surplusShares.end() ? 0 : surplusShare * surplus->second * weights[i] / domainWeights[vm.failureDomain];
        shares.push_back(ofSurplus + (vm.region == caller.region ? spreadShare * weights[i] / regionWeight : 0));
    }
    const auto usable = static_cast<std::size_t>(std::count_if(shares.begin(), shares.end(), [](double share) { return share > 0; }));
    const double largest = *std::max_element(shares.begin(), shares.end());
    const auto count = std::min({ std::max(minCount, static_cast<std::size_t>(1 / largest + 1e-9)), usable, maxCount });
    for (const auto index : sample(sorted, inclusionProbabilities(shares, count), caller, random))
        choice.entries.push_back(sorted[index].vm);
    return choice;
}

std::vector<VmIdentity> chooseEntries(const std::vector<EntryCandidate>& entries, std::size_t count, RandomSource& random)
{
    auto remaining = withoutLeaving(entries);
    double meanLoad = 0;
    for (const auto& entry : remaining)
        meanLoad += entry.load / entry.power / double(remaining.size());
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
