#include "NodeContext.h"

#include <random>

namespace hyssopwick {

namespace {

    constexpr std::size_t poolQueueLimit = 20000;

    std::vector<PeerKey> peerKeys(const ProcessSettings& settings)
    {
        std::vector<PeerKey> keys { { settings.peerKeyId, settings.peerKey } };
        if (!settings.previousPeerKeyId.empty())
            keys.push_back({ settings.previousPeerKeyId, settings.previousPeerKey });
        return keys;
    }

    std::uint64_t freshSeed()
    {
        std::random_device device;
        return (std::uint64_t(device()) << 32) | device();
    }

    std::string processName(const ProcessSettings& settings, std::uint64_t incarnation)
    {
        return settings.vm.id + "." + std::to_string(incarnation);
    }

}

NodeContext::NodeContext(ProcessSettings processSettings, EventLog::Sink sink, std::size_t threads)
    : settings(std::move(processSettings))
    , log(processName(settings, static_cast<std::uint64_t>(unixNow())), std::move(sink))
    , authenticator(peerKeys(settings), freshSeed())
    , rpc(client, authenticator)
    , endpoint(authenticator, metrics)
    , pool(threads, poolQueueLimit)
    , m_incarnation(static_cast<std::uint64_t>(unixNow()))
{
    client.setLimitHandler([this](const char* limit, const std::string& url) {
        metrics.count("answers_cut_total", limit);
        log.write("answer.cut", { { "limit", limit }, { "url", url } });
    });
}

NodeContext::~NodeContext() { stop(); }

void NodeContext::stop()
{
    scheduler.stop();
    client.stop();
    pool.stop();
}

std::string NodeContext::uniqueId()
{
    return settings.vm.id + "-" + std::to_string(m_incarnation) + "-" + std::to_string(m_nextId++);
}

}
