// A deployment with plain services only: store, workers and entries.
#pragma once

#include "standins.hpp"

#include <algorithm>

namespace review {

/// A worker of a plain service that runs each request it gets and records its body.
class PlainWorker {
public:
    struct Run {
        std::string worker;
        std::string target;
        std::string bodyDigest;
        std::string tenant;
    };

    PlainWorker(std::string id, const std::string& address, double workMs)
        : m_id(std::move(id))
        , m_workMs(workMs)
        , m_server(address, [this](const Request& request, Connection& connection) { return serve(request, connection); })
    {
    }

    const std::string& id() const { return m_id; }
    const std::string& address() const { return m_server.address(); }

    /// All runs of all workers, by request id.
    static std::map<std::string, std::vector<Run>> runs()
    {
        std::lock_guard<std::mutex> lock(mutex());
        return allRuns();
    }

private:
    static std::mutex& mutex()
    {
        static std::mutex value;
        return value;
    }

    static std::map<std::string, std::vector<Run>>& allRuns()
    {
        static std::map<std::string, std::vector<Run>> value;
        return value;
    }

    bool serve(const Request& request, Connection& connection)
    {
        if (request.target == "/health")
            return connection.send(answerText(200, { { "Instance-Id", m_id } }, ""));
        const auto id = fieldOf(request.fields, "Request-Id");
        const auto expected = fieldOf(request.fields, "Expect-Instance");
        if (!expected.empty() && expected != m_id)
            return connection.send(answerText(421, { { "Instance-Id", m_id }, { "Request-Id", id } }, ""));
        {
            std::lock_guard<std::mutex> lock(mutex());
            allRuns()[id].push_back({ m_id, request.target, sha256(request.body), fieldOf(request.fields, "Tenant") });
        }
        NOTE("worker %s runs %s %s, %zu bytes", m_id.c_str(), id.c_str(), request.target.c_str(), request.body.size());
        sleepMs(m_workMs);
        return connection.send(answerText(200, { { "Request-Id", id }, { "Server-Seal", "seal-" + id } }, "ran " + id));
    }

    std::string m_id;
    double m_workMs;
    Server m_server;
};

inline Json plainConfiguration(std::uint64_t version)
{
    return { { "version", version },
        { "routes", Json::array({ { { "name", "book" }, { "host", "permits.example" }, { "prefix", "/book/" }, { "kind", "unsafe" }, { "timeoutMs", 6000 }, { "goalMs", 150 }, { "priority", 2 }, { "attempts", 2 }, { "service", "permits" } },
                          { { "name", "read" }, { "host", "permits.example" }, { "prefix", "/read/" }, { "kind", "safe" }, { "timeoutMs", 6000 }, { "goalMs", 150 }, { "priority", 2 }, { "attempts", 2 }, { "service", "permits" } } }) },
        { "services", Json::array({ { { "name", "permits" }, { "maxConns", 248 }, { "healthPath", "/health" } } }) },
        { "tenants", Json::array({ { { "name", "tenant-a" }, { "keys", Json::array({ "key-of-tenant-a" }) } } }) },
        { "limits", limitsOf() } };
}

}
