// Case 7: clients that keep their channels read streams slowly, while settings change. Usage: SlowReaders ENTRY-PROGRAM RECORD-FILE
#include "Lab.hpp"

#include <atomic>
#include <csignal>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace {

using namespace review;

constexpr unsigned entryCount = 2;
constexpr unsigned clientCount = 300;
constexpr unsigned requestsOfClient = 7;
constexpr unsigned events = 21; // of a stream on the sheet
constexpr Milliseconds eventPeriod { 45 };
constexpr Milliseconds timeLimit { 6000 };
constexpr int receiveBuffer = 2048;
constexpr std::size_t readBytes = 150;
constexpr Milliseconds readPeriod { 100 };
constexpr Milliseconds idleTime { 5000 };
constexpr Milliseconds settingsPeriod { 1000 }; // to one of the two entries in turn, so 2 s for each
constexpr Milliseconds configurationTime { 2000 }; // configMs

Json configuration()
{
    const Json route { { "name", "draft" }, { "host", "permits.example" }, { "prefix", "/draft/" }, { "kind", "stream" }, { "gapGoalMs", 400 }, { "timeoutMs", timeLimit.count() }, { "goalMs", 150 }, { "priority", 2 }, { "attempts", 1 }, { "service", "permits" } };
    return { { "version", 1 }, { "routes", Json::array({ route }) }, { "services", Json::array({ { { "name", "permits" }, { "maxConns", 248 }, { "healthPath", "/health" } } }) },
        { "tenants", Json::array({ { { "name", "tenant-a" }, { "keys", Json::array({ "key-of-tenant-a" }) } } }) },
        { "limits", { { "headerBytes", 16384 }, { "bodyBytes", 4194304 }, { "headerTimeoutMs", 2000 }, { "idleTimeoutMs", 15000 } } } };
}

/// A client that keeps one channel and reads its answers slowly.
class Client {
public:
    Client(Record& record, unsigned number, std::string entry, bool isSlow)
        : m_record(record)
        , m_number(number)
        , m_entry(std::move(entry))
        , m_isSlow(isSlow)
    {
    }

    void run()
    {
        for (unsigned number = 0; number < requestsOfClient; ++number) {
            if (m_socket < 0)
                connect();
            exchange();
            std::this_thread::sleep_for(idleTime);
        }
        if (m_socket >= 0)
            ::close(m_socket);
    }

    const std::vector<std::pair<std::string, TimePoint>>& lost() const { return m_lost; }
    unsigned answered() const { return m_answered; }
    unsigned entry() const { return (m_number - 1) % entryCount; }

private:
    void connect()
    {
        m_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (m_isSlow)
            setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
        const auto endpoint = soak::endpointOf(m_entry);
        if (::connect(m_socket, endpoint.data(), static_cast<socklen_t>(endpoint.size())) != 0)
            throw std::runtime_error("a client could not connect");
        m_isKept = false;
    }

    void exchange()
    {
        char id[20];
        static std::atomic<std::uint64_t> next { 1 };
        std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(next++ * 0x9e3779b97f4a7c15u));
        const auto text = soak::requestText("POST", "/draft/a", { { "Host", "permits.example" }, { "Request-Id", id }, { "Deadline-Ms", std::to_string(timeLimit.count()) }, { "Authorization", "Bearer key-of-tenant-a" } }, "prompt of " + std::string(id));
        const auto sentAt = soak::now();
        ::send(m_socket, text.data(), text.size(), MSG_NOSIGNAL);
        soak::MessageReader reader(soak::MessageReader::Kind::Response);
        std::size_t received = 0;
        std::string end;
        char buffer[16384];
        while (end.empty()) {
            pollfd watched { m_socket, POLLIN, 0 };
            const auto left = std::chrono::duration_cast<Milliseconds>(sentAt + timeLimit - soak::now());
            if (left.count() <= 0 || poll(&watched, 1, static_cast<int>(left.count())) <= 0) {
                end = "the time limit passed";
                break;
            }
            const auto size = ::recv(m_socket, buffer, m_isSlow ? readBytes : sizeof buffer, 0);
            if (size <= 0)
                end = size == 0 ? "the channel was closed" : "the channel was reset";
            else if (!reader.feed({ buffer, static_cast<std::size_t>(size) }))
                end = "no answer in the protocol";
            else if (reader.isComplete())
                end = "whole answer, status " + std::to_string(reader.message().status());
            received += size > 0 ? static_cast<std::size_t>(size) : 0;
            if (m_isSlow && end.empty())
                std::this_thread::sleep_for(readPeriod);
        }
        const auto took = std::chrono::duration_cast<Milliseconds>(soak::now() - sentAt).count();
        m_record.line("client " + std::to_string(m_number) + ", request " + id + " on a " + (m_isKept ? "kept" : "new") + " channel: " + end + " after " + std::to_string(took) + " ms, " + std::to_string(received) + " bytes");
        const bool isWhole = end.compare(0, 5, "whole") == 0;
        m_answered += isWhole;
        if (!isWhole && end != "the time limit passed")
            m_lost.emplace_back(id, sentAt);
        m_isKept = isWhole;
        if (!isWhole || reader.message().closesConnection()) {
            ::close(m_socket);
            m_socket = -1;
        }
    }

    Record& m_record;
    unsigned m_number;
    std::string m_entry;
    bool m_isSlow;
    int m_socket = -1;
    bool m_isKept = false;
    unsigned m_answered = 0;
    std::vector<std::pair<std::string, TimePoint>> m_lost;
};

/// A worker with long answers.
class LongAnswers {
public:
    LongAnswers(soak::EventLoop& loop, Store& store, std::string id, const std::string& address, std::set<std::string>& ran)
        : m_id(std::move(id))
        , m_server(loop, address, [this, &loop, &ran](const soak::ServerConnectionPointer& connection) {
            const auto request = connection->request().field("Request-Id");
            if (connection->request().field("Expect-Instance") != m_id)
                return connection->respond(421, { { "Request-Id", request } }, "");
            ran.insert(request);
            connection->startChunks({ { "Content-Type", "text/event-stream" }, { "Request-Id", request }, { "Server-Seal", "seal-" + request } });
            sendEvent(loop, connection, 1);
        })
    {
        store.set("servers/" + m_id, { { "service", "permits" }, { "address", address }, { "zone", "north-a" }, { "version", "1" }, { "slots", 64 }, { "state", "ready" }, { "coldLeftMs", 0 }, { "sequence", 0 }, { "born", 1700000000000 } });
    }

private:
    void sendEvent(soak::EventLoop& loop, const soak::ServerConnectionPointer& connection, unsigned number)
    {
        if (!connection->isOpen())
            return;
        connection->writeChunk("id: " + std::to_string(number) + "\ndata: " + std::string(150, 'p') + "\n\n");
        if (number == events)
            return connection->finishChunks();
        soak::runAfter(loop, eventPeriod, [this, &loop, connection, number] { sendEvent(loop, connection, number + 1); });
    }

    std::string m_id;
    soak::HttpServer m_server;
};

int run(const std::string& program, Record& record)
{
    TemporaryFolder folder;
    soak::LoopbackNetwork network;
    LoopThread thread;
    std::unique_ptr<Store> store;
    std::vector<std::unique_ptr<LongAnswers>> workers;
    std::set<std::string> ran;
    const StopAtEnd stopAtEnd { thread };
    const auto storeAddress = network.at(soak::LoopbackNetwork::storeHost, Port::Store);
    thread.run([&] {
        constexpr std::size_t pageItems = 500;
        store = std::make_unique<Store>(thread.loop(), storeAddress, pageItems);
        store->set("op/config", configuration());
        for (unsigned number = 0; number < 3; ++number)
            workers.push_back(std::make_unique<LongAnswers>(thread.loop(), *store, "p-" + std::to_string(number + 1), network.at(soak::LoopbackNetwork::firstPlainHost + number, Port::Engine), ran));
    });
    const auto hostOf = [](unsigned number) { return soak::LoopbackNetwork::firstEntryHost + number; };
    std::vector<std::string> seeds;
    for (unsigned number = 0; number < entryCount; ++number)
        seeds.push_back(network.at(hostOf(number), Port::Control));
    std::vector<std::unique_ptr<Process>> entries;
    for (unsigned number = 0; number < entryCount; ++number) {
        const auto node = "front-north-a-" + std::to_string(number + 1);
        entries.push_back(std::make_unique<Process>(program, folder.path(), node, settingsOf({ node, network.ip(hostOf(number)), "", seeds, storeAddress })));
        entries.back()->start();
    }
    for (unsigned number = 0; number < entryCount; ++number) {
        if (!waitUntilReady(network.at(hostOf(number), Port::Ready), Milliseconds(10000)))
            return exitCouldNotRun;
    }
    std::this_thread::sleep_for(Milliseconds(4000));
    record.line(std::to_string(entryCount) + " entries are ready; " + std::to_string(clientCount) + " clients " + (hasTrouble() ? "read slowly" : "read at once"));
    std::deque<Client> clients;
    std::vector<std::thread> threads;
    for (unsigned number = 0; number < clientCount; ++number)
        clients.emplace_back(record, number + 1, network.at(hostOf(number % entryCount), Port::Callers), hasTrouble());
    for (auto& client : clients)
        threads.emplace_back([&client] { client.run(); });
    std::atomic<bool> isOver { false };
    std::vector<std::vector<TimePoint>> signalledAt(entryCount);
    std::thread platform([&] {
        for (unsigned turn = 0; !isOver; ++turn) {
            signalledAt[turn % entryCount].push_back(soak::now());
            entries[turn % entryCount]->signal(SIGHUP);
            std::this_thread::sleep_for(settingsPeriod);
        }
    });
    for (auto& client : threads)
        client.join();
    isOver = true;
    platform.join();
    unsigned lost = 0;
    unsigned answered = 0;
    thread.run([&] {
        for (const auto& client : clients) {
            answered += client.answered();
            for (const auto& [request, sentAt] : client.lost()) {
                const auto at = sentAt;
                const bool isBesideChange = std::any_of(signalledAt[client.entry()].begin(), signalledAt[client.entry()].end(), [at](TimePoint signal) { return signal <= at && at <= signal + configurationTime; });
                lost += isBesideChange && ran.count(request) != 0;
            }
        }
        for (const auto& request : ran)
            record.line("a worker ran request " + request);
        record.line("workers ran " + std::to_string(ran.size()) + " requests; each entry got SIGHUP " + std::to_string(signalledAt.front().size()) + " times");
    });
    record.line(std::to_string(answered) + " of " + std::to_string(clientCount * requestsOfClient) + " requests were answered whole; " + std::to_string(lost) + " that were sent up to configMs after a SIGHUP were passed on to a worker, and their channel ended without a complete answer before the time limit");
    record.line(lost > 0 ? "LOST is broken" : "LOST holds");
    return lost > 0 ? exitBroken : exitHeld;
}

}

int main(int argc, char** argv)
{
    if (argc < 3)
        return review::exitCouldNotRun;
    std::signal(SIGPIPE, SIG_IGN);
    constexpr unsigned limit = 115;
    std::signal(SIGALRM, [](int) { _exit(review::exitCouldNotRun); });
    alarm(limit);
    review::Record record(argv[2]);
    try {
        return run(argv[1], record);
    } catch (const std::exception& problem) {
        record.line(std::string("could not run: ") + problem.what());
        return review::exitCouldNotRun;
    }
}
