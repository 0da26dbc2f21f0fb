#pragma once

#include "../runtime/ConfigurationHolder.h"
#include "../runtime/MemberHolder.h"

#include <condition_variable>
#include <thread>

namespace hyssopwick {

/// Reads the head of the configuration from the key-value service. Two entry VMs of
/// each region, by rendezvous order, keep a watch on it; the others read it once
/// when they start and then learn by gossip, so that the service's calls do not
/// grow with the fleet. The watchers also read the platform's VM list.
class HeadWatcher {
public:
    HeadWatcher(NodeContext& context, MemberHolder& members, ConfigurationHolder& configuration, KeyValueLimiter& gate);
    ~HeadWatcher();

    /// Starts the watching thread.
    void start();

    /// Joins the watching thread.
    void stop();

private:
    void run();
    bool isWatcher();
    bool readHead();
    void adopt(const KeyValue& stored);
    void readVmList();

    NodeContext& m_context;
    MemberHolder& m_members;
    ConfigurationHolder& m_configuration;
    KeyValueLimiter& m_gate;
    VmListClient m_vmList;
    KeyRevision m_headKeyRevision = 0;
    TimePoint m_vmListReadAt;
    RandomSource m_random;
    std::mutex m_mutex; // guards m_isStopping
    std::condition_variable m_wake;
    bool m_isStopping = false;
    std::thread m_thread;
};

}
