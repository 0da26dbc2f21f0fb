#include "ConnectionCheck.h"

namespace hyssopwick {

namespace {
    struct Check {
        explicit Check(EventLoop& loop)
            : socket(loop)
            , timer(loop)
        {
        }
        TcpSocket socket;
        LoopTimer timer;
    };
}

void checkConnection(EventLoop& loop, const std::string& address, TimePoint deadline, std::function<void(bool isAccepted)> handler)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint)
        return asio::post(loop, [handler = std::move(handler)] { handler(false); });
    const auto check = std::make_shared<Check>(loop);
    check->timer.expires_at(deadline);
    check->timer.async_wait([check](boost::system::error_code error) {
        boost::system::error_code ignored;
        if (!error)
            check->socket.close(ignored); // ends the connecting with an error
    });
    check->socket.async_connect(endpoint.value(), [check, handler = std::move(handler)](boost::system::error_code error) {
        check->timer.cancel();
        handler(!error);
    });
}

}
