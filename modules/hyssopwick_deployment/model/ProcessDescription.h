#pragma once

#include <cstdint>
#include <hyssopwick_core.h>
#include <map>

namespace hyssopwick {

/// What a process learns from its settings: where it stands, what it listens on and
/// the bounds of the deployment.
struct ProcessDescription {
    std::string node; ///< name of the VM
    std::string ip;
    std::string region;
    std::string failureDomain;
    std::map<std::string, std::string> regionOfFailureDomain;

    std::string callerAddress; ///< "ip:port" for callers; "" when not served
    std::string readyAddress; ///< for the platform's readiness checks
    std::string directoryAddress; ///< for callers that ask which entry VM to use
    std::uint16_t internalPort = 0; ///< TCP and UDP, between our processes
    std::uint16_t metricsPort = 0;

    std::vector<std::string> seedIps; ///< entry VMs to ask first; may be stale
    std::string storeAddress;
    std::string engineAddress; ///< of the engine on the agent's own VM; "" without one
    std::string engineService;

    double linkBytesPerSecond = 1e6; ///< of this VM's link

    Milliseconds drainBound { 2000 }; ///< after it a leaving upstream gets no calls
    Milliseconds stopBound { 8000 }; ///< from SIGTERM to SIGKILL
    Milliseconds versionBound { 8000 }; ///< from naming a weights version to its use everywhere
    Milliseconds configurationBound { 2000 };

    /// Returns for how long changes of the store may be collected before they are taken in.
    /// A tenth of the time in which they must be in force leaves the rest to their way
    /// through the nodes.
    Milliseconds changeBatchPeriod() const
    {
        constexpr int collectionShare = 10;
        return std::min(configurationBound, drainBound) / collectionShare;
    }
    Milliseconds addressLifetime { 5000 }; ///< longest time that callers may be told to keep addresses
    double retryRatio = 0.2; ///< retries for each first attempt, over all nodes
    double retrySlack = 100; ///< retries besides, in each window, over all nodes
    Milliseconds retryWindow { 10000 };

    auto tied() const
    {
        return std::tie(node, ip, region, failureDomain, regionOfFailureDomain, callerAddress, readyAddress, directoryAddress, internalPort,
            metricsPort, seedIps, storeAddress, engineAddress, engineService, linkBytesPerSecond, drainBound, stopBound, versionBound,
            configurationBound, addressLifetime, retryRatio, retrySlack, retryWindow);
    }
    bool operator==(const ProcessDescription& other) const { return tied() == other.tied(); }
    bool operator!=(const ProcessDescription& other) const { return !(*this == other); }
};

}
