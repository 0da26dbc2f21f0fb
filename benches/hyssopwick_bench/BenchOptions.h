#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace hyssopwick {

/// Options of one bench run: NAME --seed N --KEY VALUE...
struct BenchOptions {
    std::uint64_t seed = 1;
    std::map<std::string, std::string> values;

    /// Returns the value of \p key as a number, or \p fallback.
    double number(const std::string& key, double fallback) const
    {
        const auto found = values.find(key);
        return found == values.end() ? fallback : std::stod(found->second);
    }

    /// Returns the value of \p key, or \p fallback.
    std::string text(const std::string& key, const std::string& fallback) const
    {
        const auto found = values.find(key);
        return found == values.end() ? fallback : found->second;
    }
};

/// Prints progress if standard error is a terminal.
void showProgress(const std::string& text);

double processCpuMilliseconds();

double residentMegabytes();

/// Returns the value below which \p share of \p values lie; 0 for none.
double percentile(std::vector<double> values, double share);

std::string loopback(unsigned port);

nlohmann::json benchDistribute(const BenchOptions& options);
nlohmann::json benchConfig(const BenchOptions& options);
nlohmann::json benchRequests(const BenchOptions& options);
nlohmann::json benchRouting(const BenchOptions& options);
nlohmann::json benchShares(const BenchOptions& options);
nlohmann::json benchAudit(const BenchOptions& options);

}
