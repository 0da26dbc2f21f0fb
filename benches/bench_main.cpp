// hyssopwick-bench NAME --seed N [--KEY VALUE ...] [--json]: runs one bench and
// prints its result as one JSON object, or as a table without --json.

#include "hyssopwick_bench/BenchOptions.h"

#include <csignal>
#include <glog/logging.h>
#include <iostream>

namespace {

using namespace hyssopwick;

struct Bench {
    const char* name;
    nlohmann::json (*run)(const BenchOptions& options);
    const char* help;
};

constexpr Bench benches[] = {
    { "distribute", benchDistribute, "--vms N --topology one|caroni|kalupahana --objective time|origin-bytes --dying S --corrupt S --stalled S" },
    { "config", benchConfig, "--nodes N --records N --quiet-s S --loss-s S --cut-s S" },
    { "requests", benchRequests, "--entries N --models N --seconds S --tokens N --bookings N" },
    { "routing", benchRouting, "--load S --groups N" },
    { "shares", benchShares, "" },
    { "audit", benchAudit, "--events N" },
};

int usage(std::ostream& out)
{
    out << "hyssopwick-bench NAME --seed N [--KEY VALUE ...] [--json]\n\n";
    for (const auto& bench : benches)
        out << "  " << bench.name << " " << bench.help << "\n";
    return 2;
}

void printTable(const nlohmann::json& result)
{
    for (const auto& [key, value] : result.items())
        std::cout << key << std::string(key.size() < 28 ? 28 - key.size() : 1, ' ') << value.dump() << "\n";
}

}

int main(int argc, char** argv)
{
    if (argc < 2)
        return usage(std::cerr);
    BenchOptions options;
    bool isJson = false;
    for (int i = 2; i < argc; ++i) {
        const std::string key = argv[i];
        if (key == "--json")
            isJson = true;
        else if (key.rfind("--", 0) == 0 && i + 1 < argc)
            options.values[key.substr(2)] = argv[++i];
        else
            return usage(std::cerr);
    }
    options.seed = static_cast<std::uint64_t>(options.number("seed", 1));
    std::signal(SIGPIPE, SIG_IGN);
    FLAGS_logtostderr = true;
    FLAGS_minloglevel = 2;
    google::InitGoogleLogging(argv[0]);
    for (const auto& bench : benches) {
        if (std::string(argv[1]) != bench.name)
            continue;
        const auto result = bench.run(options);
        showProgress("");
        if (isJson)
            std::cout << result.dump() << std::endl;
        else
            printTable(result);
        return result.contains("error") ? 1 : 0;
    }
    return usage(std::cerr);
}
