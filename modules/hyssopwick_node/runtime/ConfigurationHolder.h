#pragma once

#include "NodeContext.h"

#include <hyssopwick_membership.h>

namespace hyssopwick {

/// The configuration in force in one process: the shell of ConfigurationDecision.
/// Pulls newer ones from peers, serves them to peers as deltas, logs each change and
/// tells listeners. Thread-safe.
class ConfigurationHolder {
public:
    using Listener = std::function<void(const Configuration&)>;

    explicit ConfigurationHolder(NodeContext& context);

    /// Registers the JSON-RPC methods.
    void registerMethods();

    /// Adds a listener; called on any thread after each change.
    void onChange(Listener listener);

    /// Offers a configuration. \returns the verdict
    AdoptionResult offer(const Head& head, std::shared_ptr<const Bundle> bundle);

    /// Pulls from \p address when \p revision is above the one in force and no pull
    /// is under way.
    void pullIfNewer(const std::string& address, ConfigurationRevision revision);

    /// Records what a peer has in force. \see ConfigurationDecision
    void recordPeerRevision(const std::string& peer, const std::string& failureDomain, ConfigurationRevision revision);

    /// Records the head's revision as read from the key-value service.
    void recordHeadRevision(ConfigurationRevision revision);

    Configuration current() const;
    ConfigurationRevision revision() const { return m_revision; }
    bool mayServe(std::size_t knownDomains) const;

private:
    void receive(const Outcome<nlohmann::json>& answer);
    nlohmann::json serve(const nlohmann::json& parameters);

    NodeContext& m_context;
    mutable std::mutex m_mutex; // guards all below but the atomics
    ConfigurationDecision m_decision;
    std::vector<Configuration> m_recent; // for deltas, newest last
    std::vector<Listener> m_listeners;
    std::atomic<ConfigurationRevision> m_revision { 0 };
    std::atomic<bool> m_isPulling { false };
};

}
