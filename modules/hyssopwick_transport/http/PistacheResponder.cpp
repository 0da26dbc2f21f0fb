#include "PistacheResponder.h"

#include "ClientAcceptor.h"

#include <pistache/http_defs.h>
#include <pistache/peer.h>
#include <sys/socket.h>

namespace hyssopwick {

namespace {

    // Minutes of a token stream; a caller that reads, however slowly, stays far below it.
    constexpr std::size_t maxUnreadStreamBytes = std::size_t(2) << 20;
    // Estimate of what Pistache allocates for each write beside its bytes.
    constexpr std::size_t writeOverheadBytes = 512;

    struct PendingPart {
        PendingWrite ofServer;
        PendingWrite ofConnection;
        PendingWrite unreadBytes;
    };

}

std::string responseHead(int status, const HttpHeaders& headers)
{
    std::string head = "HTTP/1.1 " + std::to_string(status) + " " + Pistache::Http::codeString(static_cast<Pistache::Http::Code>(status)) + "\r\n";
    for (const auto& [name, value] : headers)
        head += name + ": " + value + "\r\n";
    return head;
}

PistacheResponder::PistacheResponder(std::unique_ptr<AcceptedRequest> accepted, const ClientRegistry::PeerPointer& peer, WriteCounter writesOfServer)
    : m_accepted(std::move(accepted))
    , m_peer(peer)
    , m_writesOfServer(std::move(writesOfServer))
    , m_writesOfConnection(ClientConnection::of(*peer)->pendingWrites())
{
}

PistacheResponder::~PistacheResponder() = default;

void PistacheResponder::send(int status, std::string body, const HttpHeaders& headers)
{
    auto message = responseHead(status, headers);
    message += "Connection: Keep-Alive\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    message += body;
    enqueue(std::move(message));
}

void PistacheResponder::startStream(int status, const HttpHeaders& headers)
{
    enqueue(responseHead(status, headers) + "Connection: Keep-Alive\r\nTransfer-Encoding: chunked\r\n\r\n");
}

bool PistacheResponder::write(std::string_view data)
{
    if (data.empty())
        return isConnected();
    char size[20];
    const int sizeLength = std::snprintf(size, sizeof size, "%zx\r\n", data.size());
    std::string message(size, static_cast<std::size_t>(sizeLength));
    message += data;
    message += "\r\n";
    return !closeUnread() && enqueue(std::move(message));
}

void PistacheResponder::finish() { enqueue("0\r\n\r\n"); }

void PistacheResponder::close()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_isClosed = true;
}

// Closes the connection if its caller reads too slowly, so that the stream does not seem
// complete. Pistache notices that and discards what is not written.
bool PistacheResponder::closeUnread()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    if (m_isUnread || m_isClosed || *m_unreadBytes <= maxUnreadStreamBytes)
        return m_isUnread;
    m_isUnread = true;
    // Pistache closes the descriptor only after close().
    if (const auto peer = m_peer.lock())
        ::shutdown(peer->fd(), SHUT_RDWR);
    return true;
}

bool PistacheResponder::enqueue(std::string message)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    if (m_isClosed || m_isUnread)
        return false;
    const auto peer = m_peer.lock();
    if (!peer)
        return false;
    const auto size = message.size();
    const auto write = std::shared_ptr<PendingPart>(new PendingPart { PendingWrite(m_writesOfServer), PendingWrite(m_writesOfConnection), PendingWrite(m_unreadBytes, size + writeOverheadBytes) });
    peer->send(Pistache::RawBuffer(std::move(message), size)).then([write](ssize_t) {}, [write](const std::exception_ptr&) {});
    return true;
}

}
