#include "EngineStandIn.h"

namespace hyssopwick::soak {

namespace {
    constexpr std::size_t eventBytes = 160;

    std::int64_t unixMs() { return std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count(); }

    std::string eventText(unsigned number, const std::string& id)
    {
        auto text = "id: " + std::to_string(number) + "\ndata: " + id;
        text.resize(std::max(text.size(), eventBytes), '.');
        return text + "\n\n";
    }
}

EngineStandIn::EngineStandIn(EventLoop& loop, StoreStandIn& store, Journal& journal, std::string id, const std::string& address, std::uint64_t loadedVersion, double timeFactor)
    : m_loop(loop)
    , m_store(store)
    , m_journal(journal)
    , m_id(std::move(id))
    , m_timeFactor(timeFactor)
    , m_bornMs(unixMs())
    , m_loadedVersion(loadedVersion)
    , m_server(loop, address, [this](const ServerConnectionPointer& connection) { serve(connection); })
{
    for (unsigned number = 0; loadedVersion != 0 && number < pieceCount; ++number)
        m_staged[number] = pieceOf(loadedVersion, number);
    publish();
}

void EngineStandIn::drain()
{
    m_isDraining = true;
    publish();
}

void EngineStandIn::breakOff()
{
    m_hasLeft = true;
    for (const auto& stream : std::exchange(m_running, {}))
        end(stream, RunEnd::ServerBrokeOff);
    for (const auto& stream : std::exchange(m_waiting, {}))
        end(stream, RunEnd::ServerBrokeOff);
    m_server.stop();
}

void EngineStandIn::slowDown(double factor, TimePoint until)
{
    m_slowFactor = factor;
    m_slowUntil = until;
}

Json EngineStandIn::models() const
{
    auto list = Json::array();
    if (m_loadedVersion != 0)
        list.push_back({ { "name", modelName }, { "version", m_loadedVersion }, { "adapters", Json::array() } });
    return list;
}

Json EngineStandIn::layers() const { return { { "from", 0 }, { "target", m_loadedVersion != 0 ? layerCount : 0 }, { "version", m_loadedVersion } }; }

void EngineStandIn::publish()
{
    if (m_hasLeft)
        return;
    m_store.set("servers/" + m_id, { { "service", "models" }, { "address", address() }, { "zone", "north-a" }, { "version", "1" }, { "slots", m_pace.slots }, { "state", m_isDraining ? "draining" : "ready" }, { "coldLeftMs", 0 }, { "sequence", m_orderCount }, { "born", m_bornMs }, { "stage", "colocated" }, { "models", models() }, { "layers", layers() } });
}

void EngineStandIn::serve(const ServerConnectionPointer& connection)
{
    const auto path = connection->request().path();
    if (path == "/health")
        return connection->respond(m_isDraining ? 503 : 200, { { "Instance-Id", m_id } }, "");
    if (path == "/-/report")
        return serveReport(connection);
    if (path == std::string("/-/stage-put/") + modelName)
        return serveStage(connection, true);
    if (path == std::string("/-/stage-get/") + modelName)
        return serveStage(connection, false);
    if (path == "/-/order")
        return serveOrder(connection);
    serveStream(connection);
}

void EngineStandIn::serveReport(const ServerConnectionPointer& connection)
{
    constexpr unsigned tokensOfStream = 850;
    constexpr unsigned tokenCapacity = 1180000;
    if (now() < m_silentUntil)
        return; // the agent gives up and opens a new connection
    connection->respondJson(200, Json { { "stage", "colocated" }, { "models", models() }, { "layers", layers() }, { "busy", m_orderedVersion != 0 }, { "sequence", m_orderCount }, { "queued", m_waiting.size() }, { "running", m_running.size() }, { "kvUsed", m_running.size() * tokensOfStream * layerCount }, { "kvTotal", tokenCapacity * layerCount }, { "handles", 0 }, { "pace", timeFactor() }, { "born", m_bornMs } }.dump());
}

void EngineStandIn::serveStage(const ServerConnectionPointer& connection, bool isWrite)
{
    const auto& request = connection->request();
    const auto text = request.parameter("num");
    const auto number = static_cast<unsigned>(std::stoul("0" + text));
    if (isWrite) {
        m_staged[number] = request.body;
        return connection->respond(200, {}, "");
    }
    if (text.empty()) {
        auto held = Json::array();
        for (const auto& [piece, bytes] : m_staged)
            held.push_back(piece);
        return connection->respondJson(200, Json { { "held", held } }.dump());
    }
    const auto found = m_staged.find(number);
    connection->respond(found == m_staged.end() ? 404 : 200, {}, found == m_staged.end() ? "" : found->second);
}

void EngineStandIn::serveOrder(const ServerConnectionPointer& connection)
{
    const auto body = Json::parse(connection->request().body);
    const auto version = body.at("version").get<std::uint64_t>();
    if (body.contains("expected") && body.at("expected").get<std::uint64_t>() != m_orderCount)
        return connection->respond(409, {}, "");
    if (m_loadedVersion == version)
        return connection->respond(200, {}, "");
    if (m_orderedVersion != 0)
        return connection->respond(409, {}, "");
    ++m_orderCount;
    m_orderedVersion = version;
    connection->respond(202, {}, "");
    loadIfIdle();
}

void EngineStandIn::loadIfIdle()
{
    if (m_orderedVersion == 0 || m_isLoading || !m_running.empty() || m_hasLeft)
        return;
    m_isLoading = true;
    runAfter(m_loop, fromSeconds(m_pace.loadSeconds), [this] {
        m_isLoading = false;
        m_loadedVersion = std::exchange(m_orderedVersion, 0);
        publish();
        startNext();
    });
}

void EngineStandIn::refuse(const ServerConnectionPointer& connection, Run& run, unsigned status)
{
    run.end = RunEnd::NotRun;
    run.endedAt = now();
    run.status = status;
    connection->respond(status, { { "Request-Id", connection->request().field("Request-Id") }, { "Instance-Id", m_id }, { "Not-Executed", "1" }, { "At-Server", m_id } }, "");
}

void EngineStandIn::serveStream(const ServerConnectionPointer& connection)
{
    const auto& request = connection->request();
    const auto id = request.field("Request-Id");
    auto& run = m_journal.addRun(id, m_id);
    const auto expected = request.field("Expect-Instance");
    if (!expected.empty() && expected != m_id)
        return refuse(connection, run, 421);
    const bool hasFreeSlot = m_running.size() < m_pace.slots && m_loadedVersion != 0 && m_orderedVersion == 0;
    if (!hasFreeSlot && m_waiting.size() >= m_pace.queueLimit)
        return refuse(connection, run, 503);
    const Milliseconds timeout(std::stoll("0" + request.field("Deadline-Ms")));
    run.firstEvent = static_cast<unsigned>(std::stoul("0" + request.field("Last-Event-Id"))) + 1;
    const auto eventCount = static_cast<unsigned>(std::stoul("0" + request.parameter("events")));
    const auto stream = std::make_shared<Stream>(Stream { connection, &run, id, eventCount, now() + timeout, Timer(m_loop) });
    connection->onPeerClosed([this, weak = std::weak_ptr<Stream>(stream)] {
        if (const auto closed = weak.lock())
            end(closed, closed->run->begunAt ? RunEnd::EntryClosed : RunEnd::NotRun);
    });
    m_waiting.push_back(stream);
    startNext();
}

void EngineStandIn::startNext()
{
    while (!m_waiting.empty() && m_running.size() < m_pace.slots && m_loadedVersion != 0 && m_orderedVersion == 0) {
        const auto stream = m_waiting.front();
        m_waiting.pop_front();
        if (now() >= stream->deadline) {
            refuse(stream->connection, *stream->run, 503);
            continue;
        }
        begin(stream);
    }
}

void EngineStandIn::begin(const StreamPointer& stream)
{
    m_running.insert(stream);
    stream->run->begunAt = now();
    stream->run->lastEvent = stream->run->firstEvent - 1;
    const auto tokens = std::stoul("0" + stream->connection->request().field("Token-Counts"));
    scheduleEvent(stream, double(tokens) / m_pace.promptTokensPerMs);
}

void EngineStandIn::scheduleEvent(const StreamPointer& stream, double delayMs)
{
    stream->timer.expires_after(fromSeconds(delayMs * timeFactor() / 1000));
    stream->timer.async_wait([this, stream](boost::system::error_code error) {
        if (!error && m_running.count(stream) != 0)
            sendEvent(stream);
    });
}

void EngineStandIn::sendEvent(const StreamPointer& stream)
{
    auto& run = *stream->run;
    if (run.status == 0) {
        run.status = 200;
        stream->connection->startChunks({ { "Content-Type", "text/event-stream" }, { "Request-Id", stream->id }, { "Server-Seal", "seal-" + stream->id }, { "Weight-Versions", std::to_string(m_loadedVersion) } });
    }
    if (run.lastEvent < stream->eventCount)
        stream->connection->writeChunk(eventText(++run.lastEvent, stream->id));
    if (run.lastEvent >= stream->eventCount)
        return end(stream, RunEnd::Whole);
    if (now() >= stream->deadline) // an engine stops work at the value that it received
        return end(stream, RunEnd::ServerBrokeOff);
    scheduleEvent(stream, m_pace.stride * (m_pace.stepMs + m_pace.perSequenceMs * double(m_running.size())));
}

void EngineStandIn::end(const StreamPointer& stream, RunEnd end)
{
    if (stream->run->endedAt)
        return;
    stream->run->end = end;
    stream->run->endedAt = now();
    stream->timer.cancel();
    if (end == RunEnd::Whole)
        stream->connection->finishChunks();
    else
        stream->connection->close();
    m_running.erase(stream);
    const auto waiting = std::find(m_waiting.begin(), m_waiting.end(), stream);
    if (waiting != m_waiting.end())
        m_waiting.erase(waiting);
    if (m_hasLeft)
        return;
    loadIfIdle();
    startNext();
}

}
