#pragma once

#include <hyssopwick_transport.h>

#include <mutex>
#include <nlohmann/json.hpp>

namespace hyssopwick {

/// Properties of a FakeCaller.
struct FakeCallerOptions {
    std::vector<std::string> entries; ///< addresses of entry VMs to ask first
    std::string account;
    std::string secret;
    std::string model; ///< "" for no completions
    std::string bookingPath; ///< path of a non-idempotent method; "" for no bookings
    double completionsPerSecond = 0;
    double bookingsPerSecond = 0;
    unsigned tokens = 20;
    unsigned sharedPrefixes = 8; ///< number of texts that prompts begin with
    unsigned prefixBytes = 256;
    double repeatShare = 0.2; ///< share of bookings that are sent twice with the same key
    Milliseconds deadline { 15'000 };
    std::uint64_t seed = 1;
};

/// Results of a FakeCaller.
struct FakeCallerCounts {
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t notWhole = 0; ///< answers of another request, truncated, or with wrong tokens
    std::uint64_t unknown = 0; ///< connection lost, or answered that the outcome is unknown
    std::uint64_t bookingsAnswered = 0;
    std::uint64_t retried = 0;
    std::map<std::string, std::uint64_t> refusals; ///< those not retried, by reason
    std::vector<double> firstTokenMilliseconds;
    std::vector<double> totalMilliseconds;
    std::map<std::string, std::uint64_t> byEntry;
    std::map<std::string, std::uint64_t> byVersion;
};

/// Fake of callers: asks which entry VMs to use, caches that answer while it is valid,
/// sends requests in an open loop, retries lost connections, refusals that allow a retry
/// and completions, and checks every answer token by token.
class FakeCaller {
public:
    /// \param log  may be null
    FakeCaller(FakeCallerOptions options, EventLog* log);
    ~FakeCaller();

    void start();

    /// Ends sending; does not wait for answers.
    void stop();

    /// Ends sending and waits for outstanding answers until \p deadline.
    void finish(TimePoint deadline);

    FakeCallerCounts counts();

    /// Sends one completion outside the open loop; \p onDone receives 200 for a
    /// complete answer, otherwise 0.
    void sendCompletion(const std::string& prompt, std::function<void(int)> onDone);

private:
    struct Request;
    using RequestPointer = std::shared_ptr<Request>;

    void scheduleNext(bool isBooking, TimePoint previous);
    RequestPointer makeCompletion();
    RequestPointer makeBooking();
    void refreshAddresses(std::function<void()> then);
    void send(const RequestPointer& request);
    void sendTo(const RequestPointer& request, const std::string& address);
    bool receive(const RequestPointer& request, std::string_view data);
    void handleAnswer(const RequestPointer& request, Outcome<HttpClientResponse> answer);
    void retryOrRecord(const RequestPointer& request, const std::string& reason, bool isRepeatable, Milliseconds delay);
    void recordResult(const RequestPointer& request, const std::string& reason);

    FakeCallerOptions m_options;
    EventLog* m_log;
    HttpClient m_client;
    Scheduler m_scheduler;
    std::mutex m_mutex; // guards all below
    RandomSource m_random;
    std::vector<std::string> m_addresses;
    TimePoint m_addressesValidUntil;
    FakeCallerCounts m_counts;
    std::uint64_t m_nextNumber = 1;
    std::uint64_t m_inProgress = 0;
    std::string m_runId;
    bool m_isStopping = false;
};

}
