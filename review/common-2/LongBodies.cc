// Case 8: more clients than usual send long bodies at once. Usage: LongBodies ENTRY-PROGRAM RECORD-FILE
#include "Lab.hpp"

#include <atomic>
#include <csignal>

namespace {

using namespace review;

constexpr unsigned usualUploads = 22;
constexpr unsigned burstUploads = 37; // 1.68 times as many
constexpr std::size_t bodyBytes = 4000000; // the configuration allows 4,194,304
constexpr unsigned keptClients = 8;
constexpr unsigned allowedLosses = 3;
constexpr long memoryMb = 182;
constexpr Milliseconds workTime { 3000 };
constexpr Milliseconds timeLimit { 6000 };
constexpr double linkBytesPerSecond = 700e6 / 8; // of the entry's machine, shared by the uploads
constexpr std::size_t pieceBytes = 20000;

Json configuration()
{
    const auto route = [](const char* name, const char* service) { return Json { { "name", name }, { "host", "permits.example" }, { "prefix", std::string("/") + name + "/" }, { "kind", "unsafe" }, { "timeoutMs", timeLimit.count() }, { "goalMs", 150 }, { "priority", 2 }, { "attempts", 1 }, { "service", service } }; };
    const auto service = [](const char* name) { return Json { { "name", name }, { "maxConns", 248 }, { "healthPath", "/health" } }; };
    return { { "version", 1 }, { "routes", Json::array({ route("book", "permits"), route("file", "office") }) }, { "services", Json::array({ service("permits"), service("office") }) },
        { "tenants", Json::array({ { { "name", "tenant-a" }, { "keys", Json::array({ "key-of-tenant-a" }) } } }) },
        { "limits", { { "headerBytes", 16384 }, { "bodyBytes", 4194304 }, { "headerTimeoutMs", 2000 }, { "idleTimeoutMs", 15000 } } } };
}

soak::Fields fieldsOf(const std::string& id)
{
    return { { "Host", "permits.example" }, { "Request-Id", id }, { "Deadline-Ms", std::to_string(timeLimit.count()) }, { "Authorization", "Bearer key-of-tenant-a" } };
}

std::string nextId()
{
    static std::atomic<std::uint64_t> next { 1 };
    char id[20];
    std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(next++ * 0x9e3779b97f4a7c15u));
    return id;
}

long residentMb(pid_t process)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.compare(0, 6, "VmRSS:") == 0)
            return std::stol(line.substr(6)) / 1024;
    }
    return 0;
}

/// Sends two bookings on one channel, the second on the kept one. Returns how the second ended.
std::string bookTwice(Record& record, soak::EventLoop& loop, const std::string& entry, const std::string& id)
{
    soak::asio::ip::tcp::socket socket(loop);
    socket.connect(soak::endpointOf(entry));
    const auto exchange = [&](const std::string& request) -> std::string {
        boost::system::error_code error;
        soak::asio::write(socket, soak::asio::buffer(soak::requestText("POST", "/book/a", fieldsOf(request), "booking")), error);
        soak::MessageReader reader(soak::MessageReader::Kind::Response);
        char buffer[4096];
        while (!reader.isComplete()) {
            const auto size = socket.read_some(soak::asio::buffer(buffer), error);
            if (error)
                return "the channel ended without an answer";
            reader.feed({ buffer, size });
        }
        return "answered " + std::to_string(reader.message().status());
    };
    const auto first = nextId();
    record.line("booking " + first + " on a new channel: " + exchange(first));
    const auto end = exchange(id);
    record.line("booking " + id + " on the kept channel: " + end);
    return end;
}

/// Sends a body as fast as its part of the machine's link allows. Returns how it ended.
std::string upload(soak::EventLoop& loop, const std::string& entry, const std::string& id, const std::string& body, unsigned uploads)
{
    soak::asio::ip::tcp::socket socket(loop);
    boost::system::error_code error;
    socket.connect(soak::endpointOf(entry), error);
    const auto text = soak::requestText("POST", "/file/a", fieldsOf(id), body);
    const auto startedAt = soak::now();
    for (std::size_t sent = 0; sent < text.size() && !error; sent += pieceBytes) {
        soak::asio::write(socket, soak::asio::buffer(text.data() + sent, std::min(pieceBytes, text.size() - sent)), error);
        sleepUntil(startedAt + soak::fromSeconds(double(sent + pieceBytes) * uploads / linkBytesPerSecond));
    }
    soak::MessageReader reader(soak::MessageReader::Kind::Response);
    char buffer[4096];
    while (!error && !reader.isComplete()) {
        const auto size = socket.read_some(soak::asio::buffer(buffer), error);
        if (!error)
            reader.feed({ buffer, size });
    }
    return error ? "the channel ended without an answer" : "answered " + std::to_string(reader.message().status());
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
        constexpr std::size_t pageItems = 500;
        store = std::make_unique<Store>(thread.loop(), storeAddress, pageItems);
        store->set("op/config", configuration());
        for (unsigned number = 0; number < 4; ++number)
            workers.push_back(std::make_unique<PlainWorker>(thread.loop(), *store, number < 2 ? "permits" : "office", "p-" + std::to_string(number + 1), network.at(soak::LoopbackNetwork::firstPlainHost + number, Port::Engine), number < 2 ? workTime : Milliseconds(30), runs));
    });
    const auto host = soak::LoopbackNetwork::firstEntryHost;
    Process entry(program, folder.path(), "front-north-a-1", settingsOf({ "front-north-a-1", network.ip(host), "", { network.at(host, Port::Control) }, storeAddress }));
    entry.start();
    if (!waitUntilReady(network.at(host, Port::Ready), Milliseconds(10000)))
        return exitCouldNotRun;
    std::this_thread::sleep_for(Milliseconds(4000));
    const auto address = network.at(host, Port::Callers);
    const auto process = entry.id();
    std::atomic<bool> isOver { false };
    std::atomic<long> peak { 0 };
    std::atomic<bool> isKilled { false };
    std::thread platform([&] {
        while (!isOver) {
            const auto now = residentMb(process);
            if (now > peak)
                peak = now;
            if (now > memoryMb && !isKilled.exchange(true)) {
                record.line("the platform kills the entry, which holds " + std::to_string(now) + " MB of " + std::to_string(memoryMb));
                entry.signal(SIGKILL);
            }
            std::this_thread::sleep_for(Milliseconds(2));
        }
    });
    std::vector<std::thread> clients;
    std::vector<std::string> kept;
    for (unsigned number = 0; number < keptClients; ++number)
        kept.push_back(nextId());
    std::deque<std::string> ends(keptClients);
    std::vector<std::unique_ptr<soak::EventLoop>> loops;
    for (unsigned number = 0; number < keptClients; ++number)
        loops.push_back(std::make_unique<soak::EventLoop>(1));
    for (unsigned number = 0; number < keptClients; ++number)
        clients.emplace_back([&, number] { ends[number] = bookTwice(record, *loops[number], address, kept[number]); });
    std::this_thread::sleep_for(workTime + Milliseconds(500));
    const auto uploads = hasTrouble() ? burstUploads : usualUploads;
    record.line(std::to_string(uploads) + " clients send bodies of " + std::to_string(bodyBytes) + " bytes");
    const std::string body(bodyBytes, 'f');
    std::atomic<unsigned> served { 0 };
    for (unsigned number = 0; number < uploads; ++number) {
        clients.emplace_back([&] {
            const auto id = nextId();
            soak::EventLoop loop(1);
            const auto end = upload(loop, address, id, body, uploads);
            served += end == "answered 200";
            record.line("upload " + id + ": " + end);
        });
    }
    for (auto& client : clients)
        client.join();
    isOver = true;
    platform.join();
    unsigned lost = 0;
    thread.run([&] {
        std::set<std::string> ran;
        for (const auto& one : runs) {
            ran.insert(one.request);
            record.line("worker " + one.worker + " ran request " + one.request + ", " + one.target);
        }
        for (unsigned number = 0; number < keptClients; ++number)
            lost += ran.count(kept[number]) != 0 && ends[number].compare(0, 8, "answered") != 0;
        record.line("workers ran " + std::to_string(ran.size()) + " requests");
    });
    record.line(std::to_string(served) + " of " + std::to_string(uploads) + " uploads were answered 200; the entry held " + std::to_string(peak) + " MB at most; " + std::to_string(lost) + " of " + std::to_string(keptClients) + " bookings on kept channels ran and got no answer");
    record.line(lost > allowedLosses ? "LOST is broken" : "LOST holds");
    return lost > allowedLosses ? exitBroken : exitHeld;
}

}

int main(int argc, char** argv)
{
    if (argc < 3)
        return review::exitCouldNotRun;
    std::signal(SIGPIPE, SIG_IGN);
    constexpr unsigned limit = 60;
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
