#pragma once

#include "BenchOptions.h"

#include <hyssopwick_fakes.h>
#include <hyssopwick_node.h>
#include <hyssopwick_operator.h>
#include <set>

namespace hyssopwick {

/// Many entry nodes in one process with fakes of the platform, for benches.
class EntryFleet {
public:
    /// \param count    entry nodes
    /// \param regions  regions that the nodes are spread over
    /// \param port     first port; the platform uses the first ten
    EntryFleet(std::size_t count, std::size_t regions, unsigned port, std::uint64_t seed);
    ~EntryFleet();

    /// Starts all nodes; returns false if a port is in use.
    bool start();

    /// Stops a node abruptly, as if its process were killed.
    void kill(std::size_t index);

    /// Restarts a killed node.
    void restart(std::size_t index);

    /// Cuts the nodes of a region off from all other nodes and the platform, or reconnects them.
    void setCutOff(const std::string& region, bool isCutOff);

    /// Drops this share of all messages between nodes.
    void setLoss(double share) { m_loss = share; }

    /// Applies a configuration change and returns its revision; 0 on failure.
    ConfigurationRevision applyChange(std::size_t records);

    /// Returns whether every running node outside cut-off regions has at least \p revision.
    bool isActiveEverywhere(ConfigurationRevision revision) const;

    /// Returns the number of running nodes that consider node \p index alive.
    std::size_t nodesConsideringAlive(std::size_t index) const;

    /// Returns the number of running nodes that at least one running node does not consider alive.
    std::size_t falselyDead() const;

    /// Returns the sum of a counter over all running nodes.
    std::uint64_t total(const std::string& counter, const std::string& label = "") const;

    FakeKeyValue& keyValue() { return m_keyValue; }
    std::size_t size() const { return m_nodes.size(); }
    bool isRunning(std::size_t index) const { return m_nodes[index] != nullptr; }
    const VmIdentity& vm(std::size_t index) const { return m_vms[index]; }

private:
    ProcessSettings settingsOf(const VmIdentity& vm) const;
    std::unique_ptr<EntryNode> makeNode(const VmIdentity& vm);
    /// Returns \p url, or a URL that is never answered if the request is to be lost.
    std::string rewriteUrl(const std::string& region, const std::string& url);

    unsigned m_port;
    FakeKeyValue m_keyValue;
    FakeVmList m_vmList;
    std::vector<VmIdentity> m_vms;
    std::vector<std::unique_ptr<EntryNode>> m_nodes;
    std::map<std::string, std::string> m_regionOf; // address to region
    std::mutex m_mutex; // guards m_cutOff and m_random
    std::set<std::string> m_cutOff;
    RandomSource m_random;
    std::atomic<double> m_loss { 0 };
    std::uint64_t m_changes = 0;
    int m_blackHole = -1; // accepts connections and never answers
};

}
