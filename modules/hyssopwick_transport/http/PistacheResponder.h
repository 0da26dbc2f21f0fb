#pragma once

#include "ClientRegistry.h"
#include "HttpMessages.h"
#include "PendingWrite.h"

namespace hyssopwick {

/// Returns the first lines of a response, without the empty line that ends its head.
std::string responseHead(int status, const HttpHeaders& headers);

/// Answers one request on a connection of Pistache. Its ResponseStream flushes the transport's
/// queue on the calling thread, although that queue allows one consumer only. Responses are
/// therefore passed to Peer::send(), which may be called from any thread.
class PistacheResponder : public HttpResponder {
public:
    /// \param writesOfServer  counts those of all connections
    PistacheResponder(std::unique_ptr<AcceptedRequest> accepted, const ClientRegistry::PeerPointer& peer, WriteCounter writesOfServer);
    ~PistacheResponder() override;

    void send(int status, std::string body, const HttpHeaders& headers) override;
    void startStream(int status, const HttpHeaders& headers) override;
    bool write(std::string_view data) override;
    void finish() override;
    bool isConnected() const override { return !m_isClosed; }
    bool isUnread() const override { return m_isUnread; }

    /// Records that the caller has disconnected.
    void close();

private:
    bool closeUnread();
    bool enqueue(std::string message);

    std::unique_ptr<AcceptedRequest> m_accepted;
    std::weak_ptr<Pistache::Tcp::Peer> m_peer;
    WriteCounter m_writesOfServer;
    WriteCounter m_writesOfConnection;
    WriteCounter m_unreadBytes = std::make_shared<std::atomic<std::size_t>>(0);
    std::mutex m_mutex;
    std::atomic<bool> m_isClosed { false };
    std::atomic<bool> m_isUnread { false };
};

}
