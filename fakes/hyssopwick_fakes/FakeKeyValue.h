#pragma once

#include "FakeServer.h"

namespace hyssopwick {

/// Fake of the platform's key-value service: compare-and-swap, time to live, watches,
/// and a count of every call. Fault switches: "outage", "slow_ms",
/// "lose_write_answers" (share of writes that take effect without an answer),
/// "calls_per_second" (limit; further calls are answered 429).
class FakeKeyValue : public FakeServer {
public:
    explicit FakeKeyValue(std::string address);

    /// Returns the number of calls since the start, by kind.
    std::map<std::string, std::uint64_t> calls() const;

    /// Returns the peak number of calls per second since the last call of this function.
    std::uint64_t takePeakCallsPerSecond();

protected:
    void handle(HttpRequest request, HttpResponderPointer responder) override;

private:
    struct Stored {
        std::string value;
        KeyRevision revision = 0;
        TimePoint expiresAt = TimePoint::max();
    };

    struct Watch {
        std::string key;
        KeyRevision after = 0;
        TimePoint deadline;
        HttpResponderPointer responder;
    };

    void count(const std::string& kind);
    bool isOverLimit();
    nlohmann::json read(const std::string& key);
    nlohmann::json swap(const nlohmann::json& request);
    nlohmann::json remove(const nlohmann::json& request);
    nlohmann::json list(const std::string& prefix);
    void watch(const nlohmann::json& request, HttpResponderPointer responder);
    void answerDueWatches();
    void answer(const HttpResponderPointer& responder, std::string body, bool isWrite);

    mutable std::mutex m_mutex; // guards all below
    std::map<std::string, Stored> m_stored;
    std::vector<Watch> m_watches;
    KeyRevision m_revision = 0;
    RandomSource m_random { 7 };
    std::map<std::string, std::uint64_t> m_calls;
    std::int64_t m_currentSecond = 0;
    std::uint64_t m_callsInSecond = 0;
    std::uint64_t m_peak = 0;
};

}
