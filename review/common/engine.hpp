// Model workers with staged weights, and the origin of the weights.
#pragma once

#include "plain.hpp"

namespace review {

constexpr unsigned pieceCount = 48;
constexpr std::size_t pieceBytes = 49152;
constexpr unsigned layerCount = 16;
inline const std::string modelName = "m0";

/// Returns the bytes of one piece of a version.
inline const std::string& pieceOf(std::uint64_t version, unsigned number)
{
    static std::mutex mutex;
    static std::map<std::pair<std::uint64_t, unsigned>, std::string> pieces;
    std::lock_guard<std::mutex> lock(mutex);
    auto& piece = pieces[{ version, number }];
    if (piece.empty()) {
        std::mt19937 random(static_cast<unsigned>(version * 1000 + number));
        piece.resize(pieceBytes);
        for (auto& byte : piece)
            byte = char(random());
    }
    return piece;
}

/// The origin of the weights.
class Origin {
public:
    /// Changes an answer's body before it is sent. \param request  counts from 1, manifests only
    using Spoil = std::function<void(std::string& manifest, unsigned request)>;

    explicit Origin(const std::string& address)
        : m_server(address, [this](const Request& request, Connection& connection) { return serve(request, connection); })
    {
    }

    const std::string& address() const { return m_server.address(); }

    void spoilManifests(Spoil spoil) { m_spoil = std::move(spoil); }

private:
    bool serve(const Request& request, Connection& connection)
    {
        const auto path = request.path();
        const auto version = std::stoull("0" + request.parameter("version"));
        if (path == "/-/manifest/" + modelName) {
            auto digests = Json::array();
            for (unsigned number = 0; number < pieceCount; ++number)
                digests.push_back(sha256(pieceOf(version, number)));
            auto body = Json { { "model", modelName }, { "version", version }, { "chunkBytes", pieceBytes }, { "layers", layerCount }, { "digests", digests } }.dump();
            const unsigned count = ++m_manifests;
            const auto sound = body;
            if (m_spoil)
                m_spoil(body, count);
            NOTE("origin: manifest %u, of version %llu%s", count, static_cast<unsigned long long>(version), body == sound ? "" : ", spoilt");
            return connection.send(answerText(200, { { "Content-Type", "application/json" } }, body));
        }
        if (path == "/-/piece/" + modelName) {
            // 15 Mbit/s
            std::lock_guard<std::mutex> lock(m_link);
            sleepMs(26);
            return connection.send(answerText(200, {}, pieceOf(version, static_cast<unsigned>(std::stoul(request.parameter("num"))))));
        }
        return connection.send(answerText(404, {}, ""));
    }

    Spoil m_spoil;
    std::atomic<unsigned> m_manifests { 0 };
    std::mutex m_link;
    Server m_server;
};

/// A model worker.
class EngineWorker {
public:
    struct Run {
        std::string worker;
        std::string target;
        std::string body;
        std::uint64_t version = 0;
        unsigned spoiltPieces = 0; ///< of the load that it ran on, bad for over 3 s when that was ordered
    };

    EngineWorker(Store& store, std::string id, const std::string& address, const std::string& zone, unsigned slots, std::uint64_t loaded)
        : m_store(store)
        , m_id(std::move(id))
        , m_zone(zone)
        , m_slots(slots)
        , m_loaded(loaded)
        , m_born(unixMs())
        , m_server(address, [this](const Request& request, Connection& connection) { return serve(request, connection); })
    {
        for (unsigned number = 0; loaded != 0 && number < pieceCount; ++number)
            m_staged[number] = pieceOf(loaded, number);
        publish();
    }

    const std::string& id() const { return m_id; }
    const std::string& address() const { return m_server.address(); }

    /// Called after a staged piece was read, with its number.
    void onStageRead(std::function<void(unsigned)> handler) { m_onStageRead = std::move(handler); }

    /// Turns a staged piece bad.
    void spoil(unsigned number)
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_staged[number][100] ^= 1;
        m_spoiltAt[number] = Clock::now();
        NOTE("worker %s: staged piece %u turns bad", m_id.c_str(), number);
    }

    /// Returns whether all pieces of a version are staged.
    bool hasStaged(std::uint64_t version)
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        unsigned sound = 0;
        for (unsigned number = 0; number < pieceCount; ++number)
            sound += m_staged.count(number) != 0 && m_staged.at(number) == pieceOf(version, number);
        return sound == pieceCount;
    }

    /// Ends the worker without a word.
    void stop() { m_server.stop(); }

    std::uint64_t loaded()
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        return m_loaded;
    }

    static std::map<std::string, std::vector<Run>> runs()
    {
        std::lock_guard<std::mutex> lock(runsMutex());
        return allRuns();
    }

private:
    static std::mutex& runsMutex()
    {
        static std::mutex value;
        return value;
    }

    static std::map<std::string, std::vector<Run>>& allRuns()
    {
        static std::map<std::string, std::vector<Run>> value;
        return value;
    }

    Json models() const
    {
        auto list = Json::array();
        if (m_loaded != 0)
            list.push_back({ { "name", modelName }, { "version", m_loaded }, { "adapters", Json::array() } });
        return list;
    }

    Json layers() const { return { { "from", 0 }, { "target", m_loaded != 0 ? layerCount : 0 }, { "version", m_loaded } }; }

    void publish()
    {
        auto entry = serverEntry("models", m_server.address(), m_zone, m_slots, m_born);
        entry["stage"] = "colocated";
        entry["models"] = models();
        entry["layers"] = layers();
        entry["sequence"] = m_sequence;
        m_store.set("servers/" + m_id, entry);
    }

    bool serve(const Request& request, Connection& connection)
    {
        const auto path = request.path();
        if (path == "/health")
            return connection.send(answerText(200, { { "Instance-Id", m_id } }, ""));
        if (path == "/-/report") {
            std::lock_guard<std::mutex> lock(m_mutex);
            const Json body { { "stage", "colocated" }, { "models", models() }, { "layers", layers() }, { "busy", m_isLoading }, { "sequence", m_sequence }, { "queued", m_waiting }, { "running", m_running }, { "kvUsed", m_running * 850 * layerCount }, { "kvTotal", 1180000 * layerCount }, { "handles", 0 }, { "pace", 1.0 }, { "born", m_born } };
            return connection.send(answerText(200, { { "Content-Type", "application/json" } }, body.dump()));
        }
        if (path == "/-/stage-put/" + modelName) {
            std::lock_guard<std::mutex> lock(m_mutex);
            const auto number = static_cast<unsigned>(std::stoul(request.parameter("num")));
            m_staged[number] = request.body;
            m_spoiltAt.erase(number);
            return connection.send(answerText(200, {}, ""));
        }
        if (path == "/-/stage-get/" + modelName) {
            std::unique_lock<std::mutex> lock(m_mutex);
            const auto number = static_cast<unsigned>(std::stoul("0" + request.parameter("num")));
            const auto found = m_staged.find(number);
            if (found == m_staged.end())
                return connection.send(answerText(404, {}, ""));
            const auto answer = answerText(200, {}, found->second);
            lock.unlock();
            const bool isSent = connection.send(answer);
            if (m_onStageRead)
                m_onStageRead(number);
            return isSent;
        }
        if (path == "/-/order")
            return order(Json::parse(request.body), connection);
        return run(request, connection);
    }

    bool order(const Json& body, Connection& connection)
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        const auto version = body.at("version").get<std::uint64_t>();
        unsigned status = 202;
        if (body.contains("expected") && body.at("expected").get<std::uint64_t>() != m_sequence)
            status = 409;
        else if (m_loaded == version)
            status = 200;
        else if (m_isLoading)
            status = 409;
        if (status == 202) {
            ++m_sequence;
            m_isLoading = true;
            unsigned spoilt = 0;
            for (unsigned number = 0; number < pieceCount; ++number) {
                if (m_staged.count(number) != 0 && m_staged.at(number) == pieceOf(version, number))
                    continue;
                const auto at = m_spoiltAt.find(number);
                const double badForS = at == m_spoiltAt.end() ? 1000 : std::chrono::duration<double>(Clock::now() - at->second).count();
                NOTE("worker %s: piece %u has been bad for %.2f s", m_id.c_str(), number, badForS);
                spoilt += badForS > 3;
            }
            NOTE("worker %s accepts the order to load version %llu", m_id.c_str(), static_cast<unsigned long long>(version));
            std::thread([this, version, spoilt] { load(version, spoilt); }).detach();
        }
        return connection.send(answerText(status, {}, ""));
    }

    void load(std::uint64_t version, unsigned spoilt)
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        m_free.wait(lock, [this] { return m_running == 0; });
        m_loaded = 0;
        lock.unlock();
        publish();
        sleepMs(300);
        lock.lock();
        m_loaded = version;
        m_spoiltPieces = spoilt;
        m_isLoading = false;
        lock.unlock();
        m_free.notify_all();
        publish();
    }

    bool run(const Request& request, Connection& connection)
    {
        const auto requestId = fieldOf(request.fields, "Request-Id");
        if (const auto expected = fieldOf(request.fields, "Expect-Instance"); !expected.empty() && expected != m_id)
            return connection.send(answerText(421, { { "Instance-Id", m_id }, { "Request-Id", requestId } }, ""));
        const auto deadline = Clock::now() + std::chrono::milliseconds(std::stoll("0" + fieldOf(request.fields, "Deadline-Ms")));
        std::unique_lock<std::mutex> lock(m_mutex);
        ++m_waiting;
        const bool isFree = m_waiting <= 4 * m_slots && m_loaded != 0 && m_free.wait_until(lock, deadline, [this] { return m_running < m_slots && !m_isLoading; });
        --m_waiting;
        if (!isFree)
            return connection.send(answerText(503, { { "Request-Id", requestId }, { "Not-Executed", "1" } }, ""));
        ++m_running;
        const auto version = m_loaded;
        const auto spoilt = m_spoiltPieces;
        lock.unlock();
        const bool isWhole = stream(request, requestId, version, spoilt, connection);
        lock.lock();
        --m_running;
        lock.unlock();
        m_free.notify_all();
        return isWhole;
    }

    bool stream(const Request& request, const std::string& requestId, std::uint64_t version, unsigned spoilt, Connection& connection)
    {
        unsigned prompt = 0;
        unsigned answer = 0;
        std::sscanf(fieldOf(request.fields, "Token-Counts").c_str(), "%u,%u", &prompt, &answer);
        sleepMs(prompt / 19.1);
        {
            std::lock_guard<std::mutex> lock(runsMutex());
            allRuns()[requestId].push_back({ m_id, request.target, request.body, version, spoilt });
        }
        NOTE("worker %s runs %s on version %llu, %zu bytes", m_id.c_str(), requestId.c_str(), static_cast<unsigned long long>(version), request.body.size());
        if (!connection.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nRequest-Id: " + requestId + "\r\nServer-Seal: seal-" + requestId + "\r\nWeight-Versions: " + std::to_string(version) + "\r\n\r\n"))
            return false;
        for (unsigned event = 1; event <= (answer + 4) / 5; ++event) {
            sleepMs(5 * 9.3);
            const auto text = "id: " + std::to_string(event) + "\ndata: " + requestId + "\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", text.size());
            if (!connection.send(size + text + "\r\n"))
                return false;
        }
        return connection.send("0\r\n\r\n");
    }

    Store& m_store;
    std::string m_id;
    std::string m_zone;
    unsigned m_slots;
    std::mutex m_mutex;
    std::condition_variable m_free;
    std::map<unsigned, std::string> m_staged;
    std::map<unsigned, Clock::time_point> m_spoiltAt;
    std::function<void(unsigned)> m_onStageRead;
    std::uint64_t m_loaded;
    unsigned m_spoiltPieces = 0;
    std::uint64_t m_sequence = 0;
    bool m_isLoading = false;
    unsigned m_waiting = 0;
    unsigned m_running = 0;
    std::int64_t m_born;
    Server m_server;
};

/// A configuration with one service of model workers and the origin of its weights.
inline Json engineConfiguration(std::uint64_t version, unsigned slots, const std::string& originAddress)
{
    return { { "version", version },
        { "routes", Json::array({ { { "name", "draft" }, { "host", "models.example" }, { "prefix", "/draft/" }, { "kind", "stream" }, { "timeoutMs", 6000 }, { "goalMs", 500 }, { "gapGoalMs", 400 }, { "priority", 1 }, { "attempts", 2 }, { "sticky", true }, { "service", "models" } } }) },
        { "services", Json::array({ { { "name", "models" }, { "maxConns", 819 }, { "healthPath", "/health" }, { "engine", { { "slots", slots }, { "kvCapacityTokens", 1180000 }, { "step_ms", 8.87 }, { "per_seq_ms", 0.05 }, { "context_per_k", 0.02 }, { "read_per_s", 19100 }, { "stride", 5 }, { "chunk", 2048 }, { "chunks", pieceCount }, { "chunkBytes", pieceBytes }, { "usual", { { "prompt", 800 }, { "answer", 100 } } }, { "models", Json::array({ { { "name", modelName }, { "warmS", 0.3 } } }) } } } },
                          { { "name", "office" }, { "origin", originAddress }, { "zone", "south-a" }, { "linkMbps", 15.0 }, { "maxConns", 108 } } }) },
        { "tenants", Json::array({ { { "name", "tenant-a" }, { "keys", Json::array({ "key-of-tenant-a" }) } }, { { "name", "tenant-b" }, { "keys", Json::array({ "key-of-tenant-b" }) } } }) },
        { "limits", limitsOf() } };
}

/// A request to the model workers.
inline Request draft(const std::string& id, std::string body, const std::string& key)
{
    return { "POST", "/draft/" + id, { { "Host", "models.example" }, { "Request-Id", id }, { "Deadline-Ms", "6000" }, { "Model", modelName }, { "Token-Counts", "800,100" }, { "Prompt-Prefix", "5c1e07a2:400," + id + ":400" }, { "Authorization", "Bearer " + key } }, std::move(body) };
}

/// A fleet of model workers, each with the agent of its machine, and one entry.
class EngineFleet {
public:
    static constexpr int entryHost = 11;
    static constexpr int firstWorkerHost = 21;

    /// \param loaded  the version that the workers hold at the start; 0 for none
    EngineFleet(const std::string& folder, unsigned workerCount, unsigned slots, std::uint64_t loaded)
        : store(network.at(1, storePort))
        , origin(network.at(2, originPort))
        , m_slots(slots)
    {
        store.set("op/config", engineConfiguration(7, slots, origin.address()));
        for (unsigned number = 0; number < workerCount; ++number) {
            const int host = firstWorkerHost + static_cast<int>(number);
            const auto node = "side-" + std::to_string(number + 1);
            workers.push_back(std::make_unique<EngineWorker>(store, "i-" + std::to_string(host), network.at(host, appPort), "north-a", slots, loaded));
            agents.push_back(std::make_unique<Program>("agent", node, folder, settingsText(network, { node, host, "north-a", "north", "models" }, { entryHost }, store.address())));
        }
        entry = std::make_unique<Program>("entry", "front-1", folder, settingsText(network, { "front-1", entryHost, "north-a", "north", "" }, { entryHost }, store.address()));
    }

    void start()
    {
        entry->start();
        for (const auto& agent : agents)
            agent->start();
        waitUntilReady(network.at(entryHost, readyPort));
    }

    std::string front() const { return network.at(entryHost, frontPort); }

    /// All machines lose power, the workers' too, and come back.
    void losePower(double downMs)
    {
        NOTE("all machines lose power");
        entry->kill();
        for (const auto& agent : agents)
            agent->kill();
        std::vector<std::string> addresses;
        for (auto& worker : workers) {
            addresses.push_back(worker->address());
            worker->stop();
            m_gone.push_back(std::move(worker));
        }
        sleepMs(downMs);
        for (std::size_t number = 0; number < workers.size(); ++number)
            workers[number] = std::make_unique<EngineWorker>(store, m_gone[number]->id() + "b", addresses[number], "north-a", m_slots, 0);
        for (std::size_t number = 0; number < workers.size(); ++number)
            store.remove("servers/" + m_gone[number]->id());
        entry->start();
        for (const auto& agent : agents)
            agent->start();
        NOTE("the machines are back");
    }

    Network network;
    Store store;
    Origin origin;
    std::vector<std::unique_ptr<EngineWorker>> workers;
    std::vector<std::unique_ptr<Program>> agents;
    std::unique_ptr<Program> entry;

private:
    unsigned m_slots;
    std::vector<std::unique_ptr<EngineWorker>> m_gone; // their threads may still run
};

}
