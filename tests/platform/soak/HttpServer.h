#pragma once

#include "HttpMessage.h"
#include "SoakTypes.h"

#include <array>
#include <set>

namespace hyssopwick::soak {

class HttpServer;

/// A connection to a server; carries one request at a time.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
public:
    ServerConnection(HttpServer& server, asio::ip::tcp::socket socket);

    const HttpMessage& request() const { return m_reader.message(); }
    bool isOpen() const { return m_socket.is_open(); }

    void respond(unsigned status, const Fields& fields, const std::string& body);
    void respondJson(unsigned status, const std::string& body);

    /// Begins an answer in chunks.
    void startChunks(const Fields& fields);
    void writeChunk(std::string_view bytes);
    void finishChunks();

    /// Called when the peer closes the connection before the answer is complete.
    void onPeerClosed(std::function<void()> handler) { m_onPeerClosed = std::move(handler); }

    void read();
    void close();

private:
    void receive(std::size_t size);
    void serveNext();
    void send(std::string text);
    void write();
    void endAnswer();

    HttpServer* m_server;
    asio::ip::tcp::socket m_socket;
    MessageReader m_reader { MessageReader::Kind::Request };
    std::array<char, 16384> m_buffer;
    std::string m_unsent;
    std::string m_sending;
    bool m_isServing = false;
    std::function<void()> m_onPeerClosed;

    friend class HttpServer;
};

using ServerConnectionPointer = std::shared_ptr<ServerConnection>;

/// Listens on one address.
class HttpServer {
public:
    using Handler = std::function<void(const ServerConnectionPointer&)>;

    /// Throws boost::system::system_error if the address is taken.
    HttpServer(EventLoop& loop, const std::string& address, Handler handler);
    ~HttpServer() { stop(); }

    const std::string& address() const { return m_address; }

    void stopListening();

    /// Closes all connections too, as the end of a process does.
    void stop();

private:
    void accept();

    std::string m_address;
    asio::ip::tcp::acceptor m_acceptor;
    Handler m_handler;
    std::set<ServerConnectionPointer> m_connections;

    friend class ServerConnection;
};

}
