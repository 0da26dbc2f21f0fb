#pragma once

#include "EntryServices.h"

namespace hyssopwick {

/// Subscribes an entry VM to the agents of the engines that it uses, and states its demand to
/// them. Used by one event loop.
class EngineSubscriptions {
public:
    /// \param self  returns the identity of this entry VM
    EngineSubscriptions(EntryServices& services, PeerSocket& socket, std::function<VmIdentity()> self);

    /// Starts to check regularly which subscriptions are due.
    void start();

    /// Sends the subscriptions that are due.
    void send();

private:
    // What was last logged and counted of a service.
    struct Reported {
        double level = AdmissionLevel::all;
        TimePoint loggedAt;
        LevelCounts counts;
    };

    void sendFor(const std::string& service, TimePoint now);
    void report(const std::string& service, const CallQueue& queue, const EnginePool& pool, TimePoint now);

    EntryServices& m_services;
    PeerSocket& m_socket;
    std::function<VmIdentity()> m_self;
    LoopTimer m_timer;
    std::map<std::string, SubscriptionSchedule> m_schedules; // by service
    std::map<std::string, Reported> m_reported; // by service
};

}
