// Case 6: entries restart while the store is slow, and the operator changes the configuration while
// they read the store page by page. Usage: paged-read ENTRY-PROGRAM RECORD-FILE
#include "Lab.hpp"

#include "../../modules/hyssopwick_core/values/Rendezvous.h"

#include <atomic>
#include <csignal>

namespace {

using namespace review;

// Figures of a site file: page = 50 under discovery; 62 machines "front" on the sheet of the largest
// region of entries are more than one page.
constexpr std::size_t pageItems = 50;
constexpr unsigned entryCount = 54;
constexpr Milliseconds usualDelay { 4 }; // of the store's answers
constexpr Milliseconds slowDelay { 300 }; // 75 times as long
constexpr Milliseconds pauseAfterKill { 1700 };
constexpr Milliseconds slowBeforeStart { 200 };
// All start within 0.3 s of each other.
constexpr Milliseconds followerStart { 150 };
constexpr Milliseconds lateStart { 230 };
constexpr Milliseconds slowTime { 4200 }; // after the start
constexpr Milliseconds settleTime { 14000 }; // configMs + stretchMaxMs + contactMs are 10 s
constexpr unsigned rounds = 2;

Json route(const std::string& name, const std::string& service)
{
    return { { "name", name }, { "host", "permits.example" }, { "prefix", "/" + name + "/" }, { "kind", "safe" }, { "timeoutMs", 1500 }, { "goalMs", 150 }, { "priority", 3 }, { "attempts", 2 }, { "service", service } };
}

Json service(const std::string& name) { return { { "name", name }, { "maxConns", 248 }, { "healthPath", "/health" } }; }

// The second version drops a route, adds one and moves one to another service.
Json configuration(bool isSecond)
{
    auto routes = Json::array({ route("kept", "permits"), route("moved", isSecond ? "office" : "permits"), isSecond ? route("added", "permits") : route("dropped", "permits") });
    return { { "version", isSecond ? 20 : 10 }, { "routes", routes }, { "services", Json::array({ service("permits"), service("office") }) },
        { "tenants", Json::array({ { { "name", "tenant-a" }, { "keys", Json::array({ "key-of-tenant-a" }) } } }) },
        { "limits", { { "headerBytes", 16384 }, { "bodyBytes", 4194304 }, { "headerTimeoutMs", 2000 }, { "idleTimeoutMs", 15000 } } } };
}

/// Sends a request on a route to an entry, and records both.
Answer ask(Record& record, const std::string& node, const std::string& entry, const std::string& route)
{
    const auto id = newRequestId();
    const auto answer = call(entry, "GET", "/" + route + "/a", { { "Host", "permits.example" }, { "Request-Id", id }, { "Deadline-Ms", "1500" }, { "Authorization", "Bearer key-of-tenant-a" } }, "", Milliseconds(2000));
    record.line("request " + id + " to " + node + ": GET /" + route + "/a, answered " + std::to_string(answer.status) + (answer.hasSeal ? ", run by service " + answer.body : ", no receipt"));
    return answer;
}

int run(const std::string& program, Record& record)
{
    TemporaryFolder folder;
    soak::LoopbackNetwork network;
    LoopThread thread;
    std::unique_ptr<Store> store;
    std::vector<std::unique_ptr<PlainWorker>> workers;
    std::vector<Run> runs;
    const StopAtEnd stopAtEnd { thread };
    const auto storeAddress = network.at(soak::LoopbackNetwork::storeHost, Port::Store);
    thread.run([&] {
        store = std::make_unique<Store>(thread.loop(), storeAddress, pageItems);
        store->set("op/config", configuration(false));
        for (unsigned number = 0; number < 4; ++number)
            workers.push_back(std::make_unique<PlainWorker>(thread.loop(), *store, number < 2 ? "permits" : "office", "p-" + std::to_string(number), network.at(soak::LoopbackNetwork::firstPlainHost + number, Port::Engine), Milliseconds(5), runs));
    });

    std::vector<std::string> names;
    for (unsigned number = 0; number < entryCount; ++number)
        names.push_back("front-north-a-" + std::to_string(number + 1));
    // The entry of the region that follows the store (ViewSourceDecision); here it is one of the seeds.
    const auto follower = static_cast<unsigned>(std::find(names.begin(), names.end(), hyssopwick::rendezvousFirst("store-followers/north", names)) - names.begin());
    const unsigned firstSeed = follower == 0 ? 1 : 0;
    const unsigned thirdSeed = follower <= 1 ? 2 : 1;
    const auto hostOf = [](unsigned number) { return soak::LoopbackNetwork::firstEntryHost + number; };
    std::vector<std::string> seeds;
    for (const auto number : { firstSeed, follower, thirdSeed })
        seeds.push_back(network.at(hostOf(number), Port::Control));
    std::vector<std::unique_ptr<Process>> entries;
    for (unsigned number = 0; number < entryCount; ++number)
        entries.push_back(std::make_unique<Process>(program, folder.path(), names[number], settingsOf({ names[number], network.ip(hostOf(number)), "", seeds, storeAddress })));
    const auto callers = [&](unsigned number) { return network.at(hostOf(number), Port::Callers); };
    const auto waitForAll = [&] {
        for (unsigned number = 0; number < entryCount; ++number) {
            if (!waitUntilReady(network.at(hostOf(number), Port::Ready), Milliseconds(20000))) {
                record.line(names[number] + " did not become ready");
                return false;
            }
        }
        return true;
    };
    for (const auto& entry : entries)
        entry->start();
    if (!waitForAll())
        return exitCouldNotRun;
    std::this_thread::sleep_for(Milliseconds(4000));
    record.line(std::to_string(entryCount) + " entries are ready, " + names[follower] + " follows the store");

    TimePoint confirmedAt;
    const auto publish = [&] {
        thread.run([&] { store->set("op/config", configuration(true)); });
        confirmedAt = soak::now();
        record.line("the operator writes configuration 20 in place of 10");
    };
    if (hasTrouble()) {
        std::atomic<unsigned> firstPages { 0 };
        std::atomic<unsigned> readsWithConfiguration { 0 };
        record.line("all entries are killed");
        for (const auto& entry : entries)
            entry->kill();
        std::this_thread::sleep_for(pauseAfterKill);
        thread.run([&] {
            record.line("the store's answers take " + std::to_string(slowDelay.count()) + " ms");
            store->setDelay(slowDelay);
            store->onPage([&](const std::string& after, const std::string& first, const std::string& last) {
                record.line("a page is read: after \"" + after + "\", " + first + " to " + last);
                firstPages += after.empty();
                if (first <= "op/config" && last >= "op/config")
                    ++readsWithConfiguration;
            });
        });
        std::this_thread::sleep_for(slowBeforeStart);
        const auto startedAt = soak::now();
        record.line("all entries start again");
        entries[firstSeed]->start();
        entries[thirdSeed]->start();
        const auto waitFor = [](const std::atomic<unsigned>& count, unsigned wanted, TimePoint until) {
            while (count < wanted && soak::now() < until)
                std::this_thread::sleep_for(Milliseconds(1));
        };
        sleepUntil(startedAt + followerStart);
        entries[follower]->start();
        waitFor(firstPages, 3, startedAt + lateStart);
        for (unsigned number = 0; number < entryCount; ++number) {
            if (number != firstSeed && number != thirdSeed && number != follower)
                entries[number]->start();
        }
        record.line("all entries run again");
        // The two other seeds have read the configuration, the entry that will follow the store has not.
        waitFor(firstPages, 3, startedAt + slowTime);
        waitFor(readsWithConfiguration, 2, startedAt + slowTime);
        publish();
        sleepUntil(startedAt + slowTime);
        thread.run([&] {
            store->setDelay(usualDelay);
            store->onPage(nullptr);
        });
        record.line("the store is as fast as before");
        if (!waitForAll())
            return exitCouldNotRun;
    } else {
        publish();
    }
    sleepUntil(confirmedAt + settleTime);

    unsigned wrong = 0;
    unsigned staleEntries = 0;
    for (unsigned number = 0; number < entryCount; ++number) {
        unsigned wrongHere = 0;
        for (unsigned round = 0; round < rounds; ++round) {
            const auto added = ask(record, names[number], callers(number), "added");
            const auto moved = ask(record, names[number], callers(number), "moved");
            const auto dropped = ask(record, names[number], callers(number), "dropped");
            wrongHere += added.status == 404;
            wrongHere += moved.status == 200 && moved.body == "permits";
            wrongHere += dropped.status == 200;
        }
        wrong += wrongHere;
        staleEntries += wrongHere > 0;
    }
    thread.run([&] {
        for (const auto& ran : runs)
            record.line("worker " + ran.worker + " of " + ran.service + " ran " + ran.request + ", " + ran.target);
    });
    record.line(std::to_string(wrong) + " of " + std::to_string(3 * rounds * entryCount) + " requests, sent over " + std::to_string(settleTime.count()) + " ms after the confirmation, are handled as only configuration 10 allows, at " + std::to_string(staleEntries) + " of " + std::to_string(entryCount) + " entries");
    record.line(wrong > 0 ? "CONFIG is broken" : "CONFIG holds");
    return wrong > 0 ? exitBroken : exitHeld;
}

}

int main(int argc, char** argv)
{
    if (argc < 3)
        return review::exitCouldNotRun;
    std::signal(SIGPIPE, SIG_IGN);
    constexpr unsigned timeLimit = 115;
    std::signal(SIGALRM, [](int) { _exit(review::exitCouldNotRun); });
    alarm(timeLimit);
    review::Record record(argv[2]);
    try {
        return run(argv[1], record);
    } catch (const std::exception& problem) {
        record.line(std::string("could not run: ") + problem.what());
        return review::exitCouldNotRun;
    }
}
