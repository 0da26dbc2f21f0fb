#include "EntryFleet.h"

#include <thread>

namespace hyssopwick {

namespace {

    constexpr unsigned firstPort = 24000;
    constexpr Milliseconds pollPeriod { 25 };
    constexpr Milliseconds maxWait { 30'000 };

    template <typename Condition>
    double secondsUntil(Condition isMet)
    {
        const auto start = monotonicNow();
        while (!isMet() && monotonicNow() < start + maxWait)
            std::this_thread::sleep_for(pollPeriod);
        return std::chrono::duration<double>(monotonicNow() - start).count();
    }

    // Applies changes and returns the longest time, in seconds, until one was active everywhere.
    double longestPropagation(EntryFleet& fleet, int changes, std::size_t records, Milliseconds delay)
    {
        double longest = 0;
        for (int i = 0; i < changes; ++i) {
            const auto revision = fleet.applyChange(records);
            longest = std::max(longest, revision == 0 ? 999 : secondsUntil([&] { return fleet.isActiveEverywhere(revision); }));
            std::this_thread::sleep_for(delay);
        }
        return longest;
    }

    void sleepSeconds(double seconds) { std::this_thread::sleep_for(std::chrono::duration<double>(seconds)); }

}

nlohmann::json benchConfig(const BenchOptions& options)
{
    const auto count = static_cast<std::size_t>(options.number("nodes", 20));
    const auto records = static_cast<std::size_t>(options.number("records", 100));
    EntryFleet fleet(count, 3, firstPort, options.seed);
    RandomSource random(options.seed);
    if (!fleet.start())
        return { { "error", "a port is taken" } };
    showProgress("waiting until all nodes consider each other alive");
    const auto joinSeconds = secondsUntil([&] { return fleet.falselyDead() == 0; });
    nlohmann::json result { { "bench", "config" }, { "seed", options.seed }, { "nodes", count }, { "records", records }, { "joined_s", joinSeconds } };

    showProgress("no faults: changes and cost");
    result["everywhere_s"] = longestPropagation(fleet, 8, records, Milliseconds(300));
    const auto cpuBefore = processCpuMilliseconds();
    const auto bytesBefore = fleet.total("peer_message_bytes_total");
    const auto callsBefore = fleet.keyValue().calls();
    const auto measuredSeconds = options.number("quiet-s", 10);
    sleepSeconds(measuredSeconds);
    const auto cpuMilliseconds = processCpuMilliseconds() - cpuBefore;
    std::uint64_t calls = 0;
    for (const auto& [kind, number] : fleet.keyValue().calls())
        calls += number - (callsBefore.count(kind) ? callsBefore.at(kind) : 0);
    const auto nodeCount = static_cast<double>(count);
    result["cpu_percent"] = cpuMilliseconds / 10 / measuredSeconds / nodeCount;
    // Only the serving node counts an exchange; on average a node sends as many as it serves.
    result["bytes_per_s"] = 2 * static_cast<double>(fleet.total("peer_message_bytes_total") - bytesBefore) / measuredSeconds / nodeCount;
    result["kv_calls_per_s"] = static_cast<double>(calls) / measuredSeconds;
    result["rss_mb_per_node"] = residentMegabytes() / nodeCount;

    showProgress("5 % loss: false detections");
    const auto suspicionsBefore = fleet.total("suspicions_total");
    fleet.setLoss(0.05);
    sleepSeconds(options.number("loss-s", 10));
    result["falsely_dead_under_loss"] = fleet.total("members_dead_total");
    result["suspicions_under_loss"] = fleet.total("suspicions_total") - suspicionsBefore;
    fleet.setLoss(0);

    showProgress("a node is killed");
    const auto victim = static_cast<std::size_t>(random.below(count));
    fleet.kill(victim);
    result["detected_s"] = secondsUntil([&] { return fleet.nodesConsideringAlive(victim) == 0; });
    fleet.restart(victim);

    showProgress("10 % of the nodes restart while changes go on");
    std::vector<std::size_t> restarted;
    for (std::size_t i = 0; i < std::max<std::size_t>(1, count / 10); ++i) {
        const auto index = static_cast<std::size_t>(random.below(count));
        if (!fleet.isRunning(index))
            continue;
        fleet.kill(index);
        restarted.push_back(index);
    }
    double secondsWhileRestarting = longestPropagation(fleet, 2, records, Milliseconds(100));
    for (const auto index : restarted)
        fleet.restart(index);
    secondsWhileRestarting = std::max(secondsWhileRestarting, longestPropagation(fleet, 4, records, Milliseconds(100)));
    result["everywhere_restarting_s"] = secondsWhileRestarting;

    showProgress("a region is cut off and reconnected");
    fleet.setCutOff("region-1", true);
    sleepSeconds(3);
    const auto revision = fleet.applyChange(records);
    const auto secondsOutsideCut = secondsUntil([&] { return fleet.isActiveEverywhere(revision); });
    sleepSeconds(options.number("cut-s", 6));
    fleet.setCutOff("region-1", false);
    result["everywhere_outside_cut_s"] = secondsOutsideCut;
    result["everywhere_after_heal_s"] = secondsUntil([&] { return fleet.isActiveEverywhere(revision); });
    result["members_whole_after_heal_s"] = secondsUntil([&] { return fleet.falselyDead() == 0; });
    result["conflicts"] = fleet.total("configuration_offers_total", "conflict");
    return result;
}

}
