#pragma once

#include "HttpListener.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/optional.hpp>
#include <deque>
#include <optional>
#include <set>
#include <thirdparty/BeastHttp.h>

namespace hyssopwick {

class ServerConnection;

/// What the connections of one listener share.
struct ListenerState {
    explicit ListenerState(EventLoop& loop)
        : acceptor(loop)
        , acceptTimer(loop)
    {
    }

    asio::ip::tcp::acceptor acceptor;
    LoopTimer acceptTimer;
    std::string address;
    std::shared_ptr<RequestBudget> budget;
    HeaderFields busyFields;
    HttpListener::Handler handler;
    HttpListener::LimitsSource limits;
    std::set<ServerConnection*> connections;
    std::map<std::string, std::uint64_t> rejections;
    std::size_t openExchanges = 0;
    std::size_t bufferedBytes = 0; // of answers, over all connections
    std::uint64_t unreadAnswers = 0;
    bool isClosing = false;
};

/// One connection of a caller: passes its requests to the listener's handler, one at a time.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
public:
    ServerConnection(TcpSocket socket, std::shared_ptr<ListenerState> listener);
    ~ServerConnection();

    /// Reads the first request, unless the process has no room for a further connection.
    void start();

    /// Closes the connection if no request is being read or answered.
    void closeIfIdle();

    /// Closes the connection and ends its open exchange.
    void close();

private:
    class Exchange;
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void readNext();
    void readHeader();
    void receive();
    void handleReceived(boost::system::error_code error, std::size_t size);
    void parse();
    std::size_t minBytesToParse() const;
    bool acceptHead();
    bool reserveMemory();
    std::size_t memoryOfRequest() const;
    bool hasRoomToBuffer(std::size_t bytes);
    bool isFramingTooLarge() const;
    void handleProtocolError(boost::system::error_code error);
    const char* framingProblem() const;
    void dispatch();
    void watchCaller();
    void watchDeparture();
    void handleCallerLeft();
    void handleEviction(EvictionReason reason);
    void reject(unsigned status, const char* reason, HeaderFields fields = {});
    void decideConnectionEnd();
    void sendWhole(unsigned status, HeaderFields fields, std::string body);
    void sendStreamHead(unsigned status, const HeaderFields& fields);
    void enqueue(std::string data, bool isLast);
    void flush();
    void handleSent(boost::system::error_code error, std::size_t size);
    void releaseBuffered(std::size_t bytes);
    void answerDone();
    void endExchange();
    void closeLingering();
    void discardInput();
    void armTimer(TimePoint deadline, std::function<void()> handler);
    void disarmTimer();
    std::string headText(unsigned status, const HeaderFields& fields, const std::string& framing) const;

    TcpSocket m_socket;
    std::shared_ptr<ListenerState> m_listener;
    LoopTimer m_timer;
    boost::beast::flat_buffer m_buffer;
    boost::optional<Parser> m_parser;
    CallerLimits m_limits; // of the request that is being read
    ServerRequest m_request; // the one that is being read
    std::size_t m_headBytes = 0; // of it
    std::size_t m_bodyWireBytes = 0; // of it, with the framing of chunks and trailers
    std::optional<RequestBudget::ConnectionId> m_budgetId;
    std::shared_ptr<Exchange> m_exchange;
    std::shared_ptr<ServerConnection> m_self; // while an exchange is open
    std::deque<std::string> m_unsent;
    std::string m_sending;
    std::size_t m_sentBytes = 0; // of m_sending
    std::size_t m_bufferedBytes = 0; // of m_sending and m_unsent
    std::optional<TimePoint> m_sendBy;
    unsigned m_timerGeneration = 0;
    bool m_isSending = false;
    bool m_isLastQueued = false;
    bool m_isKeptAlive = true;
    bool m_isIdle = true;
    bool m_isClosed = false;
    bool m_isRejected = false; // no further request is read
    bool m_isReading = false; // an operation that writes into m_buffer is pending
    bool m_isDiscarding = false; // what still arrives
    bool m_isHeadMethod = false;
};

}
