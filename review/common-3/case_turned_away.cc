// Some times, the store turns a third of the entries away, among them the three that follow it; each time a key is taken
// away meanwhile.
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
    constexpr double turnedAwayShare = 0.33;
    constexpr Milliseconds turnedAwayTime { 9000 };
    constexpr Milliseconds configurationBound { 3000 };
    constexpr Milliseconds probePeriod { 105 }; // 571 requests a second, as on the sheet
    constexpr unsigned rounds = 5;
    constexpr Milliseconds firstRoundAt { 18000 };
    constexpr Milliseconds roundPeriod { 16000 };
    constexpr Milliseconds revokedAfter { 100 }; // the store turns entries away
    constexpr int exitNotRun = 2;

    // The way of one entry to the store; silent while the store turns the entry away.
    class Path {
    public:
        Path(EventLoop& loop, const std::string& address, std::string store)
            : m_loop(loop)
            , m_store(std::move(store))
            , m_acceptor(loop, endpointOf(address))
        {
            accept();
        }

        void setSilent(bool isSilent) { m_isSilent = isSilent; }
        bool isSilent() const { return m_isSilent; }
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
                if (m_isSilent)
                    return pump(link, isFromEntry); // lost
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
        bool m_isSilent = false;
        TimePoint m_lastWatchAt;
    };

    std::string replaced(std::string text, const std::string& from, const std::string& to)
    {
        const auto at = text.find(from);
        if (at == std::string::npos)
            throw std::runtime_error("no \"" + from + "\" in the settings");
        return text.replace(at, from.size(), to);
    }

    std::string keyOf(unsigned round) { return "key-of-round-" + std::to_string(round); }

    // Without the keys of the first rounds.
    Json configurationWithout(unsigned revoked)
    {
        auto config = configuration(1 + revoked, 16, "127.0.0.1:9");
        auto keys = Json::array();
        for (unsigned round = revoked; round < rounds; ++round)
            keys.push_back(keyOf(round));
        config["tenants"].push_back({ { "name", "tenant-b" }, { "keys", keys } });
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
            for (const auto& entry : entries)
                entry->poll();
            runAfter(loop, Milliseconds(20), [this] { poll(); });
        }

        void probe(unsigned entry)
        {
            const auto id = "r-" + std::to_string(entry + 1) + "-" + std::to_string(++requests);
            const auto connection = std::make_shared<ClientConnection>(loop, network.at(LoopbackNetwork::firstEntryHost + entry, Port::Callers));
            const auto sentAt = now();
            const auto revoked = revokedAt;
            const bool isTurnedAway = paths[entry]->isSilent();
            connection->exchange(requestText("GET", "/read/" + id, { { "Host", "permits.example" }, { "Request-Id", id }, { "Deadline-Ms", "1500" }, { "Authorization", "Bearer " + keyOf(round) }, { "Connection", "close" } }, ""), { nullptr, nullptr, [=](ExchangeEnd) {
                const auto status = connection->hasHead() ? connection->response().status() : 0;
                connection->close();
                const bool isLate = revoked && sentAt > *revoked + configurationBound;
                const bool hasRun = runs.count(id) != 0;
                if (isLate && hasRun && !isTurnedAway) {
                    ++lateRuns;
                    lateEntries.insert(entry);
                }
                record.line(id, " at entry ", entry + 1, isTurnedAway ? " (turned away)" : "", ", ", revoked ? secondsBetween(*revoked, sentAt) : -1.0, " s after the key was revoked: ", status, hasRun ? " run" : " not run", isLate && hasRun && !isTurnedAway ? " LATE" : "");
            } });
        }

        void probeAll()
        {
            for (unsigned entry = 0; entry < entryCount; ++entry)
                probe(entry);
            runAfter(loop, probePeriod, [this] { probeAll(); });
        }

        // The entries that watch the store come first, then others, up to the share.
        void turnAway()
        {
            std::vector<unsigned> order;
            for (unsigned entry = 0; entry < entryCount; ++entry)
                order.push_back(entry);
            std::shuffle(order.begin(), order.end(), std::mt19937 { std::random_device {}() });
            std::stable_sort(order.begin(), order.end(), [this](unsigned left, unsigned right) { return isWatching(left) > isWatching(right); });
            order.resize(static_cast<std::size_t>(turnedAwayShare * entryCount));
            for (const auto entry : order) {
                record.line("the store turns entry ", entry + 1, " away", isWatching(entry) ? ", which follows it" : "");
                paths[entry]->setSilent(true);
            }
            runAfter(loop, turnedAwayTime, [this] {
                for (const auto& path : paths)
                    path->setSilent(false);
                record.line("the store serves all entries");
            });
        }

        void begin(bool hasTrouble)
        {
            revokedAt.reset();
            if (hasTrouble)
                turnAway();
            runAfter(loop, revokedAfter, [this] {
                record.line(keyOf(round), " is revoked");
                store.set("op/config", configurationWithout(round + 1));
                revokedAt = now();
            });
            runAfter(loop, roundPeriod - Milliseconds(2000), [this, hasTrouble] {
                if (++round == rounds)
                    return loop.stop();
                revokedAt.reset();
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
        unsigned requests = 0;
        unsigned round = 0;
        std::optional<TimePoint> revokedAt;
        unsigned lateRuns = 0;
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
        record.line(fleet.lateRuns, " requests run late, at ", fleet.lateEntries.size(), " entries that the store served");
        std::cout << fleet.lateRuns << " requests run with the revoked key later than " << configurationBound.count() << " ms, at " << fleet.lateEntries.size() << " entries that the store served\n";
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
