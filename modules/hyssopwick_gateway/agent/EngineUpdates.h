#pragma once

#include "../runtime/PeerSocket.h"

namespace hyssopwick {

/// Sends the updates on an agent's engine to the entry VMs that use it, and divides the engine
/// among these by the demand that they state. Used by one event loop.
class EngineUpdates {
public:
    EngineUpdates(GatewayContext& context, PeerSocket& socket);

    /// Records the subscription of an entry VM. Returns whether it is a new one.
    bool recordSubscription(const std::string& address, const UpdateSubscription& subscription);

    /// Sends an update when one is due or the engine's state has changed.
    /// \param isEvacuated  the engine is in an evacuated failure domain, so that no entry VM uses it
    /// \param entries  all entry VMs that are registered in the store, by id
    /// \param engines  number of engines of the service that entry VMs use
    void send(const EngineUpdate& update, bool isUrgent, bool isEvacuated, const std::map<std::string, VmIdentity>& entries, std::size_t engines);

    void exportMetrics() const;

private:
    bool isDue(const EngineUpdate& update, TimePoint now) const;
    void expireSubscribers(TimePoint now);
    void divide(const EngineUpdate& update, std::size_t entries, std::size_t engines, TimePoint now);
    void logDivision(TimePoint now);

    GatewayContext& m_context;
    PeerSocket& m_socket;
    RandomSource m_random;
    EngineDivision m_division;
    std::map<std::string, TimePoint> m_subscribers; // time of the last subscription, by address
    EngineUpdate m_lastUpdate;
    TimePoint m_lastUpdateAt;
    TimePoint m_loggedAt;
    bool m_loggedIsDivided = false;
    double m_loggedLevel = AdmissionLevel::all;
};

}
