#pragma once

#include "HttpServer.h"
#include "Journal.h"
#include "StoreStandIn.h"
#include "Weights.h"

#include <deque>
#include <map>

namespace hyssopwick::soak {

/// What an engine's time for a stream is made of.
struct EnginePace {
    double promptTokensPerMs = 19.1;
    double stepMs = 8.87;
    double perSequenceMs = 0.05;
    unsigned stride = 5; ///< tokens an event
    unsigned slots = 12;
    unsigned queueLimit = 4;
    double loadSeconds = 0.3;
};

/// A model worker.
class EngineStandIn {
public:
    /// \param loadedVersion  of its weights; 0 for none
    /// \param timeFactor  over 1: streams take longer
    EngineStandIn(EventLoop& loop, StoreStandIn& store, Journal& journal, std::string id, const std::string& address, std::uint64_t loadedVersion, double timeFactor);

    const std::string& id() const { return m_id; }
    const std::string& address() const { return m_server.address(); }
    bool isLeaving() const { return m_isDraining || m_hasLeft; }

    /// Reports that it will leave, and goes on serving.
    void drain();

    /// Ends at once, as in a crash: closes all connections.
    void breakOff();

    /// Removes its entry from the store.
    void unregister() { m_store.remove("servers/" + m_id); }

    void slowDown(double factor, TimePoint until);
    void silenceReports(TimePoint until) { m_silentUntil = until; }

private:
    struct Stream {
        ServerConnectionPointer connection;
        Run* run = nullptr;
        std::string id;
        unsigned eventCount = 0;
        TimePoint deadline;
        Timer timer;
    };
    using StreamPointer = std::shared_ptr<Stream>;

    void serve(const ServerConnectionPointer& connection);
    void serveReport(const ServerConnectionPointer& connection);
    void serveStage(const ServerConnectionPointer& connection, bool isWrite);
    void serveOrder(const ServerConnectionPointer& connection);
    void serveStream(const ServerConnectionPointer& connection);
    void refuse(const ServerConnectionPointer& connection, Run& run, unsigned status);

    void startNext();
    void begin(const StreamPointer& stream);
    void scheduleEvent(const StreamPointer& stream, double delayMs);
    void sendEvent(const StreamPointer& stream);
    void end(const StreamPointer& stream, RunEnd end);
    void loadIfIdle();
    void publish();

    double timeFactor() const { return m_timeFactor * (now() < m_slowUntil ? m_slowFactor : 1); }
    Json models() const;
    Json layers() const;

    EventLoop& m_loop;
    StoreStandIn& m_store;
    Journal& m_journal;
    std::string m_id;
    EnginePace m_pace;
    double m_timeFactor;
    double m_slowFactor = 1;
    TimePoint m_slowUntil;
    TimePoint m_silentUntil;
    std::int64_t m_bornMs;
    std::uint64_t m_loadedVersion;
    std::uint64_t m_orderedVersion = 0; ///< 0: no order is in progress
    std::uint64_t m_orderCount = 0;
    bool m_isLoading = false;
    bool m_isDraining = false;
    bool m_hasLeft = false;
    std::map<unsigned, std::string> m_staged;
    std::deque<StreamPointer> m_waiting;
    std::set<StreamPointer> m_running;
    HttpServer m_server;
};

}
