#include "FakeServer.h"

namespace hyssopwick {

namespace {
    constexpr int statusOk = 200;
    constexpr std::size_t maxRequestBytes = std::size_t(4) << 20;
}

FakeServer::FakeServer(std::string address, unsigned threads)
    : m_address(std::move(address))
    , m_threads(threads)
{
}

FakeServer::~FakeServer() { stop(); }

Outcome<void> FakeServer::start()
{
    HttpServerOptions options;
    options.address = m_address;
    options.threads = m_threads;
    options.maxRequestBytes = maxRequestBytes;
    m_server = std::make_unique<HttpServer>(options, [this](HttpRequest request, HttpResponderPointer responder) { route(std::move(request), std::move(responder)); });
    return m_server->start();
}

void FakeServer::stop()
{
    if (m_server)
        m_server->stop();
    m_scheduler.stop();
}

void FakeServer::setFault(const std::string& name, double value)
{
    std::lock_guard<std::mutex> lock(m_faultMutex);
    m_faults[name] = value;
}

double FakeServer::fault(const std::string& name) const
{
    std::lock_guard<std::mutex> lock(m_faultMutex);
    const auto found = m_faults.find(name);
    return found == m_faults.end() ? 0 : found->second;
}

void FakeServer::route(HttpRequest request, HttpResponderPointer responder)
{
    if (request.path == "/healthz") {
        responder->send(statusOk, "ok\n");
        return;
    }
    if (request.path == "/fault") {
        const auto json = nlohmann::json::parse(request.body, nullptr, false);
        if (json.is_object()) {
            for (const auto& [name, value] : json.items())
                setFault(name, value.get<double>());
        }
        responder->send(statusOk, "{}");
        return;
    }
    handle(std::move(request), std::move(responder));
}

}
