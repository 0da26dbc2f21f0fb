#include "SystemFleet.h"

#include <thread>

namespace hyssopwick {

namespace {
    constexpr unsigned originOffset = 2;
    constexpr unsigned agentOffset = 400;
    constexpr unsigned upstreamOffset = 600;
    constexpr std::size_t regions = 3;
    constexpr Milliseconds startTimeout { 30'000 };
    constexpr Milliseconds pollPeriod { 50 };
}

SystemFleet::SystemFleet(SystemFleetOptions options)
    : m_options(std::move(options))
    , m_entries(m_options.entries, regions, m_options.port, m_options.seed)
    , m_origin(loopback(m_options.port + originOffset))
{
}

SystemFleet::~SystemFleet()
{
    m_agents.clear();
    m_engines.clear();
    m_services.clear();
}

VmIdentity SystemFleet::agentVm(std::size_t index) const
{
    const bool isModel = index < m_options.modelVms;
    const auto region = "region-" + std::to_string(index % regions);
    return { (isModel ? "model-" : "service-") + std::to_string(index), loopback(m_options.port + agentOffset + static_cast<unsigned>(index)), region, region + "-" + std::to_string(index / regions % 2), isModel ? "model" : "permit" };
}

std::string SystemFleet::upstreamAddress(std::size_t index) const { return loopback(m_options.port + upstreamOffset + static_cast<unsigned>(index)); }

std::unique_ptr<AgentNode> SystemFleet::makeAgent(std::size_t index)
{
    ProcessSettings settings;
    settings.vm = agentVm(index);
    settings.listen = settings.vm.address;
    settings.keyValueAddress = loopback(m_options.port);
    settings.vmListAddress = loopback(m_options.port + 1);
    settings.originAddress = m_origin.address();
    settings.originRegion = "region-0";
    settings.upstreamAddress = upstreamAddress(index);
    settings.peerKeyId = "k";
    settings.peerKey = "bench-peer-key-0001";
    settings.uplinkBytesPerSecond = 50'000'000;
    settings.downlinkBytesPerSecond = 50'000'000;
    settings.regionLinkBytesPerSecond = 20'000'000;
    settings.weightBudgetBytes = std::int64_t(1) << 30;
    auto agent = std::make_unique<AgentNode>(settings, [](const std::string&) {});
    return agent->start() ? std::move(agent) : nullptr;
}

void SystemFleet::restartAgent(std::size_t index) { m_agents[index] = makeAgent(index); }

std::string SystemFleet::start()
{
    const auto manifest = m_origin.add({ "assistant", "v1", 16, 64 * 1024, 1, 0, 0 });
    if (!m_origin.start() || !m_entries.start())
        return "a port is taken";
    for (std::size_t i = 0; i < m_options.modelVms + m_options.serviceVms; ++i) {
        if (i < m_options.modelVms) {
            FakeEngineOptions engine;
            engine.address = upstreamAddress(i);
            engine.capacity = m_options.engineCapacity;
            engine.tokenPeriod = m_options.tokenPeriod;
            m_engines.push_back(std::make_unique<FakeEngine>(engine, nullptr));
            if (!m_engines.back()->start())
                return "a port is taken";
        } else {
            m_services.push_back(std::make_unique<FakeService>(upstreamAddress(i), nullptr));
            if (!m_services.back()->start())
                return "a port is taken";
        }
        m_agents.push_back(makeAgent(i));
        if (!m_agents.back())
            return "a port is taken";
    }
    std::vector<Record> records(m_options.accounts.begin(), m_options.accounts.end());
    PlacementRecord placement;
    placement.name = "assistant";
    placement.version = "v1";
    placement.manifest = manifest.digest();
    placement.workerKind = "model";
    placement.replicas = static_cast<std::int64_t>(m_options.modelVms);
    records.emplace_back(placement);
    records.emplace_back(ServiceRecord { "permit", "permit", false, false, { "status" }, { "book" } });
    HttpClient client;
    KeyValueClient store(client, loopback(m_options.port), "operator");
    if (Applier(store, "bench", "start").apply(Bundle(records), std::nullopt).verdict != ApplyVerdict::Accepted)
        return "the records were not accepted";
    const auto deadline = monotonicNow() + startTimeout;
    while (servingModelVms() < m_options.modelVms * m_options.entries && monotonicNow() < deadline)
        std::this_thread::sleep_for(pollPeriod);
    return monotonicNow() < deadline ? "" : "the model is not in service everywhere";
}

// Counts pairs of an entry node and a model VM that it may route to.
std::size_t SystemFleet::servingModelVms()
{
    std::size_t serving = 0;
    HttpClient client;
    for (const auto& address : entryAddresses()) {
        HttpClientRequest request;
        request.method = "GET";
        request.url = "http://" + address + "/v1/status";
        request.deadline = monotonicNow() + Milliseconds(1000);
        const auto answer = client.send(std::move(request));
        if (!answer)
            continue;
        const auto status = nlohmann::json::parse(answer.value().body, nullptr, false);
        const auto upstreams = status.value("upstreams", nlohmann::json::object());
        std::size_t knownServing = 0;
        for (const auto& [vm, upstream] : upstreams.items())
            knownServing += upstream["kind"] == "model" && !upstream["serving"].empty() && upstream["ready"].get<bool>();
        // An entry node knows only the upstreams that report to it.
        serving += knownServing >= std::min<std::size_t>(m_options.modelVms, 5) ? m_options.modelVms : knownServing;
    }
    return serving;
}

std::vector<std::string> SystemFleet::entryAddresses() const
{
    std::vector<std::string> addresses;
    for (std::size_t i = 0; i < m_entries.size(); ++i)
        addresses.push_back(m_entries.vm(i).address);
    return addresses;
}

double SystemFleet::engineCapacityPerSecond(unsigned tokens) const
{
    // A stream occupies its slot for one period per token and one for the end marker.
    const auto seconds = static_cast<double>(m_options.tokenPeriod.count()) * (tokens + 1) / 1000;
    return static_cast<double>(m_options.modelVms) * static_cast<double>(m_options.engineCapacity) / seconds;
}

FakeCallerOptions SystemFleet::callerOptions(const std::string& account, std::uint64_t seed) const
{
    FakeCallerOptions options;
    options.entries = entryAddresses();
    options.account = account;
    options.secret = secretOf(account);
    options.model = "assistant";
    options.bookingPath = "/v1/services/permit/book";
    options.seed = seed;
    return options;
}

}
