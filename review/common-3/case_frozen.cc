// Some times, the three entries that follow the store are frozen; each time a route is removed meanwhile.
#include "ClientConnection.h"
#include "FleetSettings.h"
#include "Journal.h"
#include "LoopbackNetwork.h"
#include "ProcessControl.h"
#include "Record.hpp"
#include "StoreStandIn.h"

#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <unistd.h>

using namespace hyssopwick::soak;
using review::Record;

namespace {
constexpr unsigned entryCount = 60; // 62 on the sheet of gleisplan-hyssop-grown
constexpr const char* regions[] = { "ch-nord", "ch-west", "ch-sued" };
constexpr std::size_t frozenCount = 3;
constexpr Milliseconds frozenTime { 4000 };
constexpr Milliseconds contactTime { 4000 };
constexpr Milliseconds configurationBound { 3000 };
constexpr Milliseconds probePeriod { 105 }; // 571 requests a second, as on the sheet
constexpr unsigned rounds = 5;
constexpr Milliseconds firstRoundAt { 18000 };
constexpr Milliseconds roundPeriod { 16000 };
constexpr Milliseconds removedAfter { 100 }; // entries were frozen
constexpr int exitNotRun = 2;

// The way of one entry to the store. It shows which entries follow the store.
class Path {
public:
    Path(EventLoop& loop, const std::string& address, std::string store)
        : m_loop(loop)
        , m_store(std::move(store))
        , m_acceptor(loop, endpointOf(address))
    {
        accept();
    }

    TimePoint lastWatchAt() const { return m_lastWatchAt; }

private:
    struct Link {
        explicit Link(EventLoop& loop)
            : entry(loop)
            , store(loop)
        {
        }
        asio::ip::tcp::socket entry;
        asio::ip::tcp::socket store;
        std::array<char, 65536> fromEntry;
        std::array<char, 65536> fromStore;
    };
    using LinkPointer = std::shared_ptr<Link>;

    void accept()
    {
        const auto link = std::make_shared<Link>(m_loop);
        m_acceptor.async_accept(link->entry, [this, link](boost::system::error_code error) {
            if (error)
                return;
            link->store.async_connect(endpointOf(m_store), [this, link](boost::system::error_code failed) {
                if (failed)
                    return close(link);
                pump(link, true);
                pump(link, false);
            });
            accept();
        });
    }

    void pump(const LinkPointer& link, bool isFromEntry)
    {
        auto& from = isFromEntry ? link->entry : link->store;
        auto& buffer = isFromEntry ? link->fromEntry : link->fromStore;
        from.async_read_some(asio::buffer(buffer), [this, link, isFromEntry, &buffer](boost::system::error_code error, std::size_t size) {
            if (error)
                return close(link);
            if (isFromEntry && std::string_view(buffer.data(), size).find("/-/kv-watch") != std::string_view::npos)
                m_lastWatchAt = now();
            asio::async_write(isFromEntry ? link->store : link->entry, asio::buffer(buffer.data(), size), [this, link, isFromEntry](boost::system::error_code failed, std::size_t) {
                if (failed)
                    return close(link);
                pump(link, isFromEntry);
            });
        });
    }

    static void close(const LinkPointer& link)
    {
        boost::system::error_code ignored;
        link->entry.close(ignored);
        link->store.close(ignored);
    }

    EventLoop& m_loop;
    std::string m_store;
    asio::ip::tcp::acceptor m_acceptor;
    TimePoint m_lastWatchAt;
};

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    const auto at = text.find(from);
    if (at == std::string::npos)
        throw std::runtime_error("no \"" + from + "\" in the settings");
    return text.replace(at, from.size(), to);
}

std::string prefixOf(unsigned round) { return "/round-" + std::to_string(round) + "/"; }

// Without the routes of the first rounds.
Json configurationWithout(unsigned removed)
{
    auto config = configuration(1 + removed, 16, "127.0.0.1:9");
    const auto read = std::find_if(config["routes"].begin(), config["routes"].end(), [](const Json& route) { return route["name"] == "read"; });
    auto route = *read;
    for (unsigned round = removed; round < rounds; ++round) {
        route["name"] = "round-" + std::to_string(round);
        route["prefix"] = prefixOf(round);
        config["routes"].push_back(route);
    }
    return config;
}

struct Fleet {
    Fleet(EventLoop& eventLoop, Record& record, const std::string& folder)
        : loop(eventLoop)
        , record(record)
        , store(loop, network.at(LoopbackNetwork::storeHost, Port::Store))
        , plain(loop, network.at(LoopbackNetwork::firstPlainHost, Port::Engine), [this](const ServerConnectionPointer& connection) {
            const auto id = connection->request().field("Request-Id");
            runs.insert(id);
            connection->respond(200, { { "Request-Id", id }, { "Server-Seal", "seal-" + id } }, "body");
        })
    {
        store.set("op/config", configurationWithout(0));
        store.set("servers/p-1", { { "service", "permits" }, { "address", plain.address() }, { "zone", "zone-0" }, { "version", "1" }, { "slots", 64 }, { "state", "ready" }, { "coldLeftMs", 0 }, { "sequence", 0 }, { "born", 1700000000000 } });
        for (unsigned entry = 0; entry < entryCount; ++entry) {
            const auto address = network.at(LoopbackNetwork::firstEngineHost + entry, Port::Store);
            paths.push_back(std::make_unique<Path>(loop, address, store.address()));
            auto text = entrySettings(network, entry, entryCount);
            const std::string region = regions[entry % 3];
            text = replaced(text, "zone = \"north-a\"\nregion = \"north\"", "zone = \"zone-" + std::to_string(entry % 3) + "\"\nregion = \"" + region + "\"");
            text = replaced(text, "north-a = \"north\"", "zone-0 = \"ch-nord\"\nzone-1 = \"ch-west\"\nzone-2 = \"ch-sued\"");
            text = replaced(text, "address = \"" + store.address() + "\"", "address = \"" + address + "\"");
            text = replaced(text, "contactMs = 3000", "contactMs = 4000");
            text = replaced(text, "configMs = 2000", "configMs = 3000");
            entries.push_back(std::make_unique<ProcessControl>(loop, journal, entryName(entry), "target/bin/hyssopwick-entry", folder, text));
        }
    }

    void poll()
    {
        constexpr Milliseconds period { 20 };
        for (const auto& entry : entries)
            entry->poll();
        const auto due = now() + period;
        runAfter(loop, period, [this, due] {
            largestDelay = std::max(largestDelay, now() - due);
            poll();
        });
    }

    void probe(unsigned entry)
    {
        const auto id = "r-" + std::to_string(entry + 1) + "-" + std::to_string(++requests);
        const auto connection = std::make_shared<ClientConnection>(loop, network.at(LoopbackNetwork::firstEntryHost + entry, Port::Callers));
        const auto sentAt = now();
        const auto removed = removedAt;
        const bool isInTouch = !frozenAt[entry] || sentAt > *frozenAt[entry] + frozenTime + contactTime;
        connection->exchange(requestText("GET", prefixOf(round) + id, { { "Host", "permits.example" }, { "Request-Id", id }, { "Deadline-Ms", "1500" }, { "Authorization", "Bearer key-of-tenant-a" }, { "Connection", "close" } }, ""), { nullptr, nullptr, [=](ExchangeEnd) {
                                                                                                                                                                                                                                              const auto status = connection->hasHead() ? connection->response().status() : 0;
                                                                                                                                                                                                                                              connection->close();
                                                                                                                                                                                                                                              const bool isLate = removed && sentAt > *removed + configurationBound;
                                                                                                                                                                                                                                              const bool hasRun = runs.count(id) != 0;
                                                                                                                                                                                                                                              if (isLate && hasRun && isInTouch) {
                                                                                                                                                                                                                                                  ++lateRuns;
                                                                                                                                                                                                                                                  lateEntries.insert(entry);
                                                                                                                                                                                                                                              }
                                                                                                                                                                                                                                              record.line(id, " at entry ", entry + 1, isInTouch ? "" : " (not in touch)", ", ", removed ? secondsBetween(*removed, sentAt) : -1.0, " s after its route was removed: ", status, hasRun ? " run" : " not run", isLate && hasRun && isInTouch ? " LATE" : "");
                                                                                                                                                                                                                                          } });
    }

    void probeAll()
    {
        for (unsigned entry = 0; entry < entryCount; ++entry)
            probe(entry);
        runAfter(loop, probePeriod, [this] { probeAll(); });
    }

    // The entries that watch the store come first.
    void freezeSome()
    {
        std::vector<unsigned> order;
        for (unsigned entry = 0; entry < entryCount; ++entry)
            order.push_back(entry);
        std::shuffle(order.begin(), order.end(), std::mt19937 { std::random_device {}() });
        std::stable_sort(order.begin(), order.end(), [this](unsigned left, unsigned right) { return isWatching(left) > isWatching(right); });
        order.resize(frozenCount);
        for (const auto entry : order) {
            record.line("entry ", entry + 1, " is frozen for ", frozenTime.count(), " ms", isWatching(entry) ? "; it follows the store" : "");
            frozenAt[entry] = now();
            entries[entry]->freeze(frozenTime);
        }
    }

    void begin(bool hasTrouble)
    {
        removedAt.reset();
        if (hasTrouble)
            freezeSome();
        runAfter(loop, removedAfter, [this] {
            record.line("the route ", prefixOf(round), " is removed");
            store.set("op/config", configurationWithout(round + 1));
            removedAt = now();
        });
        runAfter(loop, roundPeriod - Milliseconds(2000), [this, hasTrouble] {
            if (++round == rounds)
                return loop.stop();
            removedAt.reset();
            runAfter(loop, Milliseconds(2000), [this, hasTrouble] { begin(hasTrouble); });
        });
    }

    bool isWatching(unsigned entry) const { return now() - paths[entry]->lastWatchAt() < Milliseconds(1500); }

    EventLoop& loop;
    Record& record;
    Journal journal;
    LoopbackNetwork network;
    StoreStandIn store;
    std::set<std::string> runs;
    HttpServer plain;
    std::vector<std::unique_ptr<Path>> paths;
    std::vector<std::unique_ptr<ProcessControl>> entries;
    std::array<std::optional<TimePoint>, entryCount> frozenAt;
    unsigned requests = 0;
    unsigned round = 0;
    std::optional<TimePoint> removedAt;
    unsigned lateRuns = 0;
    Clock::duration largestDelay {};
    std::set<unsigned> lateEntries;
};
}

int main(int argc, char** argv)
{
    if (argc != 2)
        return exitNotRun;
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGALRM, [](int) { _exit(exitNotRun); });
    alarm(118);
    const char* trouble = std::getenv("TROUBLE");
    const bool hasTrouble = !trouble || std::string(trouble) != "0";
    std::string folder = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (!mkdtemp(folder.data()))
        return exitNotRun;
    int result = exitNotRun;
    try {
        Record record(argv[1]);
        EventLoop loop(1);
        Fleet fleet(loop, record, folder);
        for (const auto& entry : fleet.entries)
            entry->start();
        fleet.poll();
        runAfter(loop, firstRoundAt - Milliseconds(4000), [&] { fleet.probeAll(); });
        runAfter(loop, firstRoundAt, [&] { fleet.begin(hasTrouble); });
        loop.run();
        record.line(fleet.lateRuns, " requests run late, at ", fleet.lateEntries.size(), " entries in touch");
        record.line("the stand-ins were late by at most ", secondsBetween({}, TimePoint(fleet.largestDelay)) * 1000, " ms");
        std::cout << fleet.lateRuns << " requests run on a removed route later than " << configurationBound.count() << " ms, at " << fleet.lateEntries.size() << " entries in touch\n";
        result = fleet.lateRuns > 0;
        for (const auto& entry : fleet.entries)
            entry->disableRestart();
        if (const char* logs = std::getenv("REVIEW_LOGS"))
            std::filesystem::copy(folder, logs, std::filesystem::copy_options::recursive | std::filesystem::copy_options::overwrite_existing);
    } catch (const std::exception& problem) {
        std::cerr << problem.what() << "\n";
    }
    std::filesystem::remove_all(folder);
    return result;
}
