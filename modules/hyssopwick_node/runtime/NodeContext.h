#pragma once

#include <hyssopwick_records.h>
#include <hyssopwick_transport.h>

#include <atomic>
#include <mutex>
#include <optional>
#include <set>

namespace hyssopwick {

/// What every part of one process shares. Parts hold references to it; stop() ends
/// all threads that may call back into a part, so call it before destroying parts.
class NodeContext {
public:
    /// \param settings  checked settings
    /// \param sink      where event lines go
    /// \param threads   threads of the worker pool
    NodeContext(ProcessSettings settings, EventLog::Sink sink, std::size_t threads);
    ~NodeContext();

    /// Stops the scheduler, the HTTP client and the worker pool.
    void stop();

    /// Returns a number that differs for each run of the process and rises with time.
    std::uint64_t incarnation() const { return m_incarnation; }

    /// Returns a text that is unique in the fleet.
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
