#pragma once

#include "FakeServer.h"

#include <hyssopwick_distribution.h>

#include <deque>
#include <functional>

namespace hyssopwick {

/// Properties of a FakeEngine.
struct FakeEngineOptions {
    std::string address;
    std::int64_t capacity = 8; ///< concurrent streams
    Milliseconds tokenPeriod { 20 };
    Milliseconds prefillPerBlock { 4 }; ///< time for each prompt block that is not cached
    std::size_t cacheBlocks = 2000;
    Milliseconds loadTime { 200 };
    Milliseconds statusLag { 200 };
    bool checksFencingToken = true;
};

/// Returns token \p index of the answer of \p version to \p prompt, which is always the same.
std::string fakeToken(const std::string& prompt, const std::string& version, std::uint64_t index);

/// Fake of a model engine: runs streams up to a capacity, caches prompt prefixes,
/// reports cache events only when polled and load with a lag, and loads weights on
/// request. A prompt that contains "CRASH" ends the engine. Fault switches: "fail_load"
/// (loads fail), "event_gap" (share of cache events lost), "stall" (no tokens).
class FakeEngine : public FakeServer {
public:
    /// \param log  may be null
    FakeEngine(FakeEngineOptions options, EventLog* log);
    ~FakeEngine() override;

    /// Sets the crash handler; by default the process exits immediately.
    void onCrash(std::function<void()> handler) { m_onCrash = std::move(handler); }

    /// Returns the number of successful weight loads.
    std::uint64_t loads() const { return m_loads; }

    /// Returns the number of running streams.
    std::int64_t running();

protected:
    void handle(HttpRequest request, HttpResponderPointer responder) override;

private:
    struct Loaded {
        std::string version;
        std::string manifest;
    };

    struct Stream {
        std::string id;
        std::string model;
        std::string version;
        std::string prompt;
        std::uint64_t nextToken = 0;
        std::uint64_t endToken = 0;
        std::int64_t priority = 0;
        TimePoint prefillEndsAt;
        HttpResponderPointer responder;
    };

    struct CacheChange {
        std::uint64_t sequence = 0;
        std::uint64_t prefix = 0;
        bool isCached = false;
    };

    void startStream(const HttpRequest& request, HttpResponderPointer responder);
    void load(const nlohmann::json& loadRequest, HttpResponderPointer responder);
    void fetchAndLoad(const nlohmann::json& loadRequest, const HttpResponderPointer& responder);
    Outcome<void> fetchWeights(const nlohmann::json& loadRequest);
    void tick();
    std::size_t cachePrompt(const std::string& prompt);
    void addCacheChange(std::uint64_t prefix, bool isCached);
    nlohmann::json cacheEvents(std::uint64_t after);
    void log(const std::string& event, EventFields fields);

    FakeEngineOptions m_options;
    EventLog* m_log;
    std::function<void()> m_onCrash;
    HttpClient m_client;
    WorkerPool m_pool;
    std::mutex m_mutex; // guards all below
    std::map<std::string, Loaded> m_models;
    std::vector<Stream> m_running;
    std::deque<Stream> m_waiting;
    std::deque<std::uint64_t> m_cacheOrder;
    std::set<std::uint64_t> m_cached;
    std::deque<CacheChange> m_cacheChanges;
    std::uint64_t m_nextSequence = 1;
    std::uint64_t m_highestFencingToken = 0;
    std::int64_t m_reportedRunning = 0;
    std::string m_role = "mixed";
    RandomSource m_random { 13 };
    std::atomic<std::uint64_t> m_loads { 0 };
};

}
