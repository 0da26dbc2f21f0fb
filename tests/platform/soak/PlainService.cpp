#include "PlainService.h"

namespace hyssopwick::soak {

PlainService::PlainService(EventLoop& loop, StoreStandIn& store, Journal& journal, std::string id, const std::string& address)
    : m_loop(loop)
    , m_journal(journal)
    , m_id(std::move(id))
    , m_server(loop, address, [this](const ServerConnectionPointer& connection) { serve(connection); })
{
    const auto bornMs = std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    store.set("servers/" + m_id, { { "service", "permits" }, { "address", address }, { "zone", "north-a" }, { "version", "1" }, { "slots", 64 }, { "state", "ready" }, { "coldLeftMs", 0 }, { "sequence", 0 }, { "born", bornMs } });
}

void PlainService::serve(const ServerConnectionPointer& connection)
{
    const auto& request = connection->request();
    if (request.path() == "/health")
        return connection->respond(200, { { "Instance-Id", m_id } }, "");
    const auto id = request.field("Request-Id");
    auto& run = m_journal.addRun(id, m_id);
    const auto expected = request.field("Expect-Instance");
    run.endedAt = now();
    if (!expected.empty() && expected != m_id) {
        run.end = RunEnd::NotRun;
        run.status = 421;
        return connection->respond(421, { { "Instance-Id", m_id }, { "Request-Id", id } }, "");
    }
    run.endedAt.reset();
    run.begunAt = now();
    const auto finish = [&run](RunEnd end) {
        run.end = end;
        run.endedAt = now();
    };
    connection->onPeerClosed([finish] { finish(RunEnd::EntryClosed); });
    const Milliseconds work(std::stoll("0" + request.parameter("work")));
    runAfter(m_loop, work, [connection, id, finish, &run] {
        if (!connection->isOpen())
            return;
        constexpr std::size_t bodyBytes = 2000;
        finish(RunEnd::Whole);
        run.status = 200;
        connection->respond(200, { { "Request-Id", id }, { "Server-Seal", "seal-" + id } }, std::string(bodyBytes, 'p'));
    });
}

}
