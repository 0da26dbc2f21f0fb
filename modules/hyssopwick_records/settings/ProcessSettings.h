#pragma once

#include <hyssopwick_core.h>

#include <optional>

namespace hyssopwick {

/// Settings that a program reads from its TOML file; docs/SETTINGS.md lists the
/// keys, units and ranges.
struct ProcessSettings {
    VmIdentity vm;
    std::string listen; ///< "ip:port"
    std::string keyValueAddress;
    std::string vmListAddress;
    std::string originAddress; ///< agents only
    std::string originRegion; ///< agents only: region of the origin
    std::string upstreamAddress; ///< agents only: the local engine or plain service
    std::string peerKeyId;
    std::string peerKey;
    std::string previousPeerKeyId; ///< "" when no key rotation is in progress
    std::string previousPeerKey;
    std::int64_t uplinkBytesPerSecond = 0; ///< agents only: outbound share of the VM's link for weights
    std::int64_t downlinkBytesPerSecond = 0; ///< agents only: inbound share of the VM's link for weights
    std::int64_t regionLinkBytesPerSecond = 0; ///< agents only: share of the link between two regions for weights
    std::int64_t weightBudgetBytes = 0; ///< agents only: memory for staged weights
    std::int64_t keyValueCallsPerSecond = 0;
    std::int64_t workerThreads = 0;
    std::int64_t memoryBytes = 4'000'000'000; ///< that this process may use; bounds what requests may hold
    std::int64_t maxDescriptors = 4096; ///< that this process may have open
};

/// Parses the settings of an entry process.
/// \param findings  receives all problems; the settings are absent if there are any
std::optional<ProcessSettings> parseEntrySettings(const std::string& text, const std::string& file, Findings& findings);

/// Parses the settings of an agent process. \see parseEntrySettings
std::optional<ProcessSettings> parseAgentSettings(const std::string& text, const std::string& file, Findings& findings);

/// Parses the settings of the operator command line. \see parseEntrySettings
std::optional<ProcessSettings> parseOperatorSettings(const std::string& text, const std::string& file, Findings& findings);

}
