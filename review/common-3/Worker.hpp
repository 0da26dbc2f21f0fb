#pragma once

#include "HttpServer.h"
#include "Record.hpp"
#include "StoreStandIn.h"

#include <deque>
#include <optional>
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

    /// Stands still until then, as its machine does: what arrives meanwhile is handled afterwards.
    void freeze(TimePoint until);

    struct Run {
        std::string id;
        std::optional<TimePoint> endedAt;
    };
    /// All requests that were begun.
    const std::deque<Run>& runs() const { return m_runs; }

    /// Until then, this share of the answers to reports and to calls for staged pieces is sent a second time, late.
    void sendExtraAnswers(double share, TimePoint until);
    unsigned answers() const { return m_answers; }
    unsigned extraAnswers() const { return m_extraAnswers; }

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
        Run* run = nullptr;
    };
    using StreamPointer = std::shared_ptr<Stream>;

    void serve(const ServerConnectionPointer& connection);
    void serveReport(const ServerConnectionPointer& connection);
    void serveStage(const ServerConnectionPointer& connection, bool isWrite);
    void answer(const ServerConnectionPointer& connection, unsigned status, const Fields& fields, const std::string& body);
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

    /// Returns whether the worker stands still; the handler is called afterwards.
    bool isFrozen(std::function<void()> handler);

    EventLoop& m_loop;
    StoreStandIn& m_store;
    Record& m_record;
    Settings m_settings;
    TimePoint m_frozenUntil;
    std::deque<Run> m_runs; // references stay valid
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
    double m_extraShare = 0;
    TimePoint m_extraUntil;
    unsigned m_answers = 0;
    unsigned m_extraAnswers = 0;
    Random m_random { std::random_device {}() };
    std::deque<StreamPointer> m_waiting;
    std::set<StreamPointer> m_running;
    HttpServer m_server;
};

/// The service with the weights.
class Origin {
public:
    Origin(EventLoop& loop, Record& record, const std::string& address);

    /// From now on, one digit of one digest is changed in the next manifests of this version.
    void spoilManifests(std::uint64_t version, unsigned count);

    const std::string& address() const { return m_server.address(); }
    unsigned answers() const { return m_answers; }
    unsigned spoilt() const { return m_spoilt; }

private:
    void serve(const ServerConnectionPointer& connection);

    Record& m_record;
    std::uint64_t m_spoiltVersion = 0;
    unsigned m_toSpoil = 0;
    unsigned m_answers = 0;
    unsigned m_spoilt = 0;
    HttpServer m_server;
};

}
