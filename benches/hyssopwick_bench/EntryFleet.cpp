#include "EntryFleet.h"

#include <algorithm>
#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

namespace hyssopwick {

namespace {

    constexpr unsigned platformPorts = 10;
    constexpr unsigned blackHoleOffset = 5;
    constexpr long maxIdleConnections = 8; // low, as both ends of all connections are in this process

    int openBlackHole(unsigned port)
    {
        const int socketFd = socket(AF_INET, SOCK_STREAM, 0);
        const int on = 1;
        setsockopt(socketFd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        bind(socketFd, reinterpret_cast<const sockaddr*>(&address), sizeof address);
        listen(socketFd, 4096);
        return socketFd;
    }

}

EntryFleet::EntryFleet(std::size_t count, std::size_t regions, unsigned port, std::uint64_t seed)
    : m_port(port)
    , m_keyValue(loopback(port))
    , m_vmList(loopback(port + 1))
    , m_random(seed)
    , m_blackHole(openBlackHole(port + blackHoleOffset))
{
    for (std::size_t i = 0; i < count; ++i) {
        const auto region = "region-" + std::to_string(i % regions);
        m_vms.push_back({ "entry-" + std::to_string(i), loopback(port + platformPorts + static_cast<unsigned>(i)), region, region + "-" + std::to_string(i / regions % 3), "entry" });
        m_regionOf[m_vms.back().address] = region;
    }
}

EntryFleet::~EntryFleet()
{
    for (auto& node : m_nodes)
        node.reset();
    close(m_blackHole);
}

ProcessSettings EntryFleet::settingsOf(const VmIdentity& vm) const
{
    ProcessSettings settings;
    settings.vm = vm;
    settings.listen = vm.address;
    settings.keyValueAddress = loopback(m_port);
    settings.vmListAddress = loopback(m_port + 1);
    settings.peerKeyId = "k";
    settings.peerKey = "bench-peer-key-0001";
    settings.keyValueCallsPerSecond = 40;
    settings.workerThreads = 3;
    return settings;
}

std::string EntryFleet::rewriteUrl(const std::string& region, const std::string& url)
{
    const auto begin = url.find("//") + 2;
    const auto end = url.find('/', begin);
    const auto address = url.substr(begin, end - begin);
    const auto target = m_regionOf.find(address);
    const auto targetRegion = target == m_regionOf.end() ? "platform" : target->second;
    std::lock_guard<std::mutex> lock(m_mutex);
    const bool isBlocked = targetRegion != region && (m_cutOff.count(region) != 0 || m_cutOff.count(targetRegion) != 0);
    const bool isLost = target != m_regionOf.end() && m_random.unit() < m_loss;
    return isBlocked || isLost ? "http://" + loopback(m_port + blackHoleOffset) + url.substr(end) : url;
}

std::unique_ptr<EntryNode> EntryFleet::makeNode(const VmIdentity& vm)
{
    auto node = std::make_unique<EntryNode>(settingsOf(vm), [](const std::string&) {});
    node->context().client.setMaxIdleConnections(maxIdleConnections);
    node->context().client.setUrlRedirect([this, region = vm.region](const std::string& url) { return rewriteUrl(region, url); });
    return node->start() ? std::move(node) : nullptr;
}

bool EntryFleet::start()
{
    std::vector<ListedVm> listed;
    for (const auto& vm : m_vms)
        listed.push_back({ vm, false });
    m_vmList.set(listed);
    if (!m_keyValue.start() || !m_vmList.start())
        return false;
    for (const auto& vm : m_vms) {
        m_nodes.push_back(makeNode(vm));
        if (!m_nodes.back())
            return false;
    }
    return true;
}

void EntryFleet::kill(std::size_t index) { m_nodes[index].reset(); }

void EntryFleet::restart(std::size_t index) { m_nodes[index] = makeNode(m_vms[index]); }

void EntryFleet::setCutOff(const std::string& region, bool isCutOff)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    if (isCutOff)
        m_cutOff.insert(region);
    else
        m_cutOff.erase(region);
}

ConfigurationRevision EntryFleet::applyChange(std::size_t records)
{
    std::vector<Record> recordList;
    ++m_changes;
    for (std::size_t i = 0; i < records; ++i)
        recordList.push_back(AccountRecord { "account-" + std::to_string(i), Digest::of(std::to_string(i)), static_cast<std::int64_t>(1 + (i == 0 ? m_changes % 1000 : 0)), 5, 0 });
    HttpClient client;
    KeyValueClient store(client, loopback(m_port), "operator");
    Applier applier(store, "bench", std::to_string(m_changes));
    const auto result = applier.apply(Bundle(recordList), std::nullopt);
    return result.verdict == ApplyVerdict::Accepted ? result.head.revision : 0;
}

bool EntryFleet::isActiveEverywhere(ConfigurationRevision revision) const
{
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (m_nodes[i] && m_cutOff.count(m_vms[i].region) == 0 && m_nodes[i]->revision() < revision)
            return false;
    }
    return true;
}

std::size_t EntryFleet::nodesConsideringAlive(std::size_t index) const
{
    return static_cast<std::size_t>(std::count_if(m_nodes.begin(), m_nodes.end(), [&](const auto& node) { return node && node->considersAlive(m_vms[index].id); }));
}

std::size_t EntryFleet::falselyDead() const
{
    std::size_t deadCount = 0;
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (!m_nodes[i])
            continue;
        deadCount += std::any_of(m_nodes.begin(), m_nodes.end(), [&](const auto& node) { return node && !node->considersAlive(m_vms[i].id); });
    }
    return deadCount;
}

std::uint64_t EntryFleet::total(const std::string& counter, const std::string& label) const
{
    std::uint64_t sum = 0;
    for (const auto& node : m_nodes) {
        if (node)
            sum += node->context().metrics.counter(counter, label);
    }
    return sum;
}

}
