#pragma once

#include <hyssopwick_transport.h>

#include <atomic>
#include <mutex>
#include <nlohmann/json.hpp>

namespace hyssopwick {

/// Base of the fakes: an HTTP server, a scheduler and named fault switches.
class FakeServer {
public:
    /// \param address  "ip:port" to listen on
    /// \param threads  server threads
    explicit FakeServer(std::string address, unsigned threads = 2);
    virtual ~FakeServer();

    /// Starts serving. Fails with ErrorCode::Unavailable.
    Outcome<void> start();

    /// Stops serving abruptly, as if the process were killed.
    void stop();

    /// Sets a fault switch; 0 turns it off. POST /fault with a JSON object does the same.
    void setFault(const std::string& name, double value);

    /// Returns the value of a fault switch; 0 when it was not set.
    double fault(const std::string& name) const;

    const std::string& address() const { return m_address; }

protected:
    /// Handles a request other than /fault and /healthz.
    virtual void handle(HttpRequest request, HttpResponderPointer responder) = 0;

    Scheduler& scheduler() { return m_scheduler; }

private:
    void route(HttpRequest request, HttpResponderPointer responder);

    std::string m_address;
    unsigned m_threads;
    std::unique_ptr<HttpServer> m_server;
    Scheduler m_scheduler;
    mutable std::mutex m_faultMutex; // guards m_faults
    std::map<std::string, double> m_faults;
};

}
