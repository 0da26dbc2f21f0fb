#include "TransmissionState.h"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>

namespace hyssopwick {

std::optional<TransmissionState> TransmissionState::of(TcpSocket& socket)
{
    int unacknowledged = 0;
    if (!socket.is_open() || ioctl(socket.native_handle(), SIOCOUTQ, &unacknowledged) != 0)
        return std::nullopt;
    TransmissionState state;
    state.unacknowledgedBytes = static_cast<std::size_t>(unacknowledged);
    int unsent = 0;
    if (ioctl(socket.native_handle(), SIOCOUTQNSD, &unsent) == 0)
        state.unsentBytes = static_cast<std::size_t>(unsent);
    tcp_info info {};
    socklen_t size = sizeof info;
    if (getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
        return state;
    state.retransmissions = info.tcpi_total_retrans;
    state.roundTrip = std::chrono::duration_cast<Milliseconds>(std::chrono::microseconds(info.tcpi_rtt));
    state.sinceReceived = Milliseconds(info.tcpi_last_data_recv);
    return state;
}

bool isClosedByPeer(TcpSocket& socket)
{
    pollfd watched { socket.native_handle(), POLLRDHUP, 0 };
    return poll(&watched, 1, 0) > 0 && (watched.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

}
