// Case 7: the origin's answers to the first requests for a manifest have one wrong digit.
// Usage: SpoiltManifest ENTRY-PROGRAM AGENT-PROGRAM RECORD-FILE
#include "Lab.hpp"

#include "../../tests/platform/soak/EngineStandIn.h"
#include "../../tests/platform/soak/FleetSettings.h"
#include "../../tests/platform/soak/PlainService.h"

#include <atomic>
#include <csignal>
#include <openssl/evp.h>

namespace {

using namespace review;

constexpr unsigned entryCount = 3;
constexpr unsigned engineCount = 4;
constexpr unsigned pieces = 48; // as on the sheet
constexpr unsigned spoiltAnswers = 2; // of the origin's 50 and more: the share 0.04 of the site's days
constexpr double originBytesPerSecond = 15e6 / 8;
constexpr double streamsPerSecond = 6;
constexpr double plainPerSecond = 18;
constexpr Milliseconds timeBefore { 3000 }; // of load, before the new version is named
constexpr Milliseconds loadTime { 84000 };
constexpr std::uint64_t newVersion = 2;

std::string sha256(const std::string& bytes)
{
    unsigned char digest[EVP_MAX_MD_SIZE];
    unsigned size = 0;
    EVP_Digest(bytes.data(), bytes.size(), digest, &size, EVP_sha256(), nullptr);
    std::string hex;
    for (unsigned i = 0; i < size; ++i) {
        char text[3];
        std::snprintf(text, sizeof text, "%02x", digest[i]);
        hex += text;
    }
    return hex;
}

std::string wholeManifest(std::uint64_t version)
{
    auto digests = Json::array();
    for (unsigned number = 0; number < pieces; ++number)
        digests.push_back(sha256(soak::pieceOf(version, number)));
    return Json { { "model", soak::modelName }, { "version", version }, { "chunkBytes", soak::pieceBytes }, { "layers", soak::layerCount }, { "digests", digests } }.dump();
}

/// The service with the weights. Its answers follow one another over its link.
class Origin {
public:
    Origin(soak::EventLoop& loop, const std::string& address, Record& record, unsigned spoilt)
        : m_loop(loop)
        , m_record(record)
        , m_spoiltLeft(spoilt)
        , m_server(loop, address, [this](const soak::ServerConnectionPointer& connection) { serve(connection); })
    {
    }

    unsigned manifests() const { return m_manifests; }
    const std::map<unsigned, unsigned>& pieceAnswers() const { return m_pieceAnswers; }

private:
    void serve(const soak::ServerConnectionPointer& connection)
    {
        const auto& request = connection->request();
        const auto version = std::stoull("0" + request.parameter("version"));
        if (request.path() == std::string("/-/manifest/") + soak::modelName) {
            auto text = wholeManifest(version);
            if (version == newVersion && m_spoiltLeft > 0) {
                --m_spoiltLeft;
                auto& digit = text[text.find("\"digests\":[\"") + 20];
                digit = digit == '0' ? '1' : '0';
                m_record.line("the origin answers a request for the manifest of version " + std::to_string(version) + " with one wrong digit in the digest of piece 0");
            } else {
                m_record.line("the origin answers a request for the manifest of version " + std::to_string(version));
            }
            m_manifests += version == newVersion;
            return send(connection, text);
        }
        const auto number = static_cast<unsigned>(std::stoul("0" + request.parameter("num")));
        if (request.path() != std::string("/-/piece/") + soak::modelName || number >= pieces)
            return connection->respond(404, {}, "");
        if (version == newVersion)
            ++m_pieceAnswers[number];
        send(connection, soak::pieceOf(version, number));
    }

    void send(const soak::ServerConnectionPointer& connection, std::string body)
    {
        m_linkFreeAt = std::max(m_linkFreeAt, soak::now()) + soak::fromSeconds(double(body.size()) / originBytesPerSecond);
        soak::runAfter(m_loop, m_linkFreeAt - soak::now(), [connection, body = std::move(body)] {
            if (connection->isOpen())
                connection->respond(200, {}, body);
        });
    }

    soak::EventLoop& m_loop;
    Record& m_record;
    unsigned m_spoiltLeft;
    unsigned m_manifests = 0;
    std::map<unsigned, unsigned> m_pieceAnswers;
    TimePoint m_linkFreeAt;
    soak::HttpServer m_server;
};

/// Requests of one kind, each in a thread of a small pool.
struct Kind {
    std::string name;
    std::string host;
    std::string target;
    bool isStream = false;
    std::atomic<unsigned> sent { 0 };
    std::atomic<unsigned> served { 0 };
    double share() const { return sent == 0 ? 0 : double(served) / sent; }
};

Json weightsRecord(std::uint64_t version) { return { { "model", soak::modelName }, { "version", version } }; }

int run(const std::string& entryProgram, const std::string& agentProgram, Record& record)
{
    TemporaryFolder folder;
    soak::LoopbackNetwork network;
    LoopThread thread;
    soak::Journal journal;
    std::unique_ptr<soak::StoreStandIn> store;
    std::unique_ptr<Origin> origin;
    std::vector<std::unique_ptr<soak::EngineStandIn>> engines;
    std::vector<std::unique_ptr<soak::PlainService>> plain;
    const StopAtEnd stopAtEnd { thread };
    const auto storeAddress = network.at(soak::LoopbackNetwork::storeHost, Port::Store);
    const auto originAddress = network.at(soak::LoopbackNetwork::originHost, Port::Origin);
    const auto engineAddress = [&](unsigned number) { return network.at(soak::LoopbackNetwork::firstEngineHost + number, Port::Engine); };
    const auto versionKey = std::string("op/version/") + soak::modelName;
    thread.run([&] {
        store = std::make_unique<soak::StoreStandIn>(thread.loop(), storeAddress);
        const char* spoilt = std::getenv("SPOILT"); // for trials
        origin = std::make_unique<Origin>(thread.loop(), originAddress, record, !hasTrouble() ? 0 : spoilt ? static_cast<unsigned>(std::stoul(spoilt))
                                                                                                           : spoiltAnswers);
        auto configuration = soak::configuration(1, soak::EnginePace().slots, originAddress);
        for (auto& service : configuration["services"]) {
            if (service.contains("engine"))
                service["engine"]["chunks"] = pieces;
            if (service.contains("origin"))
                service["linkMbps"] = 15.0;
        }
        store->set("op/config", configuration);
        store->set(versionKey, weightsRecord(1));
        for (unsigned number = 0; number < 3; ++number)
            plain.push_back(std::make_unique<soak::PlainService>(thread.loop(), *store, journal, "p-" + std::to_string(number + 1), network.at(soak::LoopbackNetwork::firstPlainHost + number, Port::Engine)));
        for (unsigned number = 0; number < engineCount; ++number)
            engines.push_back(std::make_unique<soak::EngineStandIn>(thread.loop(), *store, journal, "i-" + std::to_string(number + 1), engineAddress(number), 1, 1));
    });
    // Workers that are present at the start hold version 1, which is also staged.
    for (unsigned number = 0; number < engineCount; ++number) {
        for (unsigned piece = 0; piece < pieces; ++piece)
            call(engineAddress(number), "PUT", std::string("/-/stage-put/") + soak::modelName + "?num=" + std::to_string(piece), { { "Host", engineAddress(number) }, { "Connection", "close" } }, soak::pieceOf(1, piece), Milliseconds(1000));
    }
    std::vector<std::string> seeds;
    for (unsigned number = 0; number < entryCount; ++number)
        seeds.push_back(network.at(soak::LoopbackNetwork::firstEntryHost + number, Port::Control));
    std::vector<std::unique_ptr<Process>> processes;
    for (unsigned number = 0; number < entryCount; ++number) {
        const auto node = "front-north-a-" + std::to_string(number + 1);
        processes.push_back(std::make_unique<Process>(entryProgram, folder.path(), node, settingsOf({ node, network.ip(soak::LoopbackNetwork::firstEntryHost + number), "", seeds, storeAddress })));
    }
    for (unsigned number = 0; number < engineCount; ++number) {
        const auto node = "side-north-a-" + std::to_string(number + 1);
        processes.push_back(std::make_unique<Process>(agentProgram, folder.path(), node, settingsOf({ node, network.ip(soak::LoopbackNetwork::firstEngineHost + number), engineAddress(number), seeds, storeAddress, 9.4 })));
    }
    for (const auto& process : processes)
        process->start();
    for (unsigned number = 0; number < entryCount; ++number) {
        if (!waitUntilReady(network.at(soak::LoopbackNetwork::firstEntryHost + number, Port::Ready), Milliseconds(10000)))
            return exitCouldNotRun;
    }
    std::this_thread::sleep_for(Milliseconds(2000));
    record.line(std::to_string(entryCount) + " entries and " + std::to_string(engineCount) + " agents run; all workers hold version 1; load begins");

    std::deque<Kind> kinds;
    const auto addKind = [&kinds](const char* name, const char* host, const char* target, bool isStream) {
        auto& kind = kinds.emplace_back();
        kind.name = name;
        kind.host = host;
        kind.target = target;
        kind.isStream = isStream;
    };
    addKind("draft", "models.example", "/draft/a?events=8", true);
    addKind("replan", "models.example", "/replan/a?events=8", true);
    addKind("notice", "models.example", "/notice/a?events=8", true);
    addKind("book", "permits.example", "/book/a?work=30", false);
    addKind("read", "permits.example", "/read/a?work=30", false);
    const auto startedAt = soak::now();
    std::vector<std::thread> clients;
    const auto sendKind = [&](Kind& kind, double perSecond, unsigned client) {
        constexpr unsigned clientsOfKind = 8;
        for (unsigned number = client;; number += clientsOfKind) {
            const auto at = startedAt + soak::fromSeconds(number / perSecond);
            if (at >= startedAt + loadTime)
                return;
            sleepUntil(at);
            static std::atomic<std::uint64_t> next { 1 };
            char id[20];
            std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(next++ * 0x9e3779b97f4a7c15u));
            soak::Fields fields { { "Host", kind.host }, { "Request-Id", id }, { "Deadline-Ms", kind.isStream ? "6000" : "1500" }, { "Authorization", "Bearer key-of-tenant-a" } };
            if (kind.isStream) {
                fields.emplace_back("Model", soak::modelName);
                fields.emplace_back("Token-Counts", "400,40");
                fields.emplace_back("Prompt-Prefix", "ab:100," + std::string(id) + ":300");
            }
            ++kind.sent;
            const auto entry = network.at(soak::LoopbackNetwork::firstEntryHost + number % entryCount, Port::Callers);
            const auto answer = call(entry, "POST", kind.target, fields, "body of " + std::string(id), Milliseconds(kind.isStream ? 6000 : 1500));
            kind.served += answer.status == 200 && answer.hasSeal;
            record.line("request " + std::string(id) + " (" + kind.name + ") sent " + std::to_string(std::chrono::duration_cast<Milliseconds>(at - startedAt).count()) + " ms after the load began: " + (answer.status == 0 ? answer.problem : "answered " + std::to_string(answer.status)));
        }
    };
    for (auto& kind : kinds) {
        const double perSecond = kind.isStream ? streamsPerSecond / 3 : plainPerSecond / 2;
        for (unsigned client = 0; client < 8; ++client)
            clients.emplace_back(sendKind, std::ref(kind), perSecond, client);
    }
    sleepUntil(startedAt + timeBefore);
    record.line("the operator names version 2");
    thread.run([&] { store->set(versionKey, weightsRecord(newVersion)); });
    for (auto& client : clients)
        client.join();

    unsigned sent = 0;
    unsigned served = 0;
    for (const auto& kind : kinds) {
        sent += kind.sent;
        served += kind.served;
    }
    bool isBroken = false;
    for (const auto& kind : kinds) {
        const bool isStarved = kind.share() < double(served) / sent / 4;
        isBroken = isBroken || isStarved;
        record.line(kind.name + ": " + std::to_string(kind.served) + " of " + std::to_string(kind.sent) + " served" + (isStarved ? ", less than a quarter as often as all" : ""));
    }
    record.line("all: " + std::to_string(served) + " of " + std::to_string(sent) + " served");
    thread.run([&] {
        unsigned total = 0;
        for (const auto& [piece, count] : origin->pieceAnswers())
            total += count;
        const auto first = origin->pieceAnswers().find(0);
        record.line("the origin sent the manifest of version 2 " + std::to_string(origin->manifests()) + " times and its pieces " + std::to_string(total) + " times, piece 0 " + std::to_string(first == origin->pieceAnswers().end() ? 0 : first->second) + " times, all of them right");
    });
    for (unsigned number = 0; number < engineCount; ++number) {
        const auto report = call(engineAddress(number), "GET", "/-/report", { { "Host", engineAddress(number) }, { "Connection", "close" } }, "", Milliseconds(1000));
        record.line("worker i-" + std::to_string(number + 1) + " at the end: models " + Json::parse(report.body).at("models").dump());
    }
    record.line(isBroken ? "Starved is broken" : "Starved holds");
    for (const auto& process : processes)
        process->kill();
    return isBroken ? exitBroken : exitHeld;
}

}

int main(int argc, char** argv)
{
    if (argc < 4)
        return review::exitCouldNotRun;
    std::signal(SIGPIPE, SIG_IGN);
    constexpr unsigned timeLimit = 116;
    std::signal(SIGALRM, [](int) { _exit(review::exitCouldNotRun); });
    alarm(timeLimit);
    review::Record record(argv[3]);
    try {
        return run(argv[1], argv[2], record);
    } catch (const std::exception& problem) {
        record.line(std::string("could not run: ") + problem.what());
        return review::exitCouldNotRun;
    }
}
