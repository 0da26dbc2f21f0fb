#pragma once

#include <algorithm>
#include <cstdint>
#include <hyssopwick_core.h>
#include <map>

namespace hyssopwick {

/// Settings of a process: its location, its addresses and the time limits of the
/// deployment.
struct ProcessDescription {
    std::string node; ///< name of the VM
    std::string ip;
    std::string region;
    std::string failureDomain;
    std::map<std::string, std::string> regionOfFailureDomain;

    std::string callerAddress; ///< "ip:port" that serves callers; "" for none
    std::string readyAddress; ///< for the platform's readiness checks
    std::string directoryAddress; ///< for callers that ask which entry VM to use
    std::uint16_t internalPort = 0; ///< TCP and UDP, between processes of this system
    std::uint16_t metricsPort = 0;

    std::vector<std::string> seedIps; ///< entry VMs to ask first; the list may be out of date
    std::string storeAddress;
    std::string engineAddress; ///< of the engine on the agent's own VM; "" for none
    std::string engineService;

    double linkBytesPerSecond = 1e6; ///< of this VM's link
    double cores = 1; ///< of this VM
    double cpuShare = 1; ///< of each core that this process may use
    std::size_t memoryBytes = std::size_t(128) << 20; ///< that this process may use
    std::size_t maxDescriptors = 4096; ///< that this process may have open, files included

    Milliseconds drainBound { 2000 }; ///< after it a leaving upstream must get no new calls
    Milliseconds stopBound { 8000 }; ///< from SIGTERM to SIGKILL
    Milliseconds versionBound { 8000 }; ///< from publishing a weights version in the store to its use everywhere
    Milliseconds configurationBound { 2000 };
    Milliseconds evacuationBound { 5000 }; ///< after it an evacuated failure domain must get no new calls
    /// Without contact for so long, a process is held to no bounds, and an entry VM that ended so long and
    /// 3 s ago is not named any more; 0 for no bound.
    Milliseconds contactBound { 0 };

    /// Returns how many calls this VM can carry, relative to one whole core. Known VMs have links of
    /// 160 to 400 Mbit/s for a core; a thinner link counts in place of the core.
    double power() const
    {
        constexpr double linkBytesPerSecondOfCore = 12.5e6;
        return std::min(cores * cpuShare, linkBytesPerSecond / linkBytesPerSecondOfCore);
    }

    /// Returns how long changes of the store may be batched before they are applied: a
    /// tenth of the time in which they must take effect, so that the rest is left for
    /// their propagation to all processes.
    Milliseconds changeBatchPeriod() const
    {
        constexpr int batchPeriodDivisor = 10;
        return std::min({ configurationBound, drainBound, evacuationBound }) / batchPeriodDivisor;
    }
    Milliseconds addressLifetime { 5000 }; ///< longest time for which callers may cache addresses
    double retryRatio = 0.2; ///< retries for each first attempt, over all nodes
    double retrySlack = 100; ///< further retries in each window, over all nodes
    Milliseconds retryWindow { 10000 };
    double coldOvershoot = 1.5; ///< factor by which the calls to a cold upstream may exceed what it takes, in any second
    double coldSlack = 5; ///< further calls in any second

    auto tied() const
    {
        return std::tie(node, ip, region, failureDomain, regionOfFailureDomain, callerAddress, readyAddress, directoryAddress, internalPort,
            metricsPort, seedIps, storeAddress, engineAddress, engineService, linkBytesPerSecond, cores, cpuShare, memoryBytes, maxDescriptors, drainBound, stopBound, versionBound,
            configurationBound, contactBound, evacuationBound, addressLifetime, retryRatio, retrySlack, retryWindow, coldOvershoot, coldSlack);
    }
    bool operator==(const ProcessDescription& other) const { return tied() == other.tied(); }
    bool operator!=(const ProcessDescription& other) const { return !(*this == other); }
};

}
