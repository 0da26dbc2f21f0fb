#include "Deployment.hpp"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <unistd.h>

namespace review {

namespace {
    constexpr int exitHeld = 0;
    constexpr int exitBroken = 1;
    constexpr int exitNotRun = 2;
    constexpr unsigned timeLimitSeconds = 118;
    constexpr Milliseconds pollPeriod { 10 };
    constexpr Milliseconds readyPeriod { 100 };
    constexpr Milliseconds startTimeout { 15000 };
    constexpr Milliseconds streamTimeout { 6000 };
    constexpr Milliseconds plainTimeout { 1500 };
    // The programs of deploy/system.toml, started in the repository root.
    constexpr const char* entryProgram = "target/bin/hyssopwick-entry";
    constexpr const char* agentProgram = "target/bin/hyssopwick-agent";
}

Deployment::Deployment(EventLoop& loop, Record& record, const std::string& folder, const Options& options)
    : m_loop(loop)
    , m_record(record)
    , m_options(options)
    , m_store(loop, m_network.at(LoopbackNetwork::storeHost, Port::Store))
    , m_origin(loop, record, m_network.at(LoopbackNetwork::originHost, Port::Origin))
{
    auto config = configuration(1, 16, m_origin.address());
    for (auto& service : config["services"]) {
        if (service.contains("engine"))
            service["engine"].update({ { "chunks", pieceTotal }, { "chunkBytes", pieceSize } });
        if (service.contains("origin"))
            service["linkMbps"] = 15.0;
    }
    m_store.set("op/config", config);
    const auto plainAddress = m_network.at(LoopbackNetwork::firstPlainHost, Port::Engine);
    m_plainServer = std::make_unique<HttpServer>(loop, plainAddress, [this](const ServerConnectionPointer& connection) {
        if (connection->request().path() == "/health")
            return connection->respond(200, { { "Instance-Id", "p-1" } }, "");
        const auto id = connection->request().field("Request-Id");
        runAfter(m_loop, Milliseconds(30), [connection, id] {
            if (connection->isOpen())
                connection->respond(200, { { "Request-Id", id }, { "Server-Seal", "seal-" + id } }, std::string(800, 'p'));
        });
    });
    m_store.set("servers/p-1", { { "service", "permits" }, { "address", plainAddress }, { "zone", "north-a" }, { "version", "1" }, { "slots", 16 }, { "state", "ready" }, { "coldLeftMs", 0 }, { "sequence", 0 }, { "born", 1700000000000 } });
    for (unsigned number = 0; number < options.workers; ++number) {
        m_workers.push_back(std::make_unique<Worker>(loop, m_store, record, Worker::Settings { "i-" + std::to_string(number + 1), m_network.at(LoopbackNetwork::firstEngineHost + number, Port::Engine) }));
        m_agents.push_back(std::make_unique<ProcessControl>(loop, m_journal, agentName(number), agentProgram, folder, agentSettings(m_network, number, options.entries)));
    }
    for (unsigned number = 0; number < options.entries; ++number)
        m_entries.push_back(std::make_unique<ProcessControl>(loop, m_journal, entryName(number), entryProgram, folder, entrySettings(m_network, number, options.entries)));
}

void Deployment::start(std::function<void(bool)> onReady)
{
    for (const auto& entry : m_entries)
        entry->start();
    for (const auto& agent : m_agents)
        agent->start();
    poll(now());
    checkReady(0, now() + startTimeout, [this, onReady = std::move(onReady)](bool isReady) {
        m_isCalling = isReady;
        schedule(true);
        schedule(false);
        onReady(isReady);
    });
}

void Deployment::poll(TimePoint expectedAt)
{
    m_largestDelay = std::max(m_largestDelay, now() - expectedAt);
    for (const auto* processes : { &m_entries, &m_agents }) {
        for (const auto& process : *processes)
            process->poll();
    }
    const auto next = now() + pollPeriod;
    runAfter(m_loop, pollPeriod, [this, next] { poll(next); });
}

void Deployment::checkReady(unsigned entry, TimePoint giveUpAt, std::function<void(bool)> handler)
{
    if (entry >= m_entries.size() || now() >= giveUpAt)
        return handler(entry >= m_entries.size());
    const auto connection = std::make_shared<ClientConnection>(m_loop, m_network.at(LoopbackNetwork::firstEntryHost + entry, Port::Ready));
    const auto onEnd = [this, connection, entry, giveUpAt, handler = std::move(handler)](ExchangeEnd end) {
        const bool isReady = end == ExchangeEnd::Complete && connection->response().status() == 200;
        connection->close();
        runAfter(m_loop, isReady ? Milliseconds(0) : readyPeriod, [this, next = entry + isReady, giveUpAt, handler] { checkReady(next, giveUpAt, handler); });
    };
    connection->exchange(requestText("GET", "/-/ready", { { "Host", connection->address() }, { "Connection", "close" } }, ""), { nullptr, nullptr, onEnd });
}

void Deployment::nameVersion(std::uint64_t version)
{
    m_record.line("operator names version ", version);
    m_store.set(std::string("op/version/") + model, { { "model", model }, { "version", version } });
}

void Deployment::schedule(bool isStream)
{
    const double rate = isStream ? m_options.streamsPerSecond : m_options.plainPerSecond;
    runAfter(m_loop, fromSeconds(m_random.exponential(1 / rate)), [this, isStream] {
        if (!m_isCalling)
            return;
        call(isStream);
        schedule(isStream);
    });
}

void Deployment::call(bool isStream)
{
    auto& counts = isStream ? m_streams : m_plain;
    ++counts.sent;
    const auto id = (isStream ? "s-" : "p-") + std::to_string(++m_calls);
    const auto entry = m_random.below(m_entries.size());
    const auto connection = std::make_shared<ClientConnection>(m_loop, m_network.at(LoopbackNetwork::firstEntryHost + entry, Port::Callers));
    const auto timeout = isStream ? streamTimeout : plainTimeout;
    Fields fields { { "Host", isStream ? "models.example" : "permits.example" }, { "Request-Id", id }, { "Deadline-Ms", std::to_string(timeout.count()) }, { "Authorization", "Bearer key-of-tenant-a" }, { "Connection", "close" } };
    std::string target = "/read/" + id;
    if (isStream) {
        fields.insert(fields.end(), { { "Model", model }, { "Token-Counts", "600,70" }, { "Prompt-Prefix", "1:40," + id + ":560" } });
        target = "/draft/a?events=14";
    }
    const auto timer = std::make_shared<Timer>(m_loop, timeout);
    const double sentAt = m_record.seconds();
    const auto isEnded = std::make_shared<bool>(false);
    const auto end = [this, &counts, connection, timer, id, entry, sentAt, isEnded](const char* how) {
        if (std::exchange(*isEnded, true))
            return;
        timer->cancel();
        const auto status = connection->hasHead() ? connection->response().status() : 0;
        const bool isServed = std::string(how) == "complete" && status == 200 && !connection->response().field("Server-Seal").empty();
        const bool isRefused = std::string(how) == "complete" && (status == 503 || status == 429);
        ++(isServed ? counts.served : isRefused ? counts.refused : counts.other);
        m_record.line("client ", id, " sent to entry ", entry + 1, " at ", sentAt, ": ", how, ", status ", status, ", version ", connection->hasHead() ? connection->response().field("Weight-Versions") : "");
        connection->close();
    };
    timer->async_wait([end](boost::system::error_code error) {
        if (!error)
            end("time limit");
    });
    connection->exchange(requestText(isStream ? "POST" : "GET", target, fields, isStream ? "prompt" : ""), { nullptr, nullptr, [end](ExchangeEnd how) { end(how == ExchangeEnd::Complete ? "complete" : how == ExchangeEnd::NotConnected ? "no channel" : "broken"); } });
}

int runCase(int argc, char** argv, const Deployment::Options& options, double seconds, const std::function<void(EventLoop&, Deployment&, Record&, bool)>& begin, const std::function<bool(Deployment&, Record&)>& holds)
{
    if (argc != 2) {
        std::cerr << "usage: " << argv[0] << " RECORD\n";
        return exitNotRun;
    }
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGALRM, [](int) { _exit(exitNotRun); }); // the processes end with this one
    alarm(timeLimitSeconds);
    const char* trouble = std::getenv("TROUBLE");
    const bool hasTrouble = !trouble || std::string(trouble) != "0";
    std::string folder = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (!mkdtemp(folder.data()))
        return exitNotRun;
    int result = exitNotRun;
    try {
        Record record(argv[1]);
        EventLoop loop(1);
        Deployment deployment(loop, record, folder, options);
        bool isReady = false;
        deployment.start([&](bool ready) {
            isReady = ready;
            if (!ready)
                return loop.stop();
            record.line("all entries are ready; trouble: ", hasTrouble ? "yes" : "no");
            begin(loop, deployment, record, hasTrouble);
            runAfter(loop, fromSeconds(seconds), [&] {
                deployment.stopCallers();
                loop.stop();
            });
        });
        loop.run();
        if (isReady) {
            const bool isHeld = holds(deployment, record);
            record.line("the stand-ins were late by at most ", secondsBetween({}, TimePoint(deployment.largestDelay())) * 1000, " ms");
            record.line(isHeld ? "the rule held" : "THE RULE WAS BROKEN");
            std::cout << (isHeld ? "the rule held\n" : "the rule was broken\n");
            result = isHeld ? exitHeld : exitBroken;
        }
        for (const auto* processes : { &deployment.entries(), &deployment.agents() }) {
            for (const auto& process : *processes)
                process->disableRestart();
        }
    } catch (const std::exception& problem) {
        std::cerr << problem.what() << "\n";
    }
    if (const char* logs = std::getenv("REVIEW_LOGS"))
        std::filesystem::copy(folder, logs, std::filesystem::copy_options::recursive | std::filesystem::copy_options::overwrite_existing);
    std::filesystem::remove_all(folder);
    return result;
}

}
