#include "SystemFleet.h"

#include <cmath>
#include <thread>

namespace hyssopwick {

namespace {

    constexpr Milliseconds settleTime { 2500 };

    std::vector<AccountRecord> tenAccounts(std::int64_t limit)
    {
        std::vector<AccountRecord> accounts;
        for (int i = 0; i < 10; ++i) {
            const auto name = (i < 2 ? "large-" : "small-") + std::to_string(i);
            accounts.push_back({ name, Digest::of(SystemFleet::secretOf(name)), 1, 5, i == 9 ? limit : 0 });
        }
        return accounts;
    }

    std::uint64_t answeredBy(const std::vector<std::unique_ptr<FakeCaller>>& callers)
    {
        std::uint64_t answered = 0;
        for (const auto& caller : callers)
            answered += caller->counts().answered;
        return answered;
    }

    // Runs callers for \p seconds and returns the counts of each.
    // \param answeredPerSecond  receives the rate of answers after the first quarter
    std::map<std::string, FakeCallerCounts> runCallers(std::vector<std::unique_ptr<FakeCaller>>& callers, const std::vector<std::string>& names, double seconds,
        double* answeredPerSecond = nullptr)
    {
        for (auto& caller : callers)
            caller->start();
        std::this_thread::sleep_for(std::chrono::duration<double>(seconds / 4));
        const auto answeredBefore = answeredBy(callers);
        const auto measuredFrom = monotonicNow();
        std::this_thread::sleep_for(std::chrono::duration<double>(seconds * 3 / 4));
        if (answeredPerSecond)
            *answeredPerSecond = static_cast<double>(answeredBy(callers) - answeredBefore) / std::chrono::duration<double>(monotonicNow() - measuredFrom).count();
        for (auto& caller : callers)
            caller->stop();
        std::map<std::string, FakeCallerCounts> counts;
        for (std::size_t i = 0; i < callers.size(); ++i) {
            callers[i]->finish(monotonicNow() + Milliseconds(20'000));
            counts[names[i]] = callers[i]->counts();
        }
        callers.clear();
        return counts;
    }

    // Median and 99th percentile of the total time of a small call through an entry VM and of
    // the same call sent directly to the service, alternating in one run.
    nlohmann::json measureLatency(SystemFleet& fleet)
    {
        HttpClient client;
        std::vector<double> direct;
        std::vector<double> throughEntry;
        const auto account = std::string("small-2");
        for (int i = 0; i < 400; ++i) {
            for (const bool isDirect : { true, false }) {
                HttpClientRequest request;
                request.method = "POST";
                request.url = "http://" + (isDirect ? fleet.service(0).address() : fleet.entryAddresses()[0]) + "/v1/services/permit/status";
                request.headers = { { "X-Account", account }, { "Authorization", "Bearer " + SystemFleet::secretOf(account) }, { "X-Request-Id", "latency-" + std::to_string(i) } };
                request.body = std::make_shared<const std::string>("{}");
                request.deadline = monotonicNow() + Milliseconds(2000);
                const auto startedAt = monotonicNow();
                const auto answer = client.send(std::move(request));
                if (answer && answer.value().status == 200)
                    (isDirect ? direct : throughEntry).push_back(std::chrono::duration<double, std::milli>(monotonicNow() - startedAt).count());
            }
        }
        return { { "direct_p50_ms", percentile(direct, 0.5) }, { "direct_p99_ms", percentile(direct, 0.99) }, { "through_p50_ms", percentile(throughEntry, 0.5) }, { "through_p99_ms", percentile(throughEntry, 0.99) }, { "samples", throughEntry.size() } };
    }

    nlohmann::json measureOverload(SystemFleet& fleet, double load, double seconds, unsigned tokens)
    {
        const auto capacity = fleet.engineCapacityPerSecond(tokens);
        double answeredPerSecond = 0;
        // Eight small accounts stay within their share; two large ones offer the rest.
        const double smallRate = capacity * 0.05;
        const double largeRate = (capacity * load - 8 * smallRate) / 2;
        std::vector<std::unique_ptr<FakeCaller>> callers;
        std::vector<std::string> names;
        for (int i = 0; i < 10; ++i) {
            names.push_back((i < 2 ? "large-" : "small-") + std::to_string(i));
            auto options = fleet.callerOptions(names.back(), static_cast<std::uint64_t>(i + 1));
            options.tokens = tokens;
            options.deadline = Milliseconds(4000);
            options.completionsPerSecond = i < 2 ? largeRate : smallRate;
            callers.push_back(std::make_unique<FakeCaller>(options, nullptr));
        }
        const auto counts = runCallers(callers, names, seconds, &answeredPerSecond);
        double smallSent = 0;
        double smallAnswered = 0;
        std::map<std::string, std::uint64_t> refusals;
        std::vector<double> firstToken;
        std::uint64_t notWhole = 0;
        for (const auto& [name, callerCounts] : counts) {
            notWhole += callerCounts.notWhole;
            for (const auto& [reason, number] : callerCounts.refusals)
                refusals[reason] += number;
            if (name.rfind("small", 0) != 0)
                continue;
            smallSent += static_cast<double>(callerCounts.sent);
            smallAnswered += static_cast<double>(callerCounts.answered);
            firstToken.insert(firstToken.end(), callerCounts.firstTokenMilliseconds.begin(), callerCounts.firstTokenMilliseconds.end());
        }
        return { { "offered_per_s", capacity * load }, { "capacity_per_s", capacity }, { "goodput_of_capacity", answeredPerSecond / capacity }, { "small_lost_share", 1 - smallAnswered / std::max(1.0, smallSent) },
            { "small_first_token_p95_ms", percentile(firstToken, 0.95) }, { "not_whole", notWhole }, { "refusals", refusals } };
    }

    nlohmann::json measureBookings(SystemFleet& fleet, double perSecond, double seconds)
    {
        const auto callsBefore = fleet.keyValue().calls();
        std::vector<std::unique_ptr<FakeCaller>> callers;
        std::vector<std::string> names;
        for (int i = 2; i < 6; ++i) {
            names.push_back("small-" + std::to_string(i));
            auto options = fleet.callerOptions(names.back(), static_cast<std::uint64_t>(100 + i));
            options.bookingsPerSecond = perSecond / 4;
            options.repeatShare = 0.1;
            callers.push_back(std::make_unique<FakeCaller>(options, nullptr));
        }
        const auto counts = runCallers(callers, names, seconds);
        std::uint64_t calls = 0;
        for (const auto& [kind, number] : fleet.keyValue().calls())
            calls += number - (callsBefore.count(kind) ? callsBefore.at(kind) : 0);
        double answered = 0;
        double sent = 0;
        std::map<std::string, std::uint64_t> refusals;
        std::vector<double> latency;
        for (const auto& [name, callerCounts] : counts) {
            answered += static_cast<double>(callerCounts.bookingsAnswered);
            sent += static_cast<double>(callerCounts.sent);
            for (const auto& [reason, number] : callerCounts.refusals)
                refusals[reason] += number;
            latency.insert(latency.end(), callerCounts.totalMilliseconds.begin(), callerCounts.totalMilliseconds.end());
        }
        std::uint64_t executedTwice = 0;
        std::map<std::string, std::uint64_t> executions;
        for (std::size_t i = 0; i < fleet.services(); ++i) {
            for (const auto& [key, number] : fleet.service(i).executions())
                executions[key] += number;
        }
        for (const auto& [key, number] : executions)
            executedTwice += number > 1;
        return { { "per_s", sent / seconds }, { "answered_share", answered / std::max(1.0, sent) }, { "kv_calls_per_booking", static_cast<double>(calls) / std::max(1.0, sent) }, { "executed_twice", executedTwice }, { "p50_ms", percentile(latency, 0.5) }, { "p99_ms", percentile(latency, 0.99) }, { "refusals", refusals } };
    }

    double measureImbalance(SystemFleet& fleet, double seconds)
    {
        std::vector<std::unique_ptr<FakeCaller>> callers;
        std::vector<std::string> names;
        for (int callerIndex = 0; callerIndex < 60; ++callerIndex) {
            names.push_back("small-" + std::to_string(2 + callerIndex % 7) + "#" + std::to_string(callerIndex));
            auto options = fleet.callerOptions(names.back().substr(0, 7), static_cast<std::uint64_t>(200 + callerIndex));
            options.completionsPerSecond = 2;
            options.tokens = 5;
            callers.push_back(std::make_unique<FakeCaller>(options, nullptr));
        }
        std::map<std::string, double> byEntry;
        for (const auto& [name, callerCounts] : runCallers(callers, names, seconds)) {
            for (const auto& [entry, number] : callerCounts.byEntry)
                byEntry[entry] += static_cast<double>(number);
        }
        double sum = 0;
        double highest = 0;
        for (const auto& address : fleet.entryAddresses()) {
            sum += byEntry[address];
            highest = std::max(highest, byEntry[address]);
        }
        return highest / std::max(1.0, sum / static_cast<double>(fleet.entryAddresses().size()));
    }

}

nlohmann::json benchRequests(const BenchOptions& options)
{
    SystemFleetOptions system;
    system.entries = static_cast<std::size_t>(options.number("entries", 4));
    system.modelVms = static_cast<std::size_t>(options.number("models", 6));
    system.seed = options.seed;
    system.accounts = tenAccounts(0);
    SystemFleet fleet(system);
    const auto startError = fleet.start();
    if (!startError.empty())
        return { { "error", startError } };
    std::this_thread::sleep_for(settleTime);
    const auto seconds = options.number("seconds", 10);
    const auto tokens = static_cast<unsigned>(options.number("tokens", 20));
    nlohmann::json result { { "bench", "requests" }, { "seed", options.seed }, { "entries", system.entries }, { "models", system.modelVms } };
    showProgress("latency added");
    result["latency"] = measureLatency(fleet);
    showProgress("80 % load");
    result["load_80"] = measureOverload(fleet, 0.8, seconds, tokens);
    showProgress("200 % load");
    result["load_200"] = measureOverload(fleet, 2, seconds, tokens);
    std::this_thread::sleep_for(settleTime);
    showProgress("bookings");
    result["bookings"] = measureBookings(fleet, options.number("bookings", 200), seconds);
    showProgress("spread over the entry nodes");
    result["entry_imbalance"] = measureImbalance(fleet, std::max(seconds, 20.0));
    return result;
}

}
