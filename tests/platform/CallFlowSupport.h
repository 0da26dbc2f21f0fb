#pragma once

#include <hyssopwick_gateway.h>

namespace hyssopwick {

/// Upstream on a loopback port that sends one scripted answer per connection.
class ScriptedUpstream {
public:
    explicit ScriptedUpstream(EventLoop& loop)
        : m_acceptor(loop, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
        accept();
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()); }

    // Adds the bytes of an answer, after which the connection is closed, or reset.
    void answer(const std::string& bytes, bool isReset = false) { m_answers.emplace_back(bytes, isReset); }

    const std::vector<std::string>& requests() const { return m_requests; }

private:
    struct Connection {
        explicit Connection(TcpSocket accepted)
            : socket(std::move(accepted))
        {
        }
        TcpSocket socket;
        std::string read;
        std::array<char, 4096> buffer;
    };

    void accept()
    {
        m_acceptor.async_accept([this](boost::system::error_code error, TcpSocket socket) {
            if (error)
                return;
            readRequest(std::make_shared<Connection>(std::move(socket)));
            accept();
        });
    }

    void readRequest(const std::shared_ptr<Connection>& connection)
    {
        connection->socket.async_read_some(asio::buffer(connection->buffer), [this, connection](boost::system::error_code error, std::size_t size) {
            if (error)
                return;
            connection->read.append(connection->buffer.data(), size);
            const auto headEnd = connection->read.find("\r\n\r\n");
            const auto length = connection->read.find("Content-Length: ");
            const auto body = length == std::string::npos ? 0 : std::stoul(connection->read.substr(length + 16));
            if (headEnd == std::string::npos || connection->read.size() < headEnd + 4 + body)
                return readRequest(connection);
            m_requests.push_back(connection->read);
            if (m_answers.empty())
                return waitForDisconnect(connection);
            const auto answer = m_answers.front();
            m_answers.erase(m_answers.begin());
            boost::system::error_code ignored;
            asio::write(connection->socket, asio::buffer(answer.first), ignored);
            if (answer.second)
                connection->socket.set_option(asio::socket_base::linger(true, 0), ignored);
            connection->socket.close(ignored);
        });
    }

    // Sends no answer and counts the connection when the peer disconnects.
    void waitForDisconnect(const std::shared_ptr<Connection>& connection)
    {
        connection->socket.async_read_some(asio::buffer(connection->buffer), [this, connection](boost::system::error_code error, std::size_t) {
            if (error)
                ++m_disconnects;
        });
    }

    asio::ip::tcp::acceptor m_acceptor;
    std::vector<std::pair<std::string, bool>> m_answers;
    std::vector<std::string> m_requests;

public:
    int m_disconnects = 0;
};

/// Records what is sent to the caller.
class RecordedExchange : public ServerExchange {
public:
    explicit RecordedExchange(ServerRequest request)
        : m_request(std::move(request))
    {
    }

    const ServerRequest& request() const override { return m_request; }
    void respond(unsigned code, HeaderFields answerFields, std::string answerBody) override
    {
        CHECK_FALSE(hasEnded || isStream); // one answer, and none within a stream
        status = code;
        fields = std::move(answerFields);
        body = std::move(answerBody);
        hasEnded = true;
    }
    void startStream(unsigned code, HeaderFields answerFields) override
    {
        CHECK_FALSE(hasEnded || isStream);
        status = code;
        fields = std::move(answerFields);
        isStream = true;
    }
    void write(std::string data) override { body += data; }
    void finish() override
    {
        hasEnded = true;
        isFinished = true;
    }
    void abort() override
    {
        hasEnded = true;
        isAborted = true;
    }
    void onCallerLeft(std::function<void()> handler) override { m_onCallerLeft = std::move(handler); }
    void onDone(std::function<void()>) override { }

    void disconnectCaller() { m_onCallerLeft(); }

    unsigned status = 0;
    HeaderFields fields;
    std::string body;
    bool isStream = false;
    bool hasEnded = false;
    bool isFinished = false;
    bool isAborted = false;

private:
    ServerRequest m_request;
    std::function<void()> m_onCallerLeft;
};

}
