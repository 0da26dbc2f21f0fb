#pragma once

#include "FakeServer.h"

namespace hyssopwick {

/// Fake of a plain service, such as permits or a ledger: counts executions for each
/// idempotency key. Fault switches: "delay_ms", "lose_answer" (share of calls
/// executed without an answer), "capacity".
class FakeService : public FakeServer {
public:
    /// \param log  may be null
    FakeService(std::string address, EventLog* log);

    /// Returns the number of executions by idempotency key.
    std::map<std::string, std::uint64_t> executions();

    /// Returns the number of calls executed, with and without a key.
    std::uint64_t executed() const { return m_executed; }

protected:
    void handle(HttpRequest request, HttpResponderPointer responder) override;

private:
    EventLog* m_log;
    std::mutex m_mutex; // guards all below but the counter
    std::map<std::string, std::uint64_t> m_executions;
    RandomSource m_random { 17 };
    std::atomic<std::uint64_t> m_executed { 0 };
};

}
