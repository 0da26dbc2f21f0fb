#include "NetworkTypes.h"

#include <charconv>
#include <netinet/tcp.h>

namespace hyssopwick {

namespace {
    // Callers abandon a stalled stream after 2 s at the earliest (the platform's protocol); data
    // that stays unacknowledged for longer is of no use to them.
    constexpr int userTimeoutMilliseconds = 5000;
}

Outcome<asio::ip::tcp::endpoint> parseEndpoint(const std::string& address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos)
        return failure(ErrorCode::InvalidInput, "address \"" + address + "\" has no port");
    boost::system::error_code error;
    const auto ip = asio::ip::make_address_v4(address.substr(0, colon), error);
    std::uint16_t port = 0;
    const auto* end = address.data() + address.size();
    const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
    if (error || parsed.ec != std::errc() || parsed.ptr != end)
        return failure(ErrorCode::InvalidInput, "address \"" + address + "\" is not an IPv4 address and port");
    return asio::ip::tcp::endpoint(ip, port);
}

void prepareSocket(TcpSocket& socket)
{
    boost::system::error_code ignored; // a refused option only costs speed
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    socket.set_option(UserTimeout(userTimeoutMilliseconds), ignored);
}

}
