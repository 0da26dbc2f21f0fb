#pragma once

#include "NodeContext.h"

#include <hyssopwick_membership.h>

namespace hyssopwick {

/// The active configuration of this process, as ConfigurationDecision decides. Pulls newer
/// ones from peers, serves it to peers (as a delta where possible), logs each change and
/// notifies the listeners. Thread-safe.
class ActiveConfiguration {
public:
    using Listener = std::function<void(const Configuration&)>;

    explicit ActiveConfiguration(NodeContext& context);

    void registerMethods();

    /// Adds a listener, which is called on any thread after each change.
    void onChange(Listener listener);

    /// Makes a configuration active if ConfigurationDecision adopts it.
    AdoptionResult offer(const Head& head, std::shared_ptr<const Bundle> bundle);

    /// Pulls from \p address if \p revision is higher than the active one and no pull is in
    /// progress.
    void pullIfNewer(const std::string& address, ConfigurationRevision revision);

    /// Records a peer's active revision. \see ConfigurationDecision
    void recordPeerRevision(const std::string& peer, const std::string& failureDomain, ConfigurationRevision revision);

    /// Records the revision of the head that was read from the key-value service.
    void recordHeadRevision(ConfigurationRevision revision);

    /// Records that no revision above \p revision was accepted before \p time.
    void confirmCurrentAt(ConfigurationRevision revision, TimePoint time);

    /// Returns how long ago the active configuration was certainly the newest one. \see ConfigurationDecision
    Milliseconds age() const;

    Configuration current() const;
    ConfigurationRevision revision() const { return m_revision; }
    bool mayServe(std::size_t knownDomains) const;

private:
    void receive(const Outcome<nlohmann::json>& answer);
    nlohmann::json serve(const nlohmann::json& parameters);

    NodeContext& m_context;
    mutable std::mutex m_mutex; // guards the members below except the atomics
    ConfigurationDecision m_decision;
    std::vector<Configuration> m_recent; // for deltas, newest last
    std::vector<Listener> m_listeners;
    std::atomic<ConfigurationRevision> m_revision { 0 };
    std::atomic<bool> m_isPulling { false };
};

}
