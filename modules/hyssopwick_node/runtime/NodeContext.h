#pragma once

#include <hyssopwick_records.h>
#include <hyssopwick_transport.h>

#include <atomic>
#include <mutex>
#include <optional>
#include <set>

namespace hyssopwick {

/// Services that the objects of one process share and hold references to. stop() ends all
/// threads that may call back into those objects, so call it before destroying them.
class NodeContext {
public:
    /// \param settings  validated settings
    /// \param sink      receives the log lines
    /// \param threads   size of the worker pool
    NodeContext(ProcessSettings settings, EventLog::Sink sink, std::size_t threads);
    ~NodeContext();

    /// Stops the scheduler, the HTTP client and the worker pool.
    void stop();

    /// Returns a number that increases with each start of the process: its start time in Unix
    /// milliseconds.
    std::uint64_t incarnation() const { return m_incarnation; }

    /// Returns an id that is unique in the fleet.
    std::string uniqueId();

    ProcessSettings settings;
    MetricsRegistry metrics;
    EventLog log;
    HttpClient client;
    PeerAuthenticator authenticator;
    RpcPeer rpc;
    RpcEndpoint endpoint;
    WorkerPool pool;
    Scheduler scheduler;

private:
    std::uint64_t m_incarnation;
    std::atomic<std::uint64_t> m_nextId { 1 };
};

}
