#pragma once

#include "FleetSupport.h"

namespace hyssopwick {

/// Upstream of a plain service on a loopback port that crashes on one target. While it is down
/// it refuses connections.
class CrashingUpstream {
public:
    CrashingUpstream(EventLoop& loop, std::string crashingTarget)
        : m_loop(loop)
        , m_crashingTarget(std::move(crashingTarget))
    {
        start();
    }

    void start()
    {
        m_listener = std::make_unique<HttpListener>(
            m_loop, [this](const ServerExchangePointer& exchange) { serve(exchange); }, [] { return CallerLimits(); });
        CHECK(m_listener->listen(address()).has_value());
        m_port = m_listener->port();
    }

    bool isUp() const { return m_listener != nullptr; }
    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }

    unsigned crashes = 0;
    unsigned requests = 0;
    std::string limit; ///< that it names in its answers, in requests a second
    bool isLeaving = false; ///< says so in its answers
    bool isFailing = false; ///< answers each request with a failure, without running it

private:
    void serve(const ServerExchangePointer& exchange)
    {
        HeaderFields fields { { "Request-Id", std::string(headerValue(exchange->request().fields, "Request-Id")) }, { "Server-Seal", "s" } };
        if (!limit.empty())
            fields.emplace_back("Server-Limit", limit);
        if (isLeaving)
            fields.emplace_back("Server-Leaving", "1");
        ++requests;
        if (isFailing)
            return exchange->respond(500, fields, "");
        if (exchange->request().target != m_crashingTarget)
            return exchange->respond(200, fields, "ok");
        ++crashes;
        // Ends all connections; not within the handler of one of them.
        asio::post(m_loop, [this] { m_listener.reset(); });
    }

    EventLoop& m_loop;
    std::string m_crashingTarget;
    std::uint16_t m_port = 0;
    std::unique_ptr<HttpListener> m_listener;
};

/// A plain service of a fleet, with the route /q/, whose upstreams crash on one target.
class PlainService {
public:
    static constexpr const char* crashingTarget = "/q/crashing";

    /// \param kind  of the route, as in the configuration
    PlainService(EventLoop& loop, Fleet& fleet, std::size_t count, const std::string& kind, unsigned attempts)
        : m_fleet(fleet)
    {
        for (std::size_t number = 0; number < count; ++number) {
            m_upstreams.push_back(std::make_unique<CrashingUpstream>(loop, crashingTarget));
            enroll(number);
        }
        fleet.store().set("op/config", Fleet::base64(R"({"version":2,"routes":[{"name":"q","host":"a.example","prefix":"/q/","kind":")" + kind + R"(","timeoutMs":6000,"goalMs":2000,"service":"d","attempts":)" + std::to_string(attempts) + R"(}],"services":[{"name":"d"}],"tenants":[{"name":"carrier","keys":["key"]}]})"));
        for (std::size_t entry = 0; entry < fleet.size(); ++entry)
            waitUntilServed(entry);
    }

    CrashingUpstream& upstream(std::size_t number) { return *m_upstreams.at(number); }

    unsigned crashes() const
    {
        unsigned crashes = 0;
        for (const auto& upstream : m_upstreams)
            crashes += upstream->crashes;
        return crashes;
    }

    /// Sends a call to an entry VM and returns the status of the answer, 0 for an incomplete one.
    unsigned call(std::size_t entry, const std::string& target)
    {
        const auto response = send(entry, target);
        return response.isComplete() ? response.status : 0;
    }

    /// Sends a call to an entry VM.
    WholeResponse send(std::size_t entry, const std::string& target)
    {
        return m_fleet.send(entry, { "GET", target, { { "Host", "a.example" }, { "Request-Id", "r" + std::to_string(++m_calls) }, { "Authorization", "Bearer key" }, { "Deadline-Ms", "3000" } }, "" });
    }

    /// Starts the upstreams that crashed again, under new ids.
    void restartAll()
    {
        for (std::size_t number = 0; number < m_upstreams.size(); ++number) {
            if (m_upstreams[number]->isUp())
                continue;
            m_upstreams[number]->start();
            ++m_starts;
            enroll(number);
        }
        for (std::size_t entry = 0; entry < m_fleet.size(); ++entry)
            waitUntilServed(entry);
    }

    void waitUntilServed(std::size_t entry)
    {
        m_fleet.runUntil([&] { return call(entry, "/q/sound") == 200; });
    }

private:
    std::string idOf(std::size_t number) const { return "d-" + std::to_string(m_starts) + "-" + std::to_string(number); }

    void enroll(std::size_t number)
    {
        m_ids.resize(m_upstreams.size());
        if (!m_ids[number].empty())
            m_fleet.store().set("servers/" + m_ids[number], "");
        m_ids[number] = idOf(number);
        m_fleet.store().set("servers/" + m_ids[number], Fleet::base64(R"({"service":"d","address":")" + m_upstreams[number]->address() + R"(","zone":"north-a","slots":6,"state":"ready"})"));
    }

    Fleet& m_fleet;
    std::vector<std::unique_ptr<CrashingUpstream>> m_upstreams;
    std::vector<std::string> m_ids;
    unsigned m_starts = 0;
    unsigned m_calls = 0;
};

}
