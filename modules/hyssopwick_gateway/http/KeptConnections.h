#pragma once

#include "NetworkTypes.h"

#include <deque>
#include <optional>

namespace hyssopwick {

/// Connections to one server that are kept open for further requests. For frequent requests
/// that may run more than once: the server may close a kept connection just when a request is
/// sent on it, and may leave it silent, so that only the request's deadline shows it.
class KeptConnections {
public:
    /// Returns an open connection without unread bytes, or nothing.
    std::optional<TcpSocket> take();

    /// Keeps a connection whose last answer is complete.
    void keep(TcpSocket socket);

private:
    struct Idle {
        TcpSocket socket;
        TimePoint since;
    };

    std::deque<Idle> m_idle; // in the order of their last use
};

}
