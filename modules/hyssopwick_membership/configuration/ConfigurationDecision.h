#pragma once

#include <hyssopwick_records.h>

#include <memory>

namespace hyssopwick {

/// A configuration: its head and bundle.
struct Configuration {
    Head head;
    std::shared_ptr<const Bundle> bundle;
};

/// Result of offering a configuration.
enum class AdoptionResult {
    Adopted,
    Known, ///< this revision is active already
    Older, ///< a lower revision than the active one; never applied
    DigestDiffers, ///< the bundle is not the one that the head names
    NewerSchema, ///< written for a newer program; the active one stays
    Conflict, ///< the active revision has another digest: never expected
};

/// Returns the metric label of a result, for example "older".
const char* adoptionResultName(AdoptionResult result);

/// Decides which configuration is active: only a higher revision replaces one. A newly
/// started process serves nothing until it has read the head from the key-value
/// service or, during an outage of it, has asked enough peers. Pure.
class ConfigurationDecision {
public:
    /// Offers a configuration, from the key-value service or from a peer.
    AdoptionResult offer(const Head& head, std::shared_ptr<const Bundle> bundle);

    /// Records the answer of a peer that was asked during an outage of the key-value
    /// service. \param revision  the peer's active one; 0 for none, which does not count
    void recordPeerRevision(const std::string& peer, const std::string& failureDomain, ConfigurationRevision revision);

    /// Records the head's revision as read from the key-value service; 0 for no head.
    void recordHeadRevision(ConfigurationRevision revision);

    /// Records that no revision above \p revision was accepted before \p time.
    void confirmCurrentAt(ConfigurationRevision revision, TimePoint time);

    /// Returns how long ago the active configuration was certainly the newest one; one hour if it never was, or
    /// while a higher revision is known.
    Milliseconds age(TimePoint now) const;

    /// Returns whether this process may serve by the active configuration: its revision
    /// is at least that of the head or, if the head was never read, at least the highest
    /// of peers that answered with a configuration, in enough failure domains.
    /// \param knownDomains  number of failure domains with other live entry VMs
    bool mayServe(std::size_t knownDomains) const;

    /// Returns the active configuration, with revision 0 before the first.
    const Configuration& current() const { return m_current; }

    /// Returns the highest revision heard of, active or not.
    ConfigurationRevision highestKnownRevision() const { return m_highestKnownRevision; }

private:
    Configuration m_current { {}, std::make_shared<Bundle>() };
    ConfigurationRevision m_highestKnownRevision = 0;
    ConfigurationRevision m_headRevision = 0;
    bool m_wasHeadRead = false;
    std::optional<TimePoint> m_confirmedAt; // time at which the active configuration certainly was the newest one
    std::map<std::string, std::string> m_configuredPeers; // peer to failure domain
    ConfigurationRevision m_highestPeerRevision = 0;
};

}
