#include "LoopbackNetwork.h"

namespace hyssopwick::soak {

LoopbackNetwork::LoopbackNetwork()
{
    constexpr int maxTries = 50;
    std::random_device device;
    for (int tries = 0; tries < maxTries; ++tries) {
        m_prefix = "127." + std::to_string(20 + device() % 230) + "." + std::to_string(1 + device() % 250) + ".";
        if (isFree())
            return;
    }
    throw std::runtime_error("no free loopback network");
}

bool LoopbackNetwork::isFree() const
{
    EventLoop loop(1);
    for (const auto host : { storeHost, originHost, firstPlainHost, firstEntryHost, firstEngineHost }) {
        for (auto port = static_cast<unsigned>(Port::Internal); port <= static_cast<unsigned>(Port::Origin); ++port) {
            asio::ip::tcp::acceptor acceptor(loop);
            boost::system::error_code error;
            acceptor.open(asio::ip::tcp::v4());
            acceptor.bind(endpointOf(at(host, static_cast<Port>(port))), error);
            if (error)
                return false;
        }
    }
    return true;
}

asio::ip::tcp::endpoint endpointOf(const std::string& address)
{
    const auto colon = address.rfind(':');
    return { asio::ip::make_address_v4(address.substr(0, colon)), static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))) };
}

}
