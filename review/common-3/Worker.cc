#include "Worker.hpp"

#include <openssl/evp.h>

namespace review {

namespace {
    // As of the site caroni-ducts: a step takes 8.87 ms, 19.1 prompt tokens are read in a ms, an event has 5 tokens.
    constexpr double stepMs = 8.87;
    constexpr double tokensReadPerMs = 19.1;
    constexpr unsigned tokensOfEvent = 5;
    constexpr double warmSeconds = 0.3;
    constexpr unsigned tokenCapacity = 1180000;
    constexpr unsigned tokensOfStream = 1000;

    std::int64_t unixMs() { return std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count(); }

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
}

const std::string& pieceText(std::uint64_t version, unsigned number)
{
    static std::map<std::pair<std::uint64_t, unsigned>, std::string> known;
    const auto found = known.find({ version, number });
    if (found != known.end())
        return found->second;
    std::mt19937_64 random(version * pieceTotal + number);
    std::string piece(pieceSize, '\0');
    for (std::size_t at = 0; at < piece.size(); at += sizeof(std::uint64_t)) {
        const std::uint64_t word = random();
        piece.replace(at, sizeof word, reinterpret_cast<const char*>(&word), sizeof word);
    }
    return known[{ version, number }] = piece;
}

Json manifest(std::uint64_t version)
{
    static std::map<std::uint64_t, Json> known;
    auto& digests = known[version];
    for (unsigned number = 0; digests.size() < pieceTotal; ++number)
        digests.push_back(sha256(pieceText(version, number)));
    return { { "model", model }, { "version", version }, { "chunkBytes", pieceSize }, { "layers", layerTotal }, { "digests", digests } };
}

Worker::Worker(EventLoop& loop, StoreStandIn& store, Record& record, Settings settings)
    : m_loop(loop)
    , m_store(store)
    , m_record(record)
    , m_settings(std::move(settings))
    , m_born(unixMs())
    , m_loaded(m_settings.version)
    , m_server(loop, m_settings.address, [this](const ServerConnectionPointer& connection) { serve(connection); })
{
    for (unsigned number = 0; m_loaded != 0 && number < pieceTotal; ++number)
        m_staged[number] = pieceText(m_loaded, number);
    publish();
}

Json Worker::models() const
{
    auto list = Json::array();
    if (m_loaded != 0)
        list.push_back({ { "name", model }, { "version", m_loaded }, { "adapters", Json::array() } });
    return list;
}

Json Worker::layers() const { return { { "from", 0 }, { "target", m_loaded != 0 ? layerTotal : 0 }, { "version", m_loaded } }; }

void Worker::publish()
{
    m_store.set("servers/" + m_settings.id, { { "service", "models" }, { "address", m_settings.address }, { "zone", "north-a" }, { "version", "1" }, { "slots", m_settings.slots }, { "state", "ready" }, { "coldLeftMs", 0 }, { "sequence", m_sequence }, { "born", m_born }, { "stage", "colocated" }, { "models", models() }, { "layers", layers() } });
}

void Worker::serve(const ServerConnectionPointer& connection)
{
    const auto path = connection->request().path();
    if (path == "/health")
        return connection->respond(200, { { "Instance-Id", m_settings.id } }, "");
    if (path == "/-/report")
        return serveReport(connection);
    if (path == std::string("/-/stage-put/") + model)
        return serveStage(connection, true);
    if (path == std::string("/-/stage-get/") + model)
        return serveStage(connection, false);
    if (path == "/-/order")
        return serveOrder(connection);
    serveStream(connection);
}

void Worker::serveReport(const ServerConnectionPointer& connection)
{
    connection->respondJson(200, Json { { "stage", "colocated" }, { "models", models() }, { "layers", layers() }, { "busy", m_isOrdered }, { "sequence", m_sequence }, { "queued", m_waiting.size() }, { "running", m_running.size() }, { "kvUsed", m_running.size() * tokensOfStream * layerTotal }, { "kvTotal", std::uint64_t(tokenCapacity) * layerTotal }, { "handles", 0 }, { "pace", 1.0 }, { "born", m_born } }.dump());
}

void Worker::serveStage(const ServerConnectionPointer& connection, bool isWrite)
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

void Worker::serveOrder(const ServerConnectionPointer& connection)
{
    m_record.line(m_settings.id, " order arrived: ", connection->request().body);
    runAfter(m_loop, m_settings.acceptance, [this, connection] {
        if (connection->isOpen())
            acceptOrder(connection);
        else
            m_record.line(m_settings.id, " order dropped, its channel is closed");
    });
}

void Worker::acceptOrder(const ServerConnectionPointer& connection)
{
    const auto body = Json::parse(connection->request().body);
    const auto version = body.at("version").get<std::uint64_t>();
    const bool isEmpty = body.contains("target") && body.at("target").get<unsigned>() == 0;
    const auto answer = [&](unsigned status, const char* text) {
        m_record.line(m_settings.id, " order for version ", version, isEmpty ? " without layers" : "", ": ", status, " ", text);
        connection->respond(status, {}, "");
    };
    if (body.contains("expected") && body.at("expected").get<std::uint64_t>() != m_sequence)
        return answer(409, "other sequence");
    if (m_isOrdered)
        return answer(409, "busy");
    if (isEmpty ? m_loaded == 0 : m_loaded == version)
        return answer(200, "in effect");
    ++m_sequence;
    m_isOrdered = true;
    m_orderedVersion = isEmpty ? 0 : version;
    m_orderedWrongPieces.clear();
    for (unsigned number = 0; !isEmpty && number < pieceTotal; ++number) {
        const auto staged = m_staged.find(number);
        if (staged == m_staged.end() || staged->second != pieceText(version, number))
            m_orderedWrongPieces.insert(number);
    }
    if (!m_orderedWrongPieces.empty()) {
        ++m_wrongLoads;
        std::string list;
        for (const auto number : m_orderedWrongPieces) {
            std::string of = "missing or spoilt";
            for (std::uint64_t other = 1; other <= version + 3; ++other) {
                if (m_staged.count(number) != 0 && m_staged[number] == pieceText(other, number))
                    of = "version " + std::to_string(other);
            }
            list += " " + std::to_string(number) + " (" + of + ")";
        }
        m_record.line(m_settings.id, " WRONG LOAD of version ", version, ": pieces that are not of it:", list);
    }
    answer(202, "begun");
    loadIfIdle();
}

void Worker::loadIfIdle()
{
    if (!m_isOrdered || m_isLoading || !m_running.empty())
        return;
    m_isLoading = true;
    runAfter(m_loop, fromSeconds(m_orderedVersion != 0 ? warmSeconds : 0.001), [this] {
        m_isLoading = m_isOrdered = false;
        m_loaded = m_orderedVersion;
        m_wrongPieces = m_orderedWrongPieces;
        ++m_loads;
        m_record.line(m_settings.id, " holds version ", m_loaded, m_wrongPieces.empty() ? "" : " WITH WRONG PIECES");
        publish();
        advance();
    });
}

void Worker::refuse(const ServerConnectionPointer& connection, unsigned status, const char* reason)
{
    m_record.line(m_settings.id, " ", connection->request().field("Request-Id"), " not run: ", status, " ", reason);
    connection->respond(status, { { "Request-Id", connection->request().field("Request-Id") }, { "Not-Executed", "1" }, { "At-Server", m_settings.id } }, "");
}

void Worker::serveStream(const ServerConnectionPointer& connection)
{
    const auto& request = connection->request();
    const auto expected = request.field("Expect-Instance");
    if (!expected.empty() && expected != m_settings.id)
        return refuse(connection, 421, "other instance");
    if (m_loaded == 0 && !m_isOrdered)
        return refuse(connection, 503, "no layers");
    if (m_waiting.size() >= m_settings.queue)
        return refuse(connection, 503, "full");
    const auto stream = std::make_shared<Stream>(Stream { connection, request.field("Request-Id"), static_cast<unsigned>(std::stoul("0" + request.parameter("events"))), static_cast<unsigned>(std::stoul("0" + request.field("Last-Event-Id"))) + 1, now() + Milliseconds(std::stoll("0" + request.field("Deadline-Ms"))), false, Timer(m_loop) });
    connection->onPeerClosed([this, weak = std::weak_ptr<Stream>(stream)] {
        if (const auto closed = weak.lock())
            finish(closed);
    });
    m_waiting.push_back(stream);
    advance();
}

void Worker::advance()
{
    while (!m_waiting.empty() && m_running.size() < m_settings.slots && m_loaded != 0 && !m_isOrdered) {
        const auto stream = m_waiting.front();
        m_waiting.pop_front();
        if (now() >= stream->deadline) {
            refuse(stream->connection, 503, "time limit");
            continue;
        }
        m_running.insert(stream);
        const auto tokens = std::stoul("0" + stream->connection->request().field("Token-Counts"));
        scheduleEvent(stream, double(tokens) / tokensReadPerMs + stepMs);
    }
}

void Worker::scheduleEvent(const StreamPointer& stream, double milliseconds)
{
    stream->timer.expires_after(fromSeconds(milliseconds / 1000));
    stream->timer.async_wait([this, stream](boost::system::error_code error) {
        if (!error && m_running.count(stream) != 0)
            sendEvent(stream);
    });
}

void Worker::sendEvent(const StreamPointer& stream)
{
    if (!stream->hasHead) {
        stream->hasHead = true;
        stream->connection->startChunks({ { "Content-Type", "text/event-stream" }, { "Request-Id", stream->id }, { "Server-Seal", "seal-" + stream->id }, { "Weight-Versions", std::to_string(m_loaded) } });
        m_record.line(m_settings.id, " ", stream->id, " begins on version ", m_loaded, m_wrongPieces.empty() ? "" : " WITH WRONG PIECES");
    }
    if (!m_wrongPieces.empty())
        ++m_wrongTokens;
    stream->connection->writeChunk("id: " + std::to_string(stream->next) + "\ndata: " + stream->id + "\n\n");
    if (stream->next++ >= stream->events) {
        stream->connection->finishChunks();
        return finish(stream);
    }
    if (now() >= stream->deadline) {
        stream->connection->close();
        return finish(stream);
    }
    scheduleEvent(stream, tokensOfEvent * stepMs);
}

void Worker::finish(const StreamPointer& stream)
{
    stream->timer.cancel();
    m_running.erase(stream);
    const auto waiting = std::find(m_waiting.begin(), m_waiting.end(), stream);
    if (waiting != m_waiting.end())
        m_waiting.erase(waiting);
    loadIfIdle();
    advance();
}

Origin::Origin(EventLoop& loop, Record& record, const std::string& address)
    : m_record(record)
    , m_server(loop, address, [this](const ServerConnectionPointer& connection) { serve(connection); })
{
}

void Origin::serve(const ServerConnectionPointer& connection)
{
    const auto& request = connection->request();
    const auto path = request.path();
    const auto version = std::stoull("0" + request.parameter("version"));
    if (path == std::string("/-/manifest/") + model) {
        m_record.line("origin: manifest of version ", version);
        return connection->respondJson(200, manifest(version).dump());
    }
    const auto number = std::stoul("0" + request.parameter("num"));
    if (path == std::string("/-/piece/") + model && number < pieceTotal)
        return connection->respond(200, {}, pieceText(version, static_cast<unsigned>(number)));
    connection->respond(404, {}, "");
}

}
