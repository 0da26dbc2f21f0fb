#pragma once

#include <hyssopwick_records.h>

#include <memory>

namespace hyssopwick {

/// A configuration in force: its head and bundle.
struct Configuration {
    Head head;
    std::shared_ptr<const Bundle> bundle;
};

/// What became of an offered configuration.
enum class AdoptionResult {
    Adopted,
    Known, ///< the same revision is in force
    Older, ///< a lower revision; never applied
    DigestDiffers, ///< the bundle is not the one that the head names
    NewerSchema, ///< written for a newer program; this one keeps what it has
    Conflict, ///< the revision in force has another digest: never expected
};

/// Returns the counter label of a verdict, for example "older".
const char* adoptionResultName(AdoptionResult verdict);

/// Decides which configuration is in force: only a higher revision replaces one. A
/// fresh process serves nothing until it has read the head from the key-value
/// service or, in an outage of it, has asked enough peers. Pure.
class ConfigurationDecision {
public:
    /// Offers a configuration, from the key-value service or from a peer.
    AdoptionResult offer(const Head& head, std::shared_ptr<const Bundle> bundle);

    /// Records the answer of a peer that was asked while the key-value service is
    /// out. \param revision  what the peer has in force; 0 for none
    void recordPeerRevision(const std::string& peer, const std::string& failureDomain, ConfigurationRevision revision);

    /// Records that the key-value service stated the head's revision; 0 for no head.
    void recordHeadRevision(ConfigurationRevision revision);

    /// Returns whether this process may serve by the configuration in force: the
    /// head was read and reached, or peers of enough failure domains have been
    /// asked and the highest of their revisions is in force.
    /// \param knownDomains  failure domains with other live entry VMs
    bool mayServe(std::size_t knownDomains) const;

    /// Returns the configuration in force, with revision 0 before the first.
    const Configuration& current() const { return m_current; }

    /// Returns the highest revision heard of, in force or not.
    ConfigurationRevision highestHeard() const { return m_highestHeard; }

private:
    Configuration m_current { {}, std::make_shared<Bundle>() };
    ConfigurationRevision m_highestHeard = 0;
    ConfigurationRevision m_headRevision = 0;
    bool m_wasHeadRead = false;
    std::map<std::string, std::string> m_askedPeers; // peer to failure domain
    ConfigurationRevision m_highestOfPeers = 0;
};

}
