#pragma once

#include "HttpServer.h"

#include <list>
#include <map>
#include <nlohmann/json.hpp>

namespace hyssopwick::soak {

using Json = nlohmann::json;

/// The platform's store.
class StoreStandIn {
public:
    StoreStandIn(EventLoop& loop, const std::string& address);

    const std::string& address() const { return m_server.address(); }

    /// Writes as the operator or an engine.
    void set(const std::string& key, const Json& value);
    void remove(const std::string& key);

private:
    struct Item {
        std::string value; ///< in base64
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
        bool isDeleted = false;
    };

    struct Lease {
        TimePoint expiresAt;
        std::int64_t ttlMs = 0;
    };

    struct Watch {
        std::weak_ptr<ServerConnection> connection;
        std::string prefix;
        std::uint64_t after = 0;
        TimePoint expiresAt;
    };

    void serve(const ServerConnectionPointer& connection);
    void serveRange(const ServerConnectionPointer& connection);
    void serveWatch(const ServerConnectionPointer& connection);
    void serveTransaction(const ServerConnectionPointer& connection, const Json& body);
    void serveLease(const ServerConnectionPointer& connection, const std::string& path);

    void write(const std::string& key, const std::string& value, std::uint64_t lease);
    void erase(const std::string& key);
    void endLease(std::uint64_t lease);
    Json changesAfter(const std::string& prefix, std::uint64_t revision) const;
    void answerWatches();
    void expirePeriodically();

    std::map<std::string, Item> m_items;
    std::map<std::uint64_t, Lease> m_leases;
    std::list<Watch> m_watches;
    std::uint64_t m_revision = 10;
    std::uint64_t m_lastLease = 0;
    Timer m_timer;
    HttpServer m_server;
};

}
