#pragma once

#include "../TestSupport.h"

#include <PlatformAdapter.h>
#include <hyssopwick_gateway.h>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>
#include <unistd.h>

namespace hyssopwick {

/// Key-value store on a loopback port that answers the calls of entry VMs.
class FleetStore {
public:
    using Json = nlohmann::json;

    explicit FleetStore(EventLoop& loop)
        : m_loop(loop)
        , m_listener(
              loop, [this](const ServerExchangePointer& exchange) { serve(exchange); }, [] { return CallerLimits(); })
    {
        CHECK(m_listener.listen("127.0.0.1:0").has_value());
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_listener.port()); }

    /// Writes a record. \param value  in base64
    void set(const std::string& key, const std::string& value)
    {
        m_records[key] = { value, ++m_revision };
        answerWatches();
    }

    /// Lets the next read of all records return one with another value and revision, or without the value not at all.
    void spoilNextRead(const std::string& key, const std::string& value, std::uint64_t revision) { m_spoilt[key] = { value, revision }; }

    std::uint64_t revision() const { return m_revision; }

    /// Stops answering calls, or answers again. Calls that arrive while it is silent stay unanswered.
    void setSilent(bool isSilent) { m_isSilent = isSilent; }

    std::size_t countUnder(const std::string& prefix) const
    {
        return static_cast<std::size_t>(std::count_if(m_records.begin(), m_records.end(), [&prefix](const auto& record) { return record.first.rfind(prefix, 0) == 0; }));
    }

private:
    struct Record {
        std::string value;
        std::uint64_t revision = 0;
    };

    struct Watch {
        ServerExchangePointer exchange;
        std::uint64_t after = 0;
        std::shared_ptr<LoopTimer> timer; // answers it when its wait is over
    };

    static std::uint64_t parameter(const std::string& target, const std::string& name)
    {
        const auto begin = target.find(name + "=");
        return begin == std::string::npos ? 0 : std::stoull(target.substr(begin + name.size() + 1));
    }

    static void respond(const ServerExchangePointer& exchange, unsigned status, const Json& body)
    {
        exchange->respond(status, { { "Content-Type", "application/json" } }, body.dump());
    }

    Json readAll()
    {
        auto records = m_records;
        for (const auto& [key, record] : std::exchange(m_spoilt, {})) {
            records[key] = record;
            if (record.value.empty())
                records.erase(key);
        }
        return recordsAfter(0, records);
    }

    static Json recordsAfter(std::uint64_t revision, const std::map<std::string, Record>& records)
    {
        auto items = Json::array();
        for (const auto& [key, record] : records) {
            if (record.revision <= revision)
                continue;
            if (record.value.empty())
                items.push_back({ { "key", key }, { "revision", record.revision }, { "deleted", true } });
            else
                items.push_back({ { "key", key }, { "value", record.value }, { "revision", record.revision } });
        }
        return items;
    }

    void serve(const ServerExchangePointer& exchange)
    {
        if (m_isSilent)
            return m_unanswered.push_back(exchange);
        const auto& target = exchange->request().target;
        const auto startsWith = [&target](const char* prefix) { return target.rfind(prefix, 0) == 0; };
        if (startsWith("/-/kv-range"))
            return respond(exchange, 200, { { "items", readAll() }, { "hasMore", false }, { "at", m_revision } });
        if (startsWith("/-/kv-watch")) {
            const auto timer = std::make_shared<LoopTimer>(m_loop, Milliseconds(parameter(target, "waitMs")));
            timer->async_wait([this, raw = exchange.get()](boost::system::error_code error) {
                if (!error)
                    endWatch(raw);
            });
            m_watches.push_back({ exchange, parameter(target, "after"), timer });
            return answerWatches();
        }
        if (startsWith("/-/kv-txn"))
            return write(exchange);
        respond(exchange, 200, { { "lease", 1 }, { "ttlMs", 30000 } });
    }

    void write(const ServerExchangePointer& exchange)
    {
        const auto body = Json::parse(exchange->request().body);
        for (const auto& expected : body.at("expected")) {
            const auto found = m_records.find(expected.at("key").get<std::string>());
            const auto revision = found == m_records.end() || found->second.value.empty() ? 0 : found->second.revision;
            if (expected.at("revision").get<std::uint64_t>() != revision)
                return respond(exchange, 412, { { "items", Json::array() } });
        }
        for (const auto& item : body.at("setKeys"))
            m_records[item.at("key").get<std::string>()] = { item.at("value").get<std::string>(), ++m_revision };
        for (const auto& key : body.at("remove"))
            m_records[key.get<std::string>()] = { "", ++m_revision };
        respond(exchange, 200, { { "revision", m_revision } });
        answerWatches();
    }

    void endWatch(const ServerExchange* exchange)
    {
        const auto watch = std::find_if(m_watches.begin(), m_watches.end(), [exchange](const Watch& candidate) { return candidate.exchange.get() == exchange; });
        if (m_isSilent || watch == m_watches.end())
            return;
        const auto ended = *watch;
        m_watches.erase(watch);
        respond(ended.exchange, 200, { { "events", Json::array() }, { "at", m_revision } });
    }

    void answerWatches()
    {
        if (m_isSilent)
            return;
        const auto watches = std::move(m_watches);
        m_watches.clear();
        for (const auto& watch : watches) {
            if (watch.after >= m_revision)
                m_watches.push_back(watch);
            else
                respond(watch.exchange, 200, { { "events", recordsAfter(watch.after, m_records) }, { "at", m_revision } });
        }
    }

    EventLoop& m_loop;
    HttpListener m_listener;
    std::map<std::string, Record> m_records;
    std::map<std::string, Record> m_spoilt; // in the next read
    std::vector<Watch> m_watches;
    std::vector<ServerExchangePointer> m_unanswered;
    std::uint64_t m_revision = 0;
    bool m_isSilent = false;
};

/// Engine on a loopback port that crashes when it begins the answer to a prompt with one block.
class CrashingEngine {
public:
    CrashingEngine(EventLoop& loop, std::string crashingBlock, std::function<void(CrashingEngine&)> onCrash)
        : m_crashingBlock(std::move(crashingBlock))
        , m_onCrash(std::move(onCrash))
        , m_listener(
              loop, [this](const ServerExchangePointer& exchange) { serve(exchange); }, [] { return CallerLimits(); })
    {
        CHECK(m_listener.listen("127.0.0.1:0").has_value());
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_listener.port()); }

    unsigned crashes = 0;
    unsigned answers = 0;
    std::string limit; ///< that it names in its answers, in requests a second

private:
    void serve(const ServerExchangePointer& exchange)
    {
        const auto& fields = exchange->request().fields;
        HeaderFields answer { { "Request-Id", std::string(headerValue(fields, "Request-Id")) }, { "Server-Seal", "s" } };
        if (!limit.empty())
            answer.emplace_back("Server-Limit", limit);
        const bool isCrash = headerValue(fields, "Prompt-Prefix").find(m_crashingBlock + ":") != std::string_view::npos;
        // Some engines crash before the first event leaves them, others after it.
        const bool hasFirstEvent = !isCrash || crashes % 2 == 0;
        if (hasFirstEvent) {
            exchange->startStream(200, answer);
            exchange->write("id: 1\ndata: a\n\n");
        }
        if (isCrash) {
            ++crashes;
            exchange->abort();
            return m_onCrash(*this);
        }
        ++answers;
        exchange->write("id: 2\ndata: b\n\n");
        exchange->finish();
    }

    std::string m_crashingBlock;
    std::function<void(CrashingEngine&)> m_onCrash;
    HttpListener m_listener;
};

/// Entry VMs as one process each has them, on loopback addresses of their own, with a store
/// and engines. The test takes the part of the engines' agents.
class Fleet {
public:
    static constexpr std::uint16_t internalPort = 21741;
    static constexpr std::uint16_t metricsPort = 21742;
    static constexpr std::uint16_t callerPort = 21743;
    static constexpr std::uint16_t directoryPort = 21744;

    Fleet(EventLoop& loop, std::size_t entryCount, std::size_t engineCount, const std::string& crashingBlock)
        : m_loop(loop)
        , m_store(loop)
        , m_agents(loop, asio::ip::udp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
        for (std::size_t number = 0; number < engineCount; ++number)
            m_engines.push_back(std::make_unique<CrashingEngine>(loop, crashingBlock, [this](CrashingEngine& engine) { reportRestart(engine); }));
        writeConfiguration();
        for (std::size_t number = 0; number < entryCount; ++number)
            startEntry(number);
        waitForEntries();
    }

    /// Sends a call to an entry VM and returns the status of the answer, 0 for an incomplete one.
    unsigned call(std::size_t entry, const std::string& id, const std::string& promptPrefix)
    {
        HttpCall call { "POST", "/p/" + id, { { "Host", "a.example" }, { "Request-Id", id }, { "Authorization", "Bearer key" }, { "Deadline-Ms", "6000" }, { "Token-Counts", "500,20" }, { "Prompt-Prefix", promptPrefix } }, id };
        const auto response = send(entry, std::move(call));
        return response.isComplete() ? response.status : 0;
    }

    /// Sends a request to an entry VM.
    WholeResponse send(std::size_t entry, HttpCall request) { return fetch(ipOf(entry) + ":" + std::to_string(callerPort), std::move(request)); }

    /// Starts a further entry VM.
    void addEntry()
    {
        startEntry(m_entries.size());
        waitForEntries();
    }

    unsigned crashes() const
    {
        unsigned crashes = 0;
        for (const auto& engine : m_engines)
            crashes += engine->crashes;
        return crashes;
    }

    CrashingEngine& engine(std::size_t number) { return *m_engines.at(number); }
    FleetStore& store() { return m_store; }
    std::size_t size() const { return m_entries.size(); }
    std::string metrics(std::size_t entry) const { return m_entries.at(entry)->metrics.prometheusText(); }

    static std::string base64(const std::string& bytes)
    {
        std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
        const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()), reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
        text.resize(static_cast<std::size_t>(size));
        return text;
    }

    void runUntil(const std::function<bool()>& isDone)
    {
        // The upper bound only ends a failing test.
        for (const auto deadline = monotonicNow() + timeout; !isDone() && monotonicNow() < deadline;)
            m_loop.run_one_for(Milliseconds(5));
        CHECK(isDone());
    }

private:
    static constexpr Milliseconds timeout { 20000 };
    static constexpr const char* model = "m";

    struct Entry {
        Entry(EventLoop& loop, ProcessDescription description)
            : context { loop, std::move(description), platform::platformPorts(), log, metrics, 1 }
            , gateway(std::make_unique<EntryGateway>(context))
        {
        }

        EventLog log { "test", [](const std::string&) {} };
        MetricsRegistry metrics;
        GatewayContext context;
        std::unique_ptr<EntryGateway> gateway;
    };

    // Differs between test processes, so that they can run side by side.
    static std::string ipOf(std::size_t entry)
    {
        constexpr int octets = 250;
        const int process = getpid();
        return "127." + std::to_string(2 + process / octets % octets) + "." + std::to_string(process % octets) + "." + std::to_string(entry + 1);
    }

    void writeConfiguration()
    {
        m_store.set("op/config", base64(R"({"version":1,"routes":[{"name":"r","host":"a.example","prefix":"/p/","kind":"stream","canResume":true,"timeoutMs":6000,"goalMs":2000,"service":"s","attempts":2}],"services":[{"name":"s","engine":{"slots":16,"models":[{"name":"m"}]}}],"tenants":[{"name":"carrier","keys":["key"]}]})"));
        for (std::size_t number = 0; number < m_engines.size(); ++number)
            m_store.set("servers/i-" + std::to_string(number), base64(R"({"service":"s","address":")" + m_engines[number]->address() + R"(","zone":"north-a","slots":16,"state":"ready","models":[{"name":"m","version":1}]})"));
    }

    void startEntry(std::size_t number)
    {
        ProcessDescription description;
        description.node = "entry-" + std::to_string(number);
        description.ip = ipOf(number);
        description.region = "north";
        description.failureDomain = "north-a";
        description.regionOfFailureDomain = { { "north-a", "north" } };
        description.internalPort = internalPort;
        description.metricsPort = metricsPort;
        description.callerAddress = description.ip + ":" + std::to_string(callerPort);
        description.directoryAddress = description.ip + ":" + std::to_string(directoryPort);
        description.storeAddress = m_store.address();
        m_entries.push_back(std::make_unique<Entry>(m_loop, std::move(description)));
        CHECK(m_entries.back()->gateway->start().has_value());
    }

    // Waits until all entry VMs have a configuration and know each other.
    void waitForEntries()
    {
        for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
            for (const auto deadline = monotonicNow() + timeout; knownEntries(entry) < m_entries.size() && monotonicNow() < deadline;)
                m_loop.run_one_for(Milliseconds(5));
            LONGS_EQUAL(m_entries.size(), knownEntries(entry));
        }
    }

    // Returns how many entry VMs an entry VM names to callers.
    std::size_t knownEntries(std::size_t entry)
    {
        const auto response = fetch(ipOf(entry) + ":" + std::to_string(directoryPort), { "GET", "/-/resolve?name=a.example&region=north&zone=north-a", {}, "" });
        return response.status == 200 ? nlohmann::json::parse(response.body).at("addresses").size() : 0;
    }

    WholeResponse fetch(const std::string& address, HttpCall call)
    {
        std::optional<WholeResponse> received;
        const auto now = monotonicNow();
        const auto exchange = fetchWhole(m_loop, address, std::move(call), now + timeout, now + timeout, [&received](WholeResponse response) { received = std::move(response); });
        runUntil([&received] { return received.has_value(); });
        return std::move(*received);
    }

    void sendUpdate(const CrashingEngine& engine, bool isAnswering, UnixMilliseconds startedAt)
    {
        EngineUpdate update;
        update.engineAddress = engine.address();
        update.isAnswering = isAnswering;
        update.report.startedAt = startedAt;
        if (isAnswering)
            update.report.loadedVersions[model] = 1;
        const auto bytes = encodePeerMessage(update);
        for (std::size_t entry = 0; entry < m_entries.size(); ++entry)
            m_agents.send_to(asio::buffer(bytes), { asio::ip::make_address_v4(ipOf(entry)), internalPort });
    }

    // The engine's agent finds it down, then started again.
    void reportRestart(const CrashingEngine& engine)
    {
        sendUpdate(engine, false, m_engineStart);
        sendUpdate(engine, true, ++m_engineStart);
    }

    EventLoop& m_loop;
    FleetStore m_store;
    UdpSocket m_agents;
    std::vector<std::unique_ptr<CrashingEngine>> m_engines;
    std::vector<std::unique_ptr<Entry>> m_entries;
    UnixMilliseconds m_engineStart = 1000;
};

}
