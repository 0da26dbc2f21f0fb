#pragma once

#include "../runtime/ActiveConfiguration.h"
#include "../runtime/SharedMemberTable.h"

#include <condition_variable>
#include <thread>

namespace hyssopwick {

/// Follows the head of the configuration in the key-value service. The first two entry VMs of
/// each region's rendezvous order watch it; the others read it once at their start and then
/// learn of changes by gossip, so that the load on the service does not grow with the fleet.
/// The watchers also read the platform's VM list.
class HeadWatcher {
public:
    HeadWatcher(NodeContext& context, SharedMemberTable& members, ActiveConfiguration& configuration, KeyValueLimiter& keyValue);
    ~HeadWatcher();

    void start();

    /// Joins the watching thread.
    void stop();

private:
    void run();
    bool isWatcher();
    bool readHead();
    /// Returns whether the head needs no further read. One whose bundle could not be read does.
    /// \param currentAt  a time before the service sent its answer
    bool adopt(const KeyValue& stored, TimePoint currentAt);
    bool readBundle(const Head& head);
    Milliseconds nextRetryDelay();
    void readVmList();

    NodeContext& m_context;
    SharedMemberTable& m_members;
    ActiveConfiguration& m_configuration;
    KeyValueLimiter& m_keyValue;
    VmListClient m_vmList;
    KeyRevision m_headKeyRevision = 0;
    unsigned m_failedReads = 0; // of the newest head's bundle, in a row
    TimePoint m_vmListReadAt;
    RandomSource m_random;
    std::mutex m_mutex; // guards m_isStopping
    std::condition_variable m_wake;
    bool m_isStopping = false;
    std::thread m_thread;
};

}
