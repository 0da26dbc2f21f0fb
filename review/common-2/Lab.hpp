// What the cases of this review share: real entries and agents as processes, and small stand-ins
// for the store, the plain workers and the clients. The stand-ins run on one thread (Lab::loop), the
// scenario of a case on the main thread.
#pragma once

#include "../../tests/platform/soak/HttpServer.h"
#include "../../tests/platform/soak/LoopbackNetwork.h"

#include <deque>
#include <fstream>
#include <future>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review {

namespace soak = hyssopwick::soak;
using Json = nlohmann::json;
using soak::Milliseconds;
using soak::Port;
using soak::TimePoint;

constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitCouldNotRun = 2;

/// Returns whether the case runs with its disruption.
bool hasTrouble();

/// Writes record.txt and repeats its lines on standard output.
class Record {
public:
    explicit Record(const std::string& path);
    void line(const std::string& text);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    TimePoint m_startedAt = soak::now();
};

/// Runs an event loop on a thread of its own.
class LoopThread {
public:
    LoopThread();
    ~LoopThread();

    soak::EventLoop& loop() { return m_loop; }

    /// Runs \p task on the loop's thread and waits for it.
    void run(std::function<void()> task);

    /// Ends the thread. Call before the stand-ins that it runs are destroyed.
    void stop();

private:
    soak::EventLoop m_loop { 1 };
    soak::asio::executor_work_guard<soak::EventLoop::executor_type> m_guard { m_loop.get_executor() };
    std::thread m_thread;
};

/// Ends a loop's thread at the end of a scope, however it is left.
struct StopAtEnd {
    LoopThread& thread;
    ~StopAtEnd() { thread.stop(); }
};

/// The platform's store. All members are for the loop's thread.
class Store {
public:
    /// \param pageItems  items in one page of a range
    Store(soak::EventLoop& loop, const std::string& address, std::size_t pageItems);

    void set(const std::string& key, const Json& value);
    void remove(const std::string& key);

    /// All answers take this long.
    void setDelay(Milliseconds delay) { m_delay = delay; }

    /// Called when a page was read, with the page's first and last key.
    void onPage(std::function<void(const std::string& after, const std::string& first, const std::string& last)> handler) { m_onPage = std::move(handler); }

    std::uint64_t revision() const { return m_revision; }
    std::size_t size() const;

private:
    struct Item {
        std::string value;
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
        std::weak_ptr<soak::ServerConnection> connection;
        std::uint64_t after = 0;
        TimePoint expiresAt;
    };

    void serve(const soak::ServerConnectionPointer& connection);
    void answer(const std::weak_ptr<soak::ServerConnection>& connection, unsigned status, const Json& body);
    void serveRange(const soak::ServerConnectionPointer& connection);
    void serveTransaction(const soak::ServerConnectionPointer& connection);
    void serveLease(const soak::ServerConnectionPointer& connection, const std::string& path);
    void write(const std::string& key, const std::string& value, std::uint64_t lease);
    void erase(const std::string& key);
    void endLease(std::uint64_t lease);
    Json itemJson(const std::string& key, const Item& item) const;
    void answerWatches();
    void tick();

    soak::EventLoop& m_loop;
    std::size_t m_pageItems;
    Milliseconds m_delay { 4 };
    std::function<void(const std::string&, const std::string&, const std::string&)> m_onPage;
    std::map<std::string, Item> m_items;
    std::map<std::uint64_t, Lease> m_leases;
    std::vector<Watch> m_watches;
    std::uint64_t m_revision = 1;
    std::uint64_t m_lastLease = 0;
    soak::Timer m_timer;
    soak::HttpServer m_server;
};

/// One run of a request at a worker.
struct Run {
    std::string request;
    std::string worker;
    std::string service;
    std::string target;
};

/// A worker of a plain service. All members are for the loop's thread.
class PlainWorker {
public:
    PlainWorker(soak::EventLoop& loop, Store& store, std::string service, std::string id, const std::string& address, Milliseconds work, std::vector<Run>& runs);

private:
    void serve(const soak::ServerConnectionPointer& connection);

    soak::EventLoop& m_loop;
    std::string m_service;
    std::string m_id;
    Milliseconds m_work;
    std::vector<Run>& m_runs;
    soak::HttpServer m_server;
};

/// A program of the project as a process of its own.
class Process {
public:
    Process(std::string program, const std::string& folder, std::string node, const std::string& settings);
    ~Process();
    Process(const Process&) = delete;

    void start();
    void signal(int number) const;
    /// Sends SIGKILL and waits for the end.
    void kill();
    bool isRunning();
    const std::string& node() const { return m_node; }
    const std::string& logPath() const { return m_logPath; }
    pid_t id() const { return m_id; }

private:
    std::string m_program;
    std::string m_node;
    std::string m_settingsPath;
    std::string m_logPath;
    pid_t m_id = -1;
};

/// The settings of one process.
struct Machine {
    std::string node;
    std::string ip;
    std::string engineAddress; ///< of an agent
    std::vector<std::string> seeds;
    std::string storeAddress;
    double linkMbps = 700;
};
std::string settingsOf(const Machine& machine);

/// What a client got.
struct Answer {
    unsigned status = 0; ///< 0: no complete answer
    std::string body;
    bool hasSeal = false;
    std::string problem;
};

/// Sends one request on a new connection and waits for its whole answer.
Answer call(const std::string& address, const std::string& method, const std::string& target, const soak::Fields& fields, const std::string& body, Milliseconds timeout);

/// Returns a new request id.
std::string newRequestId();

/// Waits until the entry at \p readyAddress is ready.
bool waitUntilReady(const std::string& readyAddress, Milliseconds timeout);

/// Sleeps until a point of time.
void sleepUntil(TimePoint time);

/// A temporary folder that is removed at the end.
class TemporaryFolder {
public:
    TemporaryFolder();
    ~TemporaryFolder();
    const std::string& path() const { return m_path; }

private:
    std::string m_path;
};

}
