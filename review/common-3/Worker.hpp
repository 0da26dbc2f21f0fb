#pragma once

#include "HttpServer.h"
#include "Record.hpp"
#include "StoreStandIn.h"

#include <deque>
#include <map>
#include <set>

namespace review {

using namespace hyssopwick::soak;

constexpr const char* model = "m0";
constexpr unsigned layerTotal = 16;
constexpr unsigned pieceTotal = 48;
constexpr std::size_t pieceSize = 49152;

/// Returns the bytes of a piece of a version; two versions share none. Kept once it was made.
const std::string& pieceText(std::uint64_t version, unsigned number);

/// Returns the manifest of a version as JSON.
Json manifest(std::uint64_t version);

/// A model worker as the users' pages describe it: pieces are staged unchecked, and an order takes those
/// that are staged at the moment when it is accepted.
class Worker {
public:
    struct Settings {
        std::string id;
        std::string address;
        std::uint64_t version = 1; ///< loaded and staged at the start
        Milliseconds acceptance { 1 }; ///< from the arrival of an order until the worker accepts it
        unsigned slots = 16;
        unsigned queue = 24;
    };

    Worker(EventLoop& loop, StoreStandIn& store, Record& record, Settings settings);

    const std::string& id() const { return m_settings.id; }
    std::uint64_t loadedVersion() const { return m_loaded; }

    /// Changes how long the worker takes to accept an order.
    void setAcceptance(Milliseconds time) { m_settings.acceptance = time; }

    /// Tokens that were made with a layer whose pieces were not all of the loaded version.
    unsigned wrongTokens() const { return m_wrongTokens; }
    /// Orders that were accepted while a piece was missing or of another version.
    unsigned wrongLoads() const { return m_wrongLoads; }
    unsigned loads() const { return m_loads; }

private:
    struct Stream {
        ServerConnectionPointer connection;
        std::string id;
        unsigned events = 0;
        unsigned next = 1;
        TimePoint deadline;
        bool hasHead = false;
        Timer timer;
    };
    using StreamPointer = std::shared_ptr<Stream>;

    void serve(const ServerConnectionPointer& connection);
    void serveReport(const ServerConnectionPointer& connection);
    void serveStage(const ServerConnectionPointer& connection, bool isWrite);
    void serveOrder(const ServerConnectionPointer& connection);
    void acceptOrder(const ServerConnectionPointer& connection);
    void serveStream(const ServerConnectionPointer& connection);
    void refuse(const ServerConnectionPointer& connection, unsigned status, const char* reason);
    void advance();
    void loadIfIdle();
    void scheduleEvent(const StreamPointer& stream, double milliseconds);
    void sendEvent(const StreamPointer& stream);
    void finish(const StreamPointer& stream);
    void publish();
    Json models() const;
    Json layers() const;

    EventLoop& m_loop;
    StoreStandIn& m_store;
    Record& m_record;
    Settings m_settings;
    std::int64_t m_born;
    std::map<unsigned, std::string> m_staged;
    std::uint64_t m_loaded = 0;
    std::set<unsigned> m_wrongPieces; // of the loaded version
    bool m_isOrdered = false;
    bool m_isLoading = false;
    std::uint64_t m_orderedVersion = 0; // 0: no layers
    std::set<unsigned> m_orderedWrongPieces;
    std::uint64_t m_sequence = 0;
    unsigned m_wrongTokens = 0;
    unsigned m_wrongLoads = 0;
    unsigned m_loads = 0;
    std::deque<StreamPointer> m_waiting;
    std::set<StreamPointer> m_running;
    HttpServer m_server;
};

/// The service with the weights.
class Origin {
public:
    Origin(EventLoop& loop, Record& record, const std::string& address);

    const std::string& address() const { return m_server.address(); }

private:
    void serve(const ServerConnectionPointer& connection);

    Record& m_record;
    HttpServer m_server;
};

}
