#include "TransmissionState.h"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>

namespace hyssopwick {

namespace {
    // Returns the kernel's statistics of a connection; all are 0 if it has none.
    tcp_info statisticsOf(TcpSocket& socket)
    {
        tcp_info info {};
        socklen_t size = sizeof info;
        return getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) == 0 ? info : tcp_info {};
    }
}

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
    const auto statistics = statisticsOf(socket);
    state.retransmissions = statistics.tcpi_total_retrans;
    state.roundTrip = std::chrono::duration_cast<Milliseconds>(std::chrono::microseconds(statistics.tcpi_rtt));
    state.sinceAcknowledgement = Milliseconds(statistics.tcpi_last_ack_recv);
    return state;
}

Milliseconds timeSinceReceived(TcpSocket& socket) { return Milliseconds(statisticsOf(socket).tcpi_last_data_recv); }

bool isClosedByPeer(TcpSocket& socket)
{
    pollfd watched { socket.native_handle(), POLLRDHUP, 0 };
    return poll(&watched, 1, 0) > 0 && (watched.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

}
