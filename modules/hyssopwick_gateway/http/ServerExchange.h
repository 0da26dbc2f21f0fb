#pragma once

#include "NetworkTypes.h"

#include <functional>
#include <memory>

namespace hyssopwick {

/// A whole request as a server received it.
struct ServerRequest {
    std::string method;
    std::string target; ///< unchanged, with its percent-encoding
    HeaderFields fields;
    std::string body;
    std::string host; ///< without a port
    TimePoint receivedAt; ///< when its last byte arrived at this VM, from which the caller's times count
    Milliseconds waitedUnread { 0 }; ///< between receivedAt and the reading, as far as the system tells
};

/// The answer to one request: either respond(), or startStream(), write()... and finish().
/// Calls after the caller left or the answer ended do nothing.
class ServerExchange {
public:
    virtual ~ServerExchange() = default;

    virtual const ServerRequest& request() const = 0;

    /// Sends a whole answer.
    virtual void respond(unsigned status, HeaderFields fields, std::string body) = 0;

    /// Starts an answer of unknown length.
    virtual void startStream(unsigned status, HeaderFields fields) = 0;
    /// Sends a part of a streamed answer.
    virtual void write(std::string data) = 0;
    /// Ends a streamed answer.
    virtual void finish() = 0;
    /// Closes the connection, so that the answer cannot be taken for complete.
    virtual void abort() = 0;

    /// Returns how many bytes of the answer wait for the caller's socket.
    virtual std::size_t unsentBytes() const { return 0; }

    /// Sets the handler that is called whenever the socket has taken bytes of an unfinished answer.
    virtual void onSent(std::function<void()>) { }

    /// Closes the connection when an ended answer was not taken by the socket in full by
    /// \p deadline, or shortly after the answer's end if that is later.
    virtual void sendBy(TimePoint) { }

    /// Sets the handler that is called once when the caller leaves before the answer has ended.
    virtual void onCallerLeft(std::function<void()> handler) = 0;

    /// Sets the handler that is called once when the whole answer was written to the socket or
    /// the connection ended.
    virtual void onDone(std::function<void()> handler) = 0;
};

using ServerExchangePointer = std::shared_ptr<ServerExchange>;

}
