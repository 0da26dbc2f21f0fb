#include "ProcessSettings.h"

#include "../toml/TableReader.h"

#include <arpa/inet.h>
#include <map>

namespace hyssopwick {

namespace {

    constexpr std::int64_t maxBytesPerSecond = 100'000'000'000;
    constexpr std::int64_t maxWeightBytes = 4'000'000'000'000;
    constexpr std::int64_t defaultWeightBudgetBytes = 16'000'000'000;
    constexpr std::int64_t defaultKeyValueCallsPerSecond = 40;
    constexpr std::int64_t defaultWorkerThreads = 48;
    constexpr std::size_t minPeerKeyLength = 16;
    constexpr std::int64_t minMemoryBytes = 16'000'000;
    constexpr std::int64_t maxMemoryBytes = 1'000'000'000'000;
    constexpr std::int64_t minDescriptors = 256;
    constexpr std::int64_t maxDescriptors = 10'000'000;

    bool isAddress(const std::string& text)
    {
        const auto colon = text.rfind(':');
        if (colon == std::string::npos)
            return false;
        in_addr parsed {};
        if (inet_pton(AF_INET, text.substr(0, colon).c_str(), &parsed) != 1)
            return false;
        const auto port = text.substr(colon + 1);
        if (port.empty() || port.size() > 5 || port.find_first_not_of("0123456789") != std::string::npos)
            return false;
        const auto number = std::stol(port);
        return number >= 1 && number <= 65535;
    }

    // Reads the addresses of a file and reports one that appears under two keys.
    class AddressReader {
    public:
        explicit AddressReader(TableReader& table)
            : m_table(table)
        {
        }

        std::string read(const std::string& key)
        {
            const auto address = m_table.text(key);
            if (address.empty())
                return address;
            if (!isAddress(address)) {
                m_table.report(key, "key \"" + key + "\" is \"" + address + "\" but must be \"ip:port\"");
                return address;
            }
            const auto [existing, isNew] = m_keyByAddress.emplace(address, key);
            if (!isNew)
                m_table.report(key, "key \"" + key + "\" has the same address as \"" + existing->second + "\"");
            return address;
        }

    private:
        TableReader& m_table;
        std::map<std::string, std::string> m_keyByAddress;
    };

    void readPeerKeys(TableReader& table, ProcessSettings& settings)
    {
        settings.peerKeyId = table.text("peer_key_id");
        settings.peerKey = table.text("peer_key");
        settings.previousPeerKeyId = table.text("previous_peer_key_id", "");
        settings.previousPeerKey = table.text("previous_peer_key", "");
        if (!settings.peerKey.empty() && settings.peerKey.size() < minPeerKeyLength)
            table.report("peer_key", "key \"peer_key\" must have at least " + std::to_string(minPeerKeyLength) + " characters");
        if (settings.previousPeerKeyId.empty() != settings.previousPeerKey.empty())
            table.report("previous_peer_key", "keys \"previous_peer_key\" and \"previous_peer_key_id\" go together");
        if (!settings.previousPeerKeyId.empty() && settings.previousPeerKeyId == settings.peerKeyId)
            table.report("previous_peer_key_id", "key \"previous_peer_key_id\" must differ from \"peer_key_id\"");
    }

    void readVm(TableReader& table, AddressReader& addresses, ProcessSettings& settings)
    {
        settings.vm.id = table.text("vm");
        settings.vm.region = table.text("region");
        settings.vm.failureDomain = table.text("failure_domain");
        settings.listen = addresses.read("listen");
        settings.vm.address = settings.listen;
        settings.workerThreads = table.number("worker_threads", 1, 1024, defaultWorkerThreads);
        settings.memoryBytes = table.number("memory_bytes", minMemoryBytes, maxMemoryBytes, settings.memoryBytes);
        settings.maxDescriptors = table.number("max_descriptors", minDescriptors, maxDescriptors, settings.maxDescriptors);
    }

    void readPlatform(TableReader& table, AddressReader& addresses, ProcessSettings& settings)
    {
        settings.keyValueAddress = addresses.read("key_value");
        settings.vmListAddress = addresses.read("vm_list");
        settings.keyValueCallsPerSecond = table.number("key_value_calls_per_second", 1, 2000, defaultKeyValueCallsPerSecond);
        readPeerKeys(table, settings);
    }

    std::optional<ProcessSettings> finish(TableReader& table, ProcessSettings settings, const Findings& findings, std::size_t findingsBefore)
    {
        table.reportUnknownKeys();
        if (findings.size() != findingsBefore)
            return std::nullopt;
        return settings;
    }

}

std::optional<ProcessSettings> parseEntrySettings(const std::string& text, const std::string& file, Findings& findings)
{
    const auto findingsBefore = findings.size();
    TableReader table(text, file, findings);
    AddressReader addresses(table);
    ProcessSettings settings;
    readVm(table, addresses, settings);
    settings.vm.kind = "entry";
    readPlatform(table, addresses, settings);
    return finish(table, settings, findings, findingsBefore);
}

std::optional<ProcessSettings> parseAgentSettings(const std::string& text, const std::string& file, Findings& findings)
{
    const auto findingsBefore = findings.size();
    TableReader table(text, file, findings);
    AddressReader addresses(table);
    ProcessSettings settings;
    readVm(table, addresses, settings);
    settings.vm.kind = table.text("worker_kind");
    readPlatform(table, addresses, settings);
    settings.originAddress = addresses.read("origin");
    settings.originRegion = table.text("origin_region");
    settings.upstreamAddress = addresses.read("upstream");
    settings.uplinkBytesPerSecond = table.number("uplink_bytes_per_second", 1000, maxBytesPerSecond);
    settings.downlinkBytesPerSecond = table.number("downlink_bytes_per_second", 1000, maxBytesPerSecond, settings.uplinkBytesPerSecond);
    settings.regionLinkBytesPerSecond = table.number("region_link_bytes_per_second", 1000, maxBytesPerSecond);
    settings.weightBudgetBytes = table.number("weight_budget_bytes", 1, maxWeightBytes, defaultWeightBudgetBytes);
    return finish(table, settings, findings, findingsBefore);
}

std::optional<ProcessSettings> parseOperatorSettings(const std::string& text, const std::string& file, Findings& findings)
{
    const auto findingsBefore = findings.size();
    TableReader table(text, file, findings);
    AddressReader addresses(table);
    ProcessSettings settings;
    readPlatform(table, addresses, settings);
    return finish(table, settings, findings, findingsBefore);
}

}
